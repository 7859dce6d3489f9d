"""Logs and counts the results of callers' requests."""

from __future__ import annotations

import math
from typing import Any

import attrs

from cassiahead_gateway import api
from cassiahead_gateway import errors
from cassiahead_gateway import forwarding
from cassiahead_gateway import gateway_state as gateway_state_lib
from cassiahead_gateway import http_server
from cassiahead_gateway import scatter_gather
from cassiahead_telemetry import events
from cassiahead_wire import clock

__all__ = ["AdmittedRequest", "RequestRecord"]

_STATUSES_THAT_PROMISE_NOTHING = frozenset({502, 504})
# Codes of refusals that are frequent while callers send too much.
_FREQUENT_CODES = frozenset(
    {errors.ErrorCode.OVER_QUOTA, errors.ErrorCode.LEFT_OUT}
)
_CODES_DECIDED_BY_CONFIGURATION = frozenset(
    {
        errors.ErrorCode.NO_ROUTE,
        errors.ErrorCode.KEY_MISSING,
        errors.ErrorCode.KEY_INVALID,
    }
)


@attrs.define
class AdmittedRequest:
    """Result of admitting a request.

    Attributes:
        route: Route of the request.
        account: Client account of the request; None on an open route, or if the
            configuration has no accounts.
        configuration_version: Version of the configuration that the request was
            checked against.
        fingerprint: Digest of the client account, host, path and body; equal
            for all repetitions of a request by its caller.
    """

    route: api.Route
    account: api.Account | None
    configuration_version: int
    fingerprint: str


@attrs.define(eq=False)
class RequestRecord:
    """What is known of one request, for its log line and its metrics.

    Attributes:
        request: The request as received.
        request_id: Identifier that the caller gave to the request; empty if it
            gave none.
        admitted_request: The request as admitted; None until it is.
        operation: Sends the request to targets; None until it is created.
    """

    _gateway_state: gateway_state_lib.GatewayState
    request: http_server.Request
    request_id: str
    admitted_request: AdmittedRequest | None = None
    operation: scatter_gather.ScatterGather | forwarding.Forward | None = None

    def log_answer(self, reply: http_server.Reply) -> None:
        """Logs and counts a request that got a target's or a merged answer."""
        fields = self._fields()
        events.log(
            events.Event.REQUEST_ANSWERED,
            ordinary=not fields.get("missing"),
            status=reply.status,
            **fields,
        )
        self._record_metrics(str(reply.status))

    def log_error(self, error: errors.RequestError) -> None:
        """Logs and counts a request that was refused or that failed."""
        has_not_run = error.code.status not in _STATUSES_THAT_PROMISE_NOTHING
        event = (
            events.Event.REQUEST_REFUSED
            if has_not_run
            else events.Event.REQUEST_FAILED
        )
        fields = self._fields()
        if error.code in _CODES_DECIDED_BY_CONFIGURATION:
            catalogue = self._gateway_state.catalogue
            fields["revision"] = catalogue.revision
            fields["configuration_revision"] = catalogue.configuration_revision
        events.log(
            event,
            ordinary=error.code in _FREQUENT_CODES,
            status=error.code.status,
            code=error.code.identifier,
            detail=error.detail,
            retry_after_s=error.retry_after_s,
            **fields,
        )
        self._record_metrics(error.code.identifier)

    def log_cancelled(self) -> None:
        """Logs and counts a request whose caller has closed its connection."""
        events.log(
            events.Event.REQUEST_CANCELLED, ordinary=True, **self._fields()
        )
        self._record_metrics("cancelled")

    def _fields(self) -> dict[str, Any]:
        now = clock.monotonic()
        catalogue = self._gateway_state.catalogue
        admitted_request = self.admitted_request
        fields: dict[str, Any] = {
            "request_id": self.request_id,
            "ms": round((now - self.request.received_at) * 1000, 1),
            "age_s": round(catalogue.age_s(now), 2)
            if not math.isinf(catalogue.age_s(now))
            else None,
            "version": admitted_request.configuration_version
            if admitted_request
            else catalogue.configuration_version,
        }
        if admitted_request is not None:
            fields["route"] = admitted_request.route.name
            account = admitted_request.account
            fields["account"] = account.name if account else None
        if self.operation is not None:
            attempt_summary = self.operation.attempt_summary
            fields["parts"] = attempt_summary.part_count
            fields["present"] = attempt_summary.answered_count
            fields["sends"] = attempt_summary.attempt_count
            fields["targets"] = attempt_summary.target_ids
            if attempt_summary.missing_shards:
                fields["missing"] = attempt_summary.missing_shards
        return fields

    def _record_metrics(self, result: str) -> None:
        route = (
            self.admitted_request.route.name if self.admitted_request else ""
        )
        metrics = self._gateway_state.metrics
        metrics.requests.add(1, {"route": route, "result": result})
        elapsed_s = clock.monotonic() - self.request.received_at
        metrics.latency.record(elapsed_s, {"route": route})
