"""Reads the platform's service while it is this process's turn."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import reader_role
from cassiahead_gateway import context as context_lib
from cassiahead_gateway import record_source as source_lib
from cassiahead_telemetry import events
from cassiahead_wire import clock

if TYPE_CHECKING:
    from cassiahead_gateway import records as records_lib

__all__ = ["RecordReader"]

# Each answer proves that the reader still reaches the service; the others take
# over once they miss two of them.
_WATCH_S = 1.0
# Changes that follow each other are read together.
_GATHER_S = 0.15
_POLL_S = 0.05


@attrs.define(eq=False)
class RecordReader:
    """Keeps the catalogue up to date from the platform's service.

    Attributes:
        on_news: Called after records changed.
    """

    _context: context_lib.Context
    _source: source_lib.RecordSource
    _duty: reader_role.ReaderRole
    on_news: Callable[[], None]
    _history_gone: bool = False
    _answered_at: float = 0.0

    @property
    def reading(self) -> bool:
        """Whether this process reads and was answered lately."""
        return (
            self._duty.is_reading
            and clock.monotonic() - self._answered_at < 2 * _WATCH_S
        )

    async def run(self) -> None:
        """Reads for as long as the process runs."""
        was_reading = False
        while True:
            reads = self._decide()
            if reads != was_reading:
                was_reading = reads
                self._log_turn(reads)
            if reads:
                await self._read()
            else:
                await asyncio.sleep(_POLL_S)

    def close(self) -> None:
        """Closes the connections to the service."""
        self._source.close()

    def _decide(self) -> bool:
        now = clock.monotonic()
        context = self._context
        heard = context.peers.reachable_peers(now)
        rank = reader_role.reader_rank(
            context.process, [p.process for p in heard]
        )
        better = any(
            p.is_reading
            and reader_role.reader_rank(p.process, [context.process]) == 0
            for p in heard
        )
        return self._duty.decide(now, context.catalogue.age(now), rank, better)

    async def _read(self) -> None:
        catalogue = self._context.catalogue
        try:
            if catalogue.revision == 0 or self._history_gone:
                changes = await self._source.list()
                self._history_gone = False
            else:
                changes = await self._source.watch(catalogue.revision, _WATCH_S)
        except source_lib.SourceError as error:
            self._note_failure(error)
            return
        self._context.metrics.reads.add("ok")
        self._duty.record_success()
        self._answered_at = clock.monotonic()
        self._apply(changes)
        if changes.changes:
            self.on_news()
            await asyncio.sleep(_GATHER_S)

    def _apply(self, changes: records_lib.Update) -> None:
        self._context.catalogue.apply(
            changes, 0.0, "service", clock.monotonic()
        )

    def _note_failure(self, error: source_lib.SourceError) -> None:
        self._context.metrics.reads.add(error.fault.value)
        if error.fault is source_lib.SourceFault.HISTORY_GONE:
            self._history_gone = True
            pause = 0.0
        else:
            pause = self._duty.record_failure(clock.monotonic())
        events.log(
            events.Event.READ_FAILED,
            fault=error.fault.value,
            detail=error.detail,
            revision=self._context.catalogue.revision,
            pause_s=round(pause, 2),
        )

    def _log_turn(self, reads: bool) -> None:
        now = clock.monotonic()
        age = self._context.catalogue.age(now)
        events.log(
            events.Event.READING_BEGUN if reads else events.Event.READING_ENDED,
            revision=self._context.catalogue.revision,
            age_s=round(age, 2) if age < 1e6 else None,
            peers_heard=len(self._context.peers.reachable_peers(now)),
        )
