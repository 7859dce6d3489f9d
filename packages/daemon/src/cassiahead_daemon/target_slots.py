"""Slots of one target at the relay that owns it, and the queue for them."""

from __future__ import annotations

import asyncio

import attrs

from cassiahead_daemon import daemon_state as daemon_state_lib
from cassiahead_daemon import target_messages
from cassiahead_decisions import fair_queue
from cassiahead_decisions import target_state
from cassiahead_notes import capacity
from cassiahead_protocol import api
from cassiahead_wire import clock

__all__ = ["MAX_SUB_REQUEST_DURATION_S", "TargetSlots"]

# Maximum duration of a sub-request, including its time in the queue. A queued
# sub-request gets a slot only if the rights to the slot last for this long.
MAX_SUB_REQUEST_DURATION_S = 1.0
_MAX_QUEUED_PER_ACCOUNT = 16


@attrs.define(eq=False)
class TargetSlots:
    """Grants the slots that this relay has rights to, fairly by account.

    The number of slots in use is ``in_flight_count`` of the target's state. All
    instants are in seconds of ``clock.monotonic``.
    """

    _daemon_state: daemon_state_lib.DaemonState
    _state: target_state.TargetState
    _queue: fair_queue.FairQueue[asyncio.Future[bool]] = attrs.field(
        factory=lambda: fair_queue.FairQueue(_MAX_QUEUED_PER_ACCOUNT)
    )
    _is_suspended: bool = False

    async def acquire(
        self, job: target_messages.SubRequestJob
    ) -> api.SubAnswer | None:
        """Takes a slot for a sub-request, which may wait for it in the queue.

        Returns:
            None if a slot was granted, else the answer that refuses the
            sub-request.
        """
        refusal = self._build_refusal(job)
        if refusal is not None:
            return refusal
        if not self._has_free_slot(job.deadline) or len(self._queue):
            return await self._wait(job)
        self._state.in_flight_count += 1
        return None

    def suspend(self) -> None:
        """Refuses queued and further sub-requests."""
        self._is_suspended = True
        while (queued_item := self._queue.pop()) is not None:
            if not queued_item.item.done():
                queued_item.item.set_result(False)

    def resume(self) -> None:
        """Accepts sub-requests again after ``suspend``."""
        self._is_suspended = False

    def do_housekeeping(self) -> None:
        """Expires queued sub-requests and grants free slots.

        Slots become free not only when a sub-request ends, but also when rights
        arrive or a back-off ends.
        """
        for queued_item in self._queue.remove_expired(clock.monotonic()):
            if not queued_item.item.done():
                queued_item.item.set_result(False)
        self._grant_free_slots()

    def release(self) -> None:
        """Frees a slot and grants it to a queued sub-request."""
        self._state.in_flight_count -= 1
        self._grant_free_slots()

    def connection_limit(self, until: float) -> int:
        """Returns how many connections this relay may have open.

        Args:
            until: Instant until which the rights must last.
        """
        total_right_count = self._daemon_state.peering.ceiling.effective_value(
            clock.monotonic()
        )
        return self._state.connection_limit(
            self._held_right_count(until), total_right_count
        )

    def _held_right_count(self, until: float) -> int:
        """Returns the number of rights whose leases end after ``until``."""
        resource = target_state.target_resource(self._state.name)
        return self._daemon_state.peering.held_right_count(resource, until)

    def _slot_limit(self, until: float) -> int:
        # Each resource has as many rights as the ceiling of the role.
        total_right_count = self._daemon_state.peering.ceiling.effective_value(
            clock.monotonic()
        )
        return self._state.slot_limit(
            self._held_right_count(until), total_right_count
        )

    def _has_free_slot(self, until: float) -> bool:
        return self._state.in_flight_count < self._slot_limit(until)

    def _is_usable(self) -> bool:
        configuration = self._daemon_state.configuration()
        name = self._state.name
        return name in configuration.targets and capacity.is_usable(
            configuration, name
        )

    def _build_refusal(
        self, job: target_messages.SubRequestJob
    ) -> api.SubAnswer | None:
        """Returns the answer that refuses a sub-request; None if accepted."""
        now = clock.monotonic()
        if job.deadline <= now:
            return target_messages.not_run_answer(job, api.SubStatus.EXPIRED)
        if not self._is_usable():
            return target_messages.not_run_answer(job, api.SubStatus.NO_SLOT)
        if self._is_suspended or self._held_right_count(job.deadline) == 0:
            return target_messages.not_run_answer(job, api.SubStatus.NOT_OWNER)
        limit = self._slot_limit(job.deadline)
        if limit == 0 or not self._state.is_available(now):
            return target_messages.not_run_answer(job, api.SubStatus.NO_SLOT)
        return None

    async def _wait(
        self, job: target_messages.SubRequestJob
    ) -> api.SubAnswer | None:
        """Queues a sub-request until it gets a slot or is refused.

        Returns:
            None if a slot was granted, else the answer that refuses the
            sub-request.
        """
        queued_at = clock.monotonic()
        account = job.request.account
        account_settings = self._daemon_state.configuration().accounts.get(
            account
        )
        grant_future: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        shed_item = self._queue.push(
            fair_queue.QueuedItem(
                account,
                account_settings.weight if account_settings else 1.0,
                job.deadline,
                grant_future,
            )
        )
        if shed_item is not None and not shed_item.item.done():
            shed_item.item.set_result(False)
        self._grant_free_slots()
        try:
            if await grant_future:
                return None
        except asyncio.CancelledError:
            if (
                grant_future.done()
                and not grant_future.cancelled()
                and grant_future.result()
            ):
                self.release()
            else:
                self._queue.remove(grant_future)
            raise
        if self._is_suspended:
            return target_messages.not_run_answer(job, api.SubStatus.NOT_OWNER)
        now = clock.monotonic()
        is_expired = now >= job.deadline
        status = api.SubStatus.EXPIRED if is_expired else api.SubStatus.SHED
        return target_messages.not_run_answer(
            job, status, queue_time_s=now - queued_at
        )

    def _grant_free_slots(self) -> None:
        now = clock.monotonic()
        if self._is_suspended or not self._state.is_available(now):
            return
        while len(self._queue) and self._has_free_slot(
            now + MAX_SUB_REQUEST_DURATION_S
        ):
            queued_item = self._queue.pop()
            if queued_item is None:
                return
            if queued_item.item.done():
                continue
            if queued_item.deadline <= now or not self._is_usable():
                queued_item.item.set_result(False)
                continue
            self._state.in_flight_count += 1
            queued_item.item.set_result(True)
