"""Finds requests that crash the targets that run them."""

from __future__ import annotations

import asyncio

import attrs

from cassiahead_decisions import poison as poison_lib
from cassiahead_gateway import api
from cassiahead_gateway import connection_table as links_lib
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection as wire

__all__ = ["CrashDetector"]


@attrs.define(eq=False)
class CrashDetector:
    """Tells crashes of targets from answers that were merely lost.

    A target whose connection ended before its answer has crashed if it takes
    no new connection right afterwards.

    Attributes:
        table: Crashes by request, of the whole fleet.
    """

    _links: links_lib.ConnectionTable
    table: poison_lib.PoisonTable
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def suspect(
        self, target: api.Target, fingerprint: str, request_id: str
    ) -> None:
        """Looks whether a target crashed while it ran a request."""
        task = asyncio.ensure_future(
            self._look(target, fingerprint, request_id)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _look(
        self, target: api.Target, fingerprint: str, request_id: str
    ) -> None:
        checkout = self._links.check_out(target.id, target.address)
        try:
            await checkout.connect()
        except wire.TransportError:
            count = self.table.record_crash(fingerprint, clock.monotonic())
            events.log(
                events.Event.REQUEST_CRASHED_TARGET,
                target=target.id,
                request_id=request_id,
                fingerprint=fingerprint,
                crashes=count,
            )
            return
        checkout.put_back()
