"""One request of a caller on its way through an entry."""

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
        request_id: Identifier made by the entry.
        account: Client account; empty on an open route.
        route_name: Name of the route.
        route: The route in force when the request came.
        layout: The layout that it is pinned to.
        configuration: What was in force when the request came.
        body: JSON text passed on to targets.
        started: When it came, on this process's clock.
        fingerprint: Digest that stands for it and its repetitions.
    """

    request_id: str
    account: str
    route_name: str
    route: notes.Route
    layout: notes.Layout
    configuration: notes.Configuration
    body: str
    started_at: float
    fingerprint: str

    @property
    def deadline(self) -> float:
        """Time by which the caller must have its answer."""
        return self.started_at + self.route.deadline_ms / 1000

    def remaining_s(self) -> float:
        """Returns the seconds left until the deadline."""
        return self.deadline - clock.monotonic()

    def scatter_request(
        self,
        sender: api.Process,
        items: tuple[api.SubRequest, ...],
        version: int | None,
        remaining_s: float,
    ) -> api.ScatterRequest:
        """Returns the message that asks a relay for some shards."""
        return api.ScatterRequest(
            sender=sender,
            request_id=self.request_id,
            account=self.account,
            route=self.route_name,
            generation=self.layout.generation,
            version=version,
            remaining=remaining_s,
            body=self.body,
            items=items,
        )
