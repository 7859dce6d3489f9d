"""Runs sub-requests on one target without exceeding the target's slots.

A target has a fixed number of slots for all relays together. The relay that
owns the target uses no more slots than its rights allow and queues further
sub-requests. After it has cancelled a sub-request, the relay gives the target
time to free the slot before using the slot again.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import attrs

from cassiahead_daemon import daemon_state as daemon_state_lib
from cassiahead_daemon import restart_probe
from cassiahead_daemon import target_connections
from cassiahead_daemon import target_messages
from cassiahead_daemon import target_responses
from cassiahead_daemon import target_slots
from cassiahead_decisions import target_state
from cassiahead_protocol import api
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection as connection_lib

if TYPE_CHECKING:
    from cassiahead_notes import api as notes

__all__ = ["TargetPool"]

# Time that a target has, from the deadline of a cancelled sub-request, to close
# its side of the connection.
_CANCEL_GRACE_S = 0.25
# Wait after the target has closed the connection of a cancelled sub-request:
# the target frees the slot just after the close.
_SLOT_RELEASE_DELAY_S = 0.02


@attrs.define(eq=False)
class TargetPool:
    """Slots, connections and queue of one target at the relay that owns it.

    All instants are in seconds of ``clock.monotonic``.
    """

    _daemon_state: daemon_state_lib.DaemonState
    _state: target_state.TargetState
    _slots: target_slots.TargetSlots = attrs.field(
        default=attrs.Factory(
            lambda self: target_slots.TargetSlots(
                self._daemon_state, self._state
            ),
            takes_self=True,
        )
    )
    _connections: target_connections.TargetConnections = attrs.field(
        default=attrs.Factory(
            lambda self: target_connections.TargetConnections(self._state),
            takes_self=True,
        )
    )
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    @property
    def state(self) -> target_state.TargetState:
        """The state of the target, as this relay has observed it."""
        return self._state

    @property
    def is_in_use(self) -> bool:
        """Whether a request is in flight or a connection open or opening."""
        return (
            self._state.in_flight_count > 0 or self._connections.open_count > 0
        )

    def configure(self, spec: notes.Target, starts_cold: bool) -> None:
        """Applies a specification that may have changed.

        Args:
            spec: The target as configured.
            starts_cold: Whether to reset the slot limit to that of a cold
                start.
        """
        self._state.configure(spec, starts_cold)

    async def run(
        self,
        request: api.ScatterRequest,
        sub_request: api.SubRequest,
        deadline: float,
    ) -> api.SubAnswer:
        """Runs one sub-request.

        Args:
            request: The message that contained the sub-request.
            sub_request: The sub-request.
            deadline: Instant by which the sub-request must end; capped at
                ``target_slots.MAX_SUB_REQUEST_DURATION_S`` from now.

        Returns:
            The answer; on failure, the status and whether the target may have
            run the sub-request.
        """
        arrived_at = clock.monotonic()
        deadline = min(
            deadline, arrived_at + target_slots.MAX_SUB_REQUEST_DURATION_S
        )
        job = target_messages.SubRequestJob(request, sub_request, deadline)
        refusal = await self._slots.acquire(job)
        if refusal is not None:
            return refusal
        return await self._run_in_slot(job, clock.monotonic() - arrived_at)

    def suspend(self) -> None:
        """Stops using the target.

        Called while this relay does not own the target, and when the target is
        no longer configured. Refuses queued and further sub-requests and closes
        idle connections. Sub-requests that have a slot run to their end.
        """
        self._slots.suspend()
        self._connections.suspend()

    def resume(self) -> None:
        """Accepts sub-requests again after ``suspend``."""
        self._slots.resume()
        self._connections.resume()

    def do_housekeeping(self) -> None:
        """Expires queued sub-requests, grants slots and probes connections."""
        self._slots.do_housekeeping()
        self._connections.probe_idle()

    def close(self) -> None:
        """Closes all idle connections and cancels background tasks."""
        self._connections.close()
        for task in self._tasks:
            task.cancel()

    async def _run_in_slot(
        self, job: target_messages.SubRequestJob, queue_time_s: float
    ) -> api.SubAnswer:
        connection: connection_lib.Connection | None = None
        try:
            self._daemon_state.telemetry.check_invariant(
                self._state.in_flight_count <= self._state.spec.slots,
                "slots",
                f"{self._state.in_flight_count} in flight"
                f" at {self._state.name}",
            )
            connection = await self._connections.acquire(
                self._slots.connection_limit(job.deadline), job.deadline
            )
            if connection is None:
                self._slots.release()
                return target_messages.not_run_answer(
                    job, api.SubStatus.NO_SLOT
                )
            started_at = clock.monotonic()
            response = await connection.request(
                "POST",
                f"/v1/shards/{job.sub_request.shard}/{job.request.route}",
                job.request.body.encode(),
                job.deadline - started_at,
                target_messages.request_headers(job, started_at),
            )
        except asyncio.CancelledError:
            self._cancel_and_release_slot(connection, job.deadline)
            raise
        except connection_lib.TransportError as error:
            return await self._handle_failure(job, connection, error)
        except BaseException:
            self._cancel_and_release_slot(connection, job.deadline)
            raise
        answer = target_responses.answer_from_response(
            self._state,
            job,
            response,
            clock.monotonic() - started_at,
            queue_time_s,
        )
        is_crossed = answer.status is api.SubStatus.CROSSED
        self._connections.release(connection, is_reusable=not is_crossed)
        self._slots.release()
        return answer

    def _cancel_and_release_slot(
        self, connection: connection_lib.Connection | None, deadline: float
    ) -> None:
        """Cancels a sub-request at the target, then frees its slot.

        The slot is freed in the background, ``_SLOT_RELEASE_DELAY_S`` after the
        target has closed its side of the connection or has failed to do so
        within ``_CANCEL_GRACE_S`` after the deadline. If the slot were freed at
        once, the next sub-request could exceed the target's slots, since the
        target may still run the cancelled one.

        Args:
            connection: Connection of the sub-request; None if the sub-request
                has none yet, in which case the slot is freed at once.
            deadline: Instant by which the sub-request must end.
        """
        if connection is None:
            self._slots.release()
            return
        self._spawn(self._await_cancellation(connection, deadline))

    async def _await_cancellation(
        self, connection: connection_lib.Connection, deadline: float
    ) -> None:
        timeout_s = deadline + _CANCEL_GRACE_S - clock.monotonic()
        try:
            if not await connection.cancel(timeout_s):
                events.log(
                    events.Event.CONNECTION_SILENT, target=self._state.name
                )
            await asyncio.sleep(_SLOT_RELEASE_DELAY_S)
        finally:
            self._connections.drop(connection)
            self._slots.release()

    def _spawn(self, coroutine: Any) -> None:  # noqa: ANN401
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle_failure(
        self,
        job: target_messages.SubRequestJob,
        connection: connection_lib.Connection | None,
        error: connection_lib.TransportError,
    ) -> api.SubAnswer:
        name = self._state.name
        if error.kind is connection_lib.FailureKind.TIMEOUT:
            if not error.has_response_started:
                events.log(events.Event.CONNECTION_SILENT, target=name)
            self._cancel_and_release_slot(connection, job.deadline)
            return target_messages.outcome_unknown_answer(
                job, api.SubStatus.EXPIRED
            )
        if connection is not None:
            self._connections.drop(connection)
        if self._state.record_failure(clock.monotonic()):
            events.log(events.Event.TARGET_COLD, target=name, reason="reset")
        events.log(events.Event.TARGET_FAILED, target=name, fault=error.kind)
        self._slots.release()
        if not error.may_have_been_sent:
            return target_messages.not_run_answer(job, api.SubStatus.FAILED)
        if (
            error.kind is connection_lib.FailureKind.CLOSED
            and await restart_probe.has_restarted(self._state)
        ):
            events.log(
                events.Event.REQUEST_CRASHED_TARGET,
                target=name,
                request_id=job.request.request_id,
            )
            return target_messages.outcome_unknown_answer(
                job, api.SubStatus.CRASHED
            )
        return target_messages.outcome_unknown_answer(job, api.SubStatus.FAILED)
