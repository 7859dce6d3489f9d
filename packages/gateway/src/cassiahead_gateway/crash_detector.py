"""Detects requests that crash the targets that run them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from cassiahead_decisions import poison
from cassiahead_gateway import api
from cassiahead_gateway import connection_table
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection as connection_lib

__all__ = ["CrashDetector"]


@attrs.define(eq=False)
class CrashDetector:
    """Distinguishes a crashed target from a broken connection.

    A target that closed a connection before answering counts as crashed if,
    right afterwards, no idle connection to it is open and it accepts no new
    one.

    Attributes:
        poison_table: Crash counts by request fingerprint, over the whole fleet.
        on_crash: Called with each target that crashed, and the current time in
            seconds on this process's monotonic clock.
    """

    _connections: connection_table.ConnectionTable
    poison_table: poison.PoisonTable
    on_crash: Callable[[api.Target, float], None]
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def check_for_crash(
        self, target: api.Target, fingerprint: str, request_id: str
    ) -> None:
        """Starts checking whether a target crashed while running a request.

        Args:
            target: Target that closed the connection.
            fingerprint: Digest of the request that the target was running.
            request_id: Identifier of that request, for the log.
        """
        task = asyncio.ensure_future(
            self._probe(target, fingerprint, request_id)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(
        self, target: api.Target, fingerprint: str, request_id: str
    ) -> None:
        checkout = self._connections.check_out(target.id, target.address)
        try:
            await checkout.connect()
        except connection_lib.TransportError:
            now = clock.monotonic()
            crash_count = self.poison_table.record_crash(fingerprint, now)
            events.log(
                events.Event.REQUEST_CRASHED_TARGET,
                target=target.id,
                request_id=request_id,
                fingerprint=fingerprint,
                crashes=crash_count,
            )
            self.on_crash(target, now)
            return
        checkout.put_back()
