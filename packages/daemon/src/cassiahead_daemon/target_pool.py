"""Runs sub-requests on one target within the slots that its owner has."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING
from typing import Any

import attrs

from cassiahead_daemon import node as node_lib
from cassiahead_daemon import target_connections
from cassiahead_daemon import target_messages
from cassiahead_decisions import fair_queue
from cassiahead_decisions import target_state
from cassiahead_notes import capacity
from cassiahead_protocol import api
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection as wire

if TYPE_CHECKING:
    from cassiahead_notes import api as notes

__all__ = ["MAX_SUB_REQUEST_S", "TargetPool"]

MAX_SUB_REQUEST_S = 1.0
_NOTICE_GRACE_S = 0.25
_SLOT_FREED_S = 0.02
_RESTART_PROBE_TIMEOUT_S = 0.25
_QUEUE_PER_ACCOUNT = 16


@attrs.define(eq=False)
class TargetPool:
    """The slots, connections and queue of one target at its owner."""

    _node: node_lib.Node
    _state: target_state.TargetState
    _queue: fair_queue.FairQueue[asyncio.Future[bool]] = attrs.field(
        factory=lambda: fair_queue.FairQueue(_QUEUE_PER_ACCOUNT)
    )
    _connections: target_connections.TargetConnections = attrs.field(
        default=attrs.Factory(
            lambda self: target_connections.TargetConnections(self._state),
            takes_self=True,
        )
    )
    _retired: bool = False
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    @property
    def state(self) -> target_state.TargetState:
        """What is known of the target."""
        return self._state

    @property
    def in_use(self) -> bool:
        """Whether requests or connections to the target are open."""
        return self._state.in_flight > 0 or self._connections.count > 0

    def configure(self, spec: notes.Target, ramp: bool) -> None:
        """Takes over a changed specification; ``ramp`` starts it cold."""
        self._state.configure(spec, ramp)

    async def run(
        self, request: api.ScatterRequest, item: api.SubRequest, deadline: float
    ) -> api.SubAnswer:
        """Runs one sub-request.

        Args:
            request: The message that it came in.
            item: The sub-request.
            deadline: Time on this process's clock by which it must end.

        Returns:
            The answer, or what went wrong.
        """
        arrived = clock.monotonic()
        deadline = min(deadline, arrived + MAX_SUB_REQUEST_S)
        job = target_messages.Job(request, item, deadline)
        refusal = self._refusal(job)
        if refusal is not None:
            return refusal
        if not self._has_slot(deadline) or len(self._queue):
            refusal = await self._wait_for_slot(job)
            if refusal is not None:
                return refusal
        else:
            self._state.in_flight += 1
        return await self._run_in_slot(job, clock.monotonic() - arrived)

    def retire(self) -> None:
        """Refuses what waits and closes idle connections."""
        self._retired = True
        while (waiting := self._queue.pop()) is not None:
            if not waiting.item.done():
                waiting.item.set_result(False)
        self._connections.retire()

    def resume(self) -> None:
        """Takes requests again."""
        self._retired = False
        self._connections.resume()

    def housekeep(self) -> None:
        """Expires what waits, uses freed slots, probes idle connections."""
        for waiting in self._queue.remove_expired(clock.monotonic()):
            if not waiting.item.done():
                waiting.item.set_result(False)
        self._pump()
        self._connections.probe_idle()

    def close(self) -> None:
        """Closes all idle connections and ends background work."""
        self._connections.close()
        for task in self._tasks:
            task.cancel()

    def _held(self, until: float) -> int:
        resource = target_state.target_resource(self._state.name)
        return self._node.peering.rights_held(resource, until)

    def _limit(self, until: float) -> int:
        ceiling = self._node.peering.ceiling.effective_value(clock.monotonic())
        return self._state.slot_limit(self._held(until), ceiling)

    def _connection_limit(self, until: float) -> int:
        ceiling = self._node.peering.ceiling.effective_value(clock.monotonic())
        return self._state.connection_limit(self._held(until), ceiling)

    def _has_slot(self, until: float) -> bool:
        return self._state.in_flight < self._limit(until)

    def _usable(self) -> bool:
        configuration = self._node.configuration()
        name = self._state.name
        return name in configuration.targets and capacity.is_usable(
            configuration, name
        )

    def _refusal(self, job: target_messages.Job) -> api.SubAnswer | None:
        now = clock.monotonic()
        if job.deadline <= now:
            return target_messages.not_run(job, api.SubStatus.EXPIRED)
        if not self._usable():
            return target_messages.not_run(job, api.SubStatus.NO_SLOT)
        if self._retired or self._held(job.deadline) == 0:
            return target_messages.not_run(job, api.SubStatus.NOT_OWNER)
        limit = self._limit(job.deadline)
        if limit == 0 or not self._state.is_available(now):
            return target_messages.not_run(job, api.SubStatus.NO_SLOT)
        return None

    async def _wait_for_slot(
        self, job: target_messages.Job
    ) -> api.SubAnswer | None:
        began = clock.monotonic()
        account = job.request.account
        known = self._node.configuration().accounts.get(account)
        granted: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        shed = self._queue.push(
            fair_queue.QueuedItem(
                account, known.weight if known else 1.0, job.deadline, granted
            )
        )
        if shed is not None and not shed.item.done():
            shed.item.set_result(False)
        self._pump()
        try:
            if await granted:
                return None
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled() and granted.result():
                self._release()
            else:
                self._queue.remove(granted)
            raise
        if self._retired:
            return target_messages.not_run(job, api.SubStatus.NOT_OWNER)
        now = clock.monotonic()
        expired = now >= job.deadline
        status = api.SubStatus.EXPIRED if expired else api.SubStatus.SHED
        return target_messages.not_run(job, status, queued=now - began)

    def _pump(self) -> None:
        now = clock.monotonic()
        if self._retired or not self._state.is_available(now):
            return
        while len(self._queue) and self._has_slot(now + MAX_SUB_REQUEST_S):
            waiting = self._queue.pop()
            if waiting is None:
                return
            if waiting.item.done():
                continue
            if waiting.deadline <= now or not self._usable():
                waiting.item.set_result(False)
                continue
            self._state.in_flight += 1
            waiting.item.set_result(True)

    def _release(self) -> None:
        self._state.in_flight -= 1
        self._pump()

    async def _run_in_slot(
        self, job: target_messages.Job, queued: float
    ) -> api.SubAnswer:
        connection: wire.Connection | None = None
        try:
            self._node.telemetry.require(
                self._state.in_flight <= self._state.spec.slots,
                "slots",
                f"{self._state.in_flight} in flight at {self._state.name}",
            )
            connection = await self._connections.open(
                self._connection_limit(job.deadline), job.deadline
            )
            if connection is None:
                self._release()
                return target_messages.not_run(job, api.SubStatus.NO_SLOT)
            started = clock.monotonic()
            response = await connection.request(
                "POST",
                f"/v1/shards/{job.item.shard}/{job.request.route}",
                job.request.body.encode(),
                job.deadline - started,
                target_messages.headers(job, started),
            )
        except asyncio.CancelledError:
            self._abandon(connection, job.deadline)
            raise
        except wire.TransportError as error:
            return await self._failed(job, connection, error)
        except BaseException:
            self._abandon(connection, job.deadline)
            raise
        answer = self._interpret(
            job, response, clock.monotonic() - started, queued
        )
        crossed = answer.status is api.SubStatus.CROSSED
        self._connections.put_back(connection, reusable=not crossed)
        self._release()
        return answer

    def _abandon(
        self, connection: wire.Connection | None, deadline: float
    ) -> None:
        """Frees the slot once the target has noticed the cancellation.

        A target closes its side a moment before it has freed the slot.
        """
        if connection is None:
            self._release()
            return
        self._start(self._await_notice(connection, deadline))

    async def _await_notice(
        self, connection: wire.Connection, deadline: float
    ) -> None:
        limit = deadline + _NOTICE_GRACE_S - clock.monotonic()
        try:
            if not await connection.cancel(limit):
                events.log(
                    events.Event.CONNECTION_SILENT, target=self._state.name
                )
            await asyncio.sleep(_SLOT_FREED_S)
        finally:
            self._connections.drop(connection)
            self._release()

    def _start(self, work: Any) -> None:  # noqa: ANN401
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _failed(
        self,
        job: target_messages.Job,
        connection: wire.Connection | None,
        error: wire.TransportError,
    ) -> api.SubAnswer:
        name = self._state.name
        if error.kind is wire.FailureKind.TIMEOUT:
            if not error.response_started:
                events.log(events.Event.CONNECTION_SILENT, target=name)
            self._abandon(connection, job.deadline)
            return target_messages.unknown(job, api.SubStatus.EXPIRED)
        if connection is not None:
            self._connections.drop(connection)
        if self._state.record_failure(clock.monotonic()):
            events.log(events.Event.TARGET_COLD, target=name, reason="reset")
        events.log(events.Event.TARGET_FAILED, target=name, fault=error.kind)
        self._release()
        if not error.maybe_sent:
            return target_messages.not_run(job, api.SubStatus.FAILED)
        if (
            error.kind is wire.FailureKind.CLOSED
            and await self._has_restarted()
        ):
            events.log(
                events.Event.REQUEST_CRASHED_TARGET,
                target=name,
                request_id=job.request.request_id,
            )
            return target_messages.unknown(job, api.SubStatus.CRASHED)
        return target_messages.unknown(job, api.SubStatus.FAILED)

    async def _has_restarted(self) -> bool:
        """Tells a crash of the target from the loss of one connection."""
        known = self._state.incarnation
        if not known:
            # A target that never answered here: the connection was new, so
            # its loss is more likely the target's.
            return True
        try:
            connection = await wire.Connection.open(
                self._state.spec.address, _RESTART_PROBE_TIMEOUT_S
            )
        except wire.TransportError:
            return True
        try:
            response = await connection.request(
                "GET", "/health", b"", _RESTART_PROBE_TIMEOUT_S
            )
            seen = json.loads(response.body).get("incarnation", "")
        except (wire.TransportError, ValueError, AttributeError):
            return False
        finally:
            connection.close()
        return bool(seen != known)

    def _interpret(
        self,
        job: target_messages.Job,
        response: wire.Response,
        latency: float,
        queued: float,
    ) -> api.SubAnswer:
        name = self._state.name
        if response.status == 503:
            if self._state.reset_to_cold():
                events.log(events.Event.TARGET_COLD, target=name, reason="shed")
            return target_messages.unknown(job, api.SubStatus.SHED)
        if response.status == 409:
            versions = target_messages.parse_versions(response.body)
            return target_messages.unknown(
                job, api.SubStatus.VERSION_MISMATCH, versions
            )
        if response.status != 200:
            return target_messages.unknown(job, api.SubStatus.FAILED)
        answer = target_messages.parse_answer(response.body)
        if answer is None:
            return target_messages.unknown(job, api.SubStatus.FAILED)
        if (answer.request_id, answer.shard) != (
            job.request.request_id,
            job.item.shard,
        ):
            events.log(
                events.Event.ANSWER_DISCARDED,
                target=name,
                request_id=job.request.request_id,
                reason="crossed",
            )
            return target_messages.unknown(job, api.SubStatus.CROSSED)
        if self._state.record_answer(answer.incarnation, answer.cold):
            events.log(events.Event.TARGET_COLD, target=name, reason="restart")
        return api.SubAnswer(
            shard=answer.shard,
            target=name,
            status=api.SubStatus.OK,
            outcome=api.Outcome.RAN,
            generation=answer.generation,
            version=answer.version,
            payload=answer.result,
            latency=latency,
            queued=queued,
            versions=answer.versions,
        )
