"""Takes callers' requests: checks, limits, sends, answers."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING
from typing import Any

import attrs

from cassiahead_decisions import poison
from cassiahead_decisions import sampling
from cassiahead_gateway import api
from cassiahead_gateway import attempts
from cassiahead_gateway import context as context_lib
from cassiahead_gateway import dispatch
from cassiahead_gateway import errors
from cassiahead_gateway import headers as headers_lib
from cassiahead_gateway import http_server
from cassiahead_telemetry import events
from cassiahead_wire import clock

if TYPE_CHECKING:
    from cassiahead_gateway import routing

__all__ = ["RequestHandler"]

# A process that knows no configuration has one after a few exchanges.
_NOT_READY_RETRY_AFTER_S = 0.3
_LEAST_RETRY_AFTER_S = 0.05


@attrs.define
class _Admitted:
    """A request that was checked, with what it was checked against."""

    route: api.Route
    account: api.Account | None
    version: int
    fingerprint: str


@attrs.define(eq=False)
class RequestHandler:
    """The side of the gateway that callers see.

    Attributes:
        in_flight: Requests that were read and not answered.
    """

    _context: context_lib.Context
    in_flight: int = 0

    async def handle(self, request: http_server.Request) -> http_server.Reply:
        """Answers a caller's request."""
        self.in_flight += 1
        names = self._context.settings.headers
        request_id = request.headers.get(names.request_id, "")
        admitted: _Admitted | None = None
        run: dispatch.ScatterGather | dispatch.Forward | None = None
        try:
            router = self._router()
            admitted = self._admit(request, request_id, router)
            run = self._plan(request, request_id, admitted)
            reply = await run.run()
        except errors.RequestError as error:
            reply = self._refusal(error, request_id)
            self._log_refused(request, request_id, admitted, run, error)
        except asyncio.CancelledError:
            self._log_cancelled(request, request_id, admitted, run)
            raise
        except Exception as error:
            events.log(
                events.Event.INTERNAL_ERROR,
                exc_info=error,
                request_id=request_id,
            )
            reply = self._refusal(
                errors.RequestError(errors.Code.INTERNAL, "internal error"),
                request_id,
            )
        else:
            self._log_answered(request, request_id, admitted, run, reply)
        finally:
            self.in_flight -= 1
        return reply

    def _router(self) -> routing.Router:
        router = self._context.catalogue.router
        if router is None:
            raise errors.RequestError(
                errors.Code.NOT_READY,
                "no configuration is known yet",
                _NOT_READY_RETRY_AFTER_S,
            )
        return router

    def _admit(
        self,
        request: http_server.Request,
        request_id: str,
        router: routing.Router,
    ) -> _Admitted:
        names = self._context.settings.headers
        if not request_id:
            raise errors.RequestError(
                errors.Code.NO_REQUEST_ID, f"header {names.request_id} is owed"
            )
        route = router.route(request.headers.get("Host", ""), request.path)
        account = router.account(
            route, request.headers.get(names.authorization)
        )
        limit = router.configuration.limits.max_body_bytes
        if len(request.body) > limit:
            raise errors.RequestError(
                errors.Code.BODY_TOO_LARGE, f"more than {limit} bytes"
            )
        fingerprint = _fingerprint(request, account)
        if account is not None:
            self._charge(account, fingerprint)
        return _Admitted(
            route, account, router.configuration.version, fingerprint
        )

    def _charge(self, account: api.Account, fingerprint: str) -> None:
        now = clock.monotonic()
        context = self._context
        isolated = context.peers.is_isolated(now)
        place = sampling.SamplePoint.from_fingerprint(
            fingerprint, clock.wall_time()
        )
        if context.quota.admit(account.name, now, isolated, place):
            return
        left_out = context.quota.is_sampled_out(account.name, now, place)
        wait = context.quota.retry_after_s(account.name, now, place)
        raise errors.RequestError(
            errors.Code.OVER_QUOTA,
            f"{account.name} has used its {account.rate_per_s}/s over all "
            f"hosts (isolated: {isolated}, left out of sample: {left_out})",
            max(_LEAST_RETRY_AFTER_S, wait),
        )

    def _plan(
        self,
        request: http_server.Request,
        request_id: str,
        admitted: _Admitted,
    ) -> dispatch.ScatterGather | dispatch.Forward:
        route = admitted.route
        outgoing = self._outgoing(request, request_id, admitted)
        self._refuse_poisoned(outgoing)
        homes = _homes(route, admitted.account)
        arguments = (homes, outgoing, request.received_at)
        match route.destination:
            case api.Scatter() as scatter:
                return dispatch.ScatterGather(
                    self._context, route, scatter, *arguments
                )
            case api.WeightedServices(weights):
                service = self._context.split(route.name).next(weights)
            case api.SingleService(service):
                pass
        return dispatch.Forward(self._context, route, service, *arguments)

    def _refuse_poisoned(self, outgoing: attempts.OutgoingRequest) -> None:
        table = self._context.crashes.table
        now = clock.monotonic()
        if not table.is_poisoned(outgoing.fingerprint, now):
            return
        raise errors.RequestError(
            errors.Code.POISONED,
            f"it crashed {table.crash_count(outgoing.fingerprint, now)} "
            f"targets",
            poison.CRASH_RETENTION_S,
        )

    def _outgoing(
        self,
        request: http_server.Request,
        request_id: str,
        admitted: _Admitted,
    ) -> attempts.OutgoingRequest:
        names = self._context.settings.headers
        own = {
            names.request_id,
            names.deadline_ms,
            names.authorization,
            names.account,
            names.expected_target,
        }
        headers = headers_lib.forwarded(
            request.headers, frozenset(name.lower() for name in own)
        )
        headers[names.request_id] = request_id
        if admitted.account is not None:
            headers[names.account] = admitted.account.name
        patience = _patience(request.headers.get(names.deadline_ms))
        allowed = min(patience, admitted.route.timeout_s)
        return attempts.OutgoingRequest(
            request_id,
            request.method,
            request.path,
            headers,
            request.body,
            request.received_at + allowed,
            admitted.fingerprint,
        )

    def _refusal(
        self, error: errors.RequestError, request_id: str
    ) -> http_server.Reply:
        reply = http_server.plain_reply(
            error.code.status, f"{error}\n".encode()
        )
        reply.headers[self._context.settings.headers.request_id] = request_id
        if error.retry_after is not None:
            reply.headers["Retry-After"] = f"{error.retry_after:.3f}"
        return reply

    def _fields(
        self,
        request: http_server.Request,
        request_id: str,
        admitted: _Admitted | None,
        run: dispatch.ScatterGather | dispatch.Forward | None,
    ) -> dict[str, Any]:
        now = clock.monotonic()
        catalogue = self._context.catalogue
        fields: dict[str, Any] = {
            "request_id": request_id,
            "ms": round((now - request.received_at) * 1000, 1),
            "age_s": round(catalogue.age(now), 2)
            if not math.isinf(catalogue.age(now))
            else None,
            "version": admitted.version
            if admitted
            else catalogue.configuration_version,
        }
        if admitted is not None:
            fields["route"] = admitted.route.name
            account = admitted.account
            fields["account"] = account.name if account else None
        if run is not None:
            trace = run.trace
            fields["parts"] = trace.parts
            fields["present"] = trace.present
            fields["sends"] = trace.sends
            fields["targets"] = trace.targets
            if trace.missing:
                fields["missing"] = trace.missing
        return fields

    def _log_answered(
        self,
        request: http_server.Request,
        request_id: str,
        admitted: _Admitted | None,
        run: dispatch.ScatterGather | dispatch.Forward | None,
        reply: http_server.Reply,
    ) -> None:
        fields = self._fields(request, request_id, admitted, run)
        events.log(
            events.Event.REQUEST_ANSWERED,
            ordinary=not fields.get("missing"),
            status=reply.status,
            **fields,
        )
        self._count(request, str(reply.status), admitted)

    def _log_refused(
        self,
        request: http_server.Request,
        request_id: str,
        admitted: _Admitted | None,
        run: dispatch.ScatterGather | dispatch.Forward | None,
        error: errors.RequestError,
    ) -> None:
        not_run = error.code.status != 502 and error.code.status != 504
        event = (
            events.Event.REQUEST_REFUSED
            if not_run
            else events.Event.REQUEST_FAILED
        )
        events.log(
            event,
            ordinary=error.code is errors.Code.OVER_QUOTA,
            status=error.code.status,
            code=error.code.number,
            detail=error.detail,
            retry_after_s=error.retry_after,
            **self._fields(request, request_id, admitted, run),
        )
        self._count(request, error.code.number, admitted)

    def _log_cancelled(
        self,
        request: http_server.Request,
        request_id: str,
        admitted: _Admitted | None,
        run: dispatch.ScatterGather | dispatch.Forward | None,
    ) -> None:
        events.log(
            events.Event.REQUEST_CANCELLED,
            ordinary=True,
            **self._fields(request, request_id, admitted, run),
        )
        self._count(request, "cancelled", admitted)

    def _count(
        self,
        request: http_server.Request,
        result: str,
        admitted: _Admitted | None,
    ) -> None:
        route = admitted.route.name if admitted else ""
        labels = {"route": route, "result": result}
        metrics = self._context.metrics
        metrics.requests.add(1, labels)
        elapsed = clock.monotonic() - request.received_at
        metrics.latency.record(elapsed, {"route": route})


def _patience(header: str | None) -> float:
    """Returns the seconds for which the caller waits."""
    try:
        return int(header) / 1000 if header else math.inf
    except ValueError:
        return math.inf


def _fingerprint(
    request: http_server.Request, account: api.Account | None
) -> str:
    return poison.fingerprint(
        account.name if account else "",
        f"{request.headers.get('Host', '')}{request.path}",
        request.body.decode("latin-1"),
    )


def _homes(route: api.Route, account: api.Account | None) -> tuple[str, ...]:
    """Returns the regions whose targets may run a request; empty for all."""
    if account is None or not account.allowed_regions:
        return route.allowed_regions
    if not route.allowed_regions:
        return account.allowed_regions
    both = tuple(
        h for h in route.allowed_regions if h in account.allowed_regions
    )
    return both or ("",)
