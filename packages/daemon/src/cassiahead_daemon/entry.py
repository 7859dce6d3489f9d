"""The entry role: authenticates, admits, runs and answers callers' requests."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING
from typing import Any
import uuid

import attrs

from cassiahead_daemon import admission
from cassiahead_daemon import caller_messages
from cassiahead_daemon import daemon_state as daemon_state_lib
from cassiahead_daemon import errors
from cassiahead_daemon import hit_merging
from cassiahead_daemon import orders
from cassiahead_daemon import relay_client as relay_client_lib
from cassiahead_daemon import request_context
from cassiahead_daemon import request_validation
from cassiahead_daemon import search
from cassiahead_decisions import poison
from cassiahead_notes import api as notes
from cassiahead_protocol import api
from cassiahead_telemetry import events
from cassiahead_wire import clock

if TYPE_CHECKING:
    from cassiahead_decisions import replicas

__all__ = ["Entry", "shard_of"]

_HOUSEKEEPING_INTERVAL_S = 0.2


def shard_of(layout: notes.Layout, record_id: str) -> str:
    """Returns the name of the shard that a record belongs to.

    The first 8 bytes of the SHA-256 digest of the identifier, modulo the number
    of shards, are the index into the sorted names of the shards.
    """
    shards = sorted(layout.shards)
    digest = hashlib.sha256(record_id.encode()).digest()
    return shards[int.from_bytes(digest[:8]) % len(shards)]


@attrs.define
class Entry:
    """Serves the requests of callers on one entry.

    Attributes:
        admission_controller: Enforces the rate limits of client accounts.
        idempotency_key_home: Decides on the idempotency keys whose home is this
            entry.
    """

    _daemon_state: daemon_state_lib.DaemonState
    admission_controller: admission.AdmissionController
    idempotency_key_home: orders.IdempotencyKeyHome
    _searcher: search.Searcher
    _order_runner: orders.OrderRunner
    _key_digest_by_task: dict[
        asyncio.Task[caller_messages.CallerAnswer], str
    ] = attrs.field(factory=dict)

    @classmethod
    def from_daemon_state(
        cls, daemon_state: daemon_state_lib.DaemonState
    ) -> Entry:
        """Creates the entry role of a daemon.

        The role is notified of each configuration that comes into force.

        Args:
            daemon_state: State of the daemon.
        """
        relay_client = relay_client_lib.RelayClient(daemon_state)
        searcher = search.Searcher.from_daemon_state(daemon_state, relay_client)
        idempotency_key_home = orders.IdempotencyKeyHome(daemon_state)
        entry = cls(
            daemon_state,
            admission.AdmissionController.from_daemon_state(daemon_state),
            idempotency_key_home,
            searcher,
            orders.OrderRunner(
                daemon_state,
                relay_client,
                idempotency_key_home,
                searcher.search_state.replica_chooser,
            ),
        )
        daemon_state.configuration_listeners.append(
            entry.cancel_requests_of_withdrawn_keys
        )
        return entry

    @property
    def in_flight_count(self) -> int:
        """Number of caller requests in flight."""
        return len(self._key_digest_by_task)

    def replica_views(self, now: float) -> dict[str, replicas.ReplicaView]:
        """Returns the state of each target as seen by this entry, by name.

        Args:
            now: Time in seconds of ``clock.monotonic``.
        """
        return self._searcher.search_state.replica_chooser.views(now)

    async def serve(
        self, request: caller_messages.CallerRequest
    ) -> caller_messages.CallerAnswer:
        """Serves one request, and records its result and duration.

        Raises:
            errors.RequestError: If the request is refused, fails, or has no
                answer before its deadline.
        """
        request_id = str(uuid.uuid4())
        started_at = clock.monotonic()
        result = "internal"
        try:
            answer = await self._serve_cancellable(request, request_id)
            result = "answered"
        except errors.RequestError as error:
            result = error.code.identifier
            self._daemon_state.telemetry.record_decision(
                events.Event.REFUSED,
                request_id,
                route=request.route,
                code=error.code.identifier,
                outcome=error.outcome.value,
                detail=error.detail,
            )
            raise
        finally:
            metrics = self._daemon_state.telemetry.metrics
            metrics.requests.add(1, {"result": result})
            metrics.request_durations.record(
                clock.monotonic() - started_at, {"result": result}
            )
        self._daemon_state.telemetry.record_decision(
            events.Event.ANSWERED,
            request_id,
            route=answer.route,
            account=answer.account,
            generation=answer.generation,
            version=answer.version,
            answered=answer.shards_answered,
            pinned=answer.shards_pinned,
            milliseconds=round((clock.monotonic() - started_at) * 1000, 2),
        )
        return answer

    def cancel_requests_of_withdrawn_keys(
        self, configuration: notes.Configuration
    ) -> None:
        """Cancels the requests whose caller's key has been withdrawn.

        Args:
            configuration: The configuration that has come into force.
        """
        for task, key_digest in list(self._key_digest_by_task.items()):
            if key_digest and key_digest not in configuration.keys:
                events.log(events.Event.KEY_WITHDRAWN)
                task.cancel()

    async def run_housekeeping(self) -> None:
        """Updates rate limits and idempotency keys until cancelled."""
        while True:
            self.admission_controller.limiter.refill_all(clock.monotonic())
            self.idempotency_key_home.do_housekeeping()
            await asyncio.sleep(_HOUSEKEEPING_INTERVAL_S)

    async def _serve_cancellable(
        self, request: caller_messages.CallerRequest, request_id: str
    ) -> caller_messages.CallerAnswer:
        context, key_digest = self._build_context(request, request_id)
        task = asyncio.ensure_future(self._run(request, context))
        self._key_digest_by_task[task] = key_digest
        try:
            return await task
        except asyncio.CancelledError:
            task.cancel()
            if (
                key_digest
                and key_digest not in self._daemon_state.configuration().keys
            ):
                raise errors.RequestError(
                    errors.ErrorCode.KEY_WITHDRAWN,
                    api.Outcome.UNKNOWN,
                    "the key was withdrawn while the request ran",
                ) from None
            raise
        finally:
            del self._key_digest_by_task[task]

    def _build_context(
        self, request: caller_messages.CallerRequest, request_id: str
    ) -> tuple[request_context.RequestContext, str]:
        """Authenticates and validates a request, and pins it to a layout.

        Returns:
            The context, and the SHA-256 digest of the caller's key; the digest
            is empty on an open route.

        Raises:
            errors.RequestError: If the request is refused.
        """
        reason = self._daemon_state.refusal_reason()
        if reason is not None:
            raise errors.not_run_error(
                errors.ErrorCode.NOT_READY, f"not ready: {reason}"
            )
        configuration = self._daemon_state.configuration()
        route = configuration.routes.get(request.route)
        if route is None:
            raise errors.not_run_error(
                errors.ErrorCode.UNKNOWN_ROUTE, f"no route {request.route!r}"
            )
        request_validation.validate_request(request, route)
        account, key_digest = request_validation.authenticate(
            configuration, route, request.secret
        )
        body = request_validation.target_body(request, route)
        fingerprint = poison.fingerprint(account, request.route, body)
        if self._daemon_state.peering.poison_table.is_poisoned(
            fingerprint, clock.monotonic()
        ):
            raise errors.not_run_error(
                errors.ErrorCode.POISONED, "this request has crashed targets"
            )
        context = request_context.RequestContext(
            request_id=request_id,
            account=account,
            route_name=request.route,
            route=route,
            layout=configuration.layouts[route.layout],
            configuration=configuration,
            body=body,
            arrived_at=clock.monotonic(),
            fingerprint=fingerprint,
        )
        return context, key_digest

    async def _run(
        self,
        request: caller_messages.CallerRequest,
        context: request_context.RequestContext,
    ) -> caller_messages.CallerAnswer:
        if context.account:
            await self.admission_controller.admit(
                context.account, context.request_id
            )
        match context.route.kind:
            case notes.RouteKind.SEARCH:
                snapshot = await self._searcher.search(
                    context, context.layout.shards
                )
                result: Any = hit_merging.merge_hits(
                    snapshot.payloads.values(), request.limit
                )
            case notes.RouteKind.LOOKUP:
                shard = shard_of(context.layout, request.record_id)
                snapshot = await self._searcher.search(context, [shard])
                result = snapshot.payloads.get(shard)
            case notes.RouteKind.ORDER:
                return await self._run_order(request, context)
        return caller_messages.CallerAnswer.from_snapshot(
            context, snapshot, result
        )

    async def _run_order(
        self,
        request: caller_messages.CallerRequest,
        context: request_context.RequestContext,
    ) -> caller_messages.CallerAnswer:
        shard = shard_of(context.layout, request.record_id)
        answer = await self._order_runner.run(
            context, shard, request.idempotency_key
        )
        return caller_messages.CallerAnswer.from_order(context, answer)
