"""The context that a caller's request carries through an entry."""

from __future__ import annotations

import attrs

from cassiahead_notes import api as notes
from cassiahead_protocol import api
from cassiahead_wire import clock

__all__ = ["RequestContext"]


@attrs.frozen
class RequestContext:
    """A request that has been authenticated and pinned to a layout.

    Attributes:
        request_id: Identifier that the entry has generated.
        account: Client account; empty on an open route.
        route_name: Name of the route.
        route: The route as configured when the request arrived.
        layout: The layout that the request is pinned to.
        configuration: The configuration when the request arrived.
        body: JSON text that is sent to targets.
        arrived_at: Arrival of the request, in seconds of
            ``clock.monotonic``.
        fingerprint: Digest that identical requests of the account share.
    """

    request_id: str
    account: str
    route_name: str
    route: notes.Route
    layout: notes.Layout
    configuration: notes.Configuration
    body: str
    arrived_at: float
    fingerprint: str

    @property
    def deadline(self) -> float:
        """Instant by which the caller must have its answer.

        In seconds of ``clock.monotonic``.
        """
        return self.arrived_at + self.route.deadline_ms / 1000

    def remaining_s(self) -> float:
        """Returns the seconds left until the deadline."""
        return self.deadline - clock.monotonic()

    def build_scatter_request(
        self,
        sender: api.Process,
        sub_requests: tuple[api.SubRequest, ...],
        version: int | None,
        remaining_s: float,
    ) -> api.ScatterRequest:
        """Builds the message that sends sub-requests to a relay.

        Args:
            sender: This process.
            sub_requests: The sub-requests.
            version: Index version to ask for; None for any.
            remaining_s: Seconds that the relay has to answer.
        """
        return api.ScatterRequest(
            sender=sender,
            request_id=self.request_id,
            account=self.account,
            route=self.route_name,
            generation=self.layout.generation,
            version=version,
            remaining=remaining_s,
            body=self.body,
            items=sub_requests,
        )
