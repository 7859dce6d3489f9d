"""Reads the configuration service while this process has the reader role.

Normally one process of the fleet reads the service; the others get the records
from that process through heartbeats.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import math
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import reader_role
from cassiahead_decisions import record_freshness
from cassiahead_decisions import record_position
from cassiahead_decisions import rendezvous
from cassiahead_gateway import gateway_state as gateway_state_lib
from cassiahead_gateway import record_source
from cassiahead_telemetry import events
from cassiahead_wire import clock

if TYPE_CHECKING:
    from cassiahead_gateway import records

__all__ = ["RecordReader"]

# Longest time that one read waits for a change. Each answer, with or without
# changes, shows that this process still reaches the service; another process
# takes over if an answer is overdue.
_WATCH_TIMEOUT_S = 1.0
# Delay between reads after a change, so that changes in quick succession are
# read together.
_BATCH_DELAY_S = 0.15
# Shortest time between two full reads that follow unusable changes. A full read
# costs the service far more than a wait for changes.
_MIN_FULL_READ_INTERVAL_S = 1.0
# Interval at which a process that does not read checks whether to start.
_ROLE_CHECK_INTERVAL_S = 0.05
# Reads in a row that are repeated at once because the history of the service is
# gone or its era has changed. A service that is restored needs two.
_MAX_IMMEDIATE_REPEATS = 3

_UNUSABLE_RESPONSE_FAULTS = (
    record_source.SourceFault.REJECTED,
    record_source.SourceFault.MALFORMED,
)


@attrs.define(eq=False)
class RecordReader:
    """Keeps the catalogue up to date from the configuration service.

    Attributes:
        on_read: Called after each successful read.
    """

    _gateway_state: gateway_state_lib.GatewayState
    _source: record_source.RecordSource
    _role: reader_role.ReaderRole
    on_read: Callable[[], None]
    _needs_full_read: bool = False
    _full_read_allowed_at: float = -math.inf
    _last_answer_at: float = 0.0
    _read_count: int = 0
    _immediate_repeat_count: int = 0

    @property
    def is_reading(self) -> bool:
        """Whether this process has the reader role and got an answer recently.

        Recently means less than twice ``_WATCH_TIMEOUT_S`` ago.
        """
        return (
            self._role.is_reading
            and clock.monotonic() - self._last_answer_at < 2 * _WATCH_TIMEOUT_S
        )

    @property
    def has_role(self) -> bool:
        """Whether this process has the reader role, answered or not."""
        return self._role.is_reading

    async def run(self) -> None:
        """Reads while this process has the reader role, until cancelled."""
        was_reading = False
        while True:
            is_reading = self._decide_role()
            if is_reading != was_reading:
                was_reading = is_reading
                self._log_role_change(is_reading)
            if is_reading:
                await self._read()
            else:
                await asyncio.sleep(_ROLE_CHECK_INTERVAL_S)

    def close(self) -> None:
        """Closes the connections to the configuration service."""
        self._source.close()

    def _decide_role(self) -> bool:
        """Decides whether this process takes or keeps the reader role."""
        now = clock.monotonic()
        gateway_state = self._gateway_state
        own_score = rendezvous.score(
            gateway_state.process_name, reader_role.READER_RESOURCE
        )
        is_higher_ranked_peer_reading = any(
            rendezvous.score(process, reader_role.READER_RESOURCE) > own_score
            for process in gateway_state.freshness.readers_since(
                now - 2 * _WATCH_TIMEOUT_S,
                gateway_state.catalogue.position.era,
            )
            if process != gateway_state.process_name
        )
        return self._role.decide(
            now,
            gateway_state.catalogue.age_s(now),
            lambda: gateway_state.peers.rank(reader_role.READER_RESOURCE),
            is_higher_ranked_peer_reading,
        )

    async def _read(self) -> None:
        started_at = clock.monotonic()
        known_position = self._gateway_state.catalogue.position
        is_listing = (
            known_position == record_position.UNKNOWN or self._needs_full_read
        )
        wait_s = 0.0 if is_listing else _WATCH_TIMEOUT_S
        try:
            if is_listing:
                update = await self._source.list()
            else:
                update = await self._source.watch(
                    known_position.revision, wait_s
                )
            self._check_era(update, known_position.era)
        except record_source.SourceError as error:
            await asyncio.sleep(self._record_failure(error, wait_s > 0))
            return
        if is_listing:
            self._needs_full_read = False
        self._immediate_repeat_count = 0
        self._gateway_state.metrics.reads.add("ok")
        self._role.record_success()
        self._last_answer_at = clock.monotonic()
        # The service answers at the end of the wait at the latest. What takes
        # longer is the way back, or a pause of this process.
        read_s = self._last_answer_at - started_at
        self._apply(update, max(0.0, read_s - wait_s))
        self.on_read()
        if update.changes:
            await asyncio.sleep(_BATCH_DELAY_S)

    def _check_era(self, update: records.Update, watched_era: int) -> None:
        """Checks that an answer can be applied to the known records.

        Args:
            update: The answer.
            watched_era: Era of the revision that a watch began at. The known
                records may have come to a newer era since, from a peer.

        Raises:
            record_source.SourceError: If the answer is of an older era than the
                known records, or if a watch was answered in another era than
                its own, so that it may lack changes.
        """
        known_era = self._gateway_state.catalogue.position.era
        if update.era < known_era:
            raise record_source.SourceError(
                record_source.SourceFault.OLD_ERA,
                f"era {update.era} after era {known_era}",
            )
        if not update.is_complete and update.era != watched_era:
            raise record_source.SourceError(
                record_source.SourceFault.ERA_CHANGED,
                f"era {update.era} after era {watched_era}",
            )

    def _apply(self, update: records.Update, age_s: float) -> None:
        """Applies an update.

        Args:
            update: The records that changed.
            age_s: Seconds since the latest time at which the service answered.
        """
        now = clock.monotonic()
        self._read_count += 1
        self._gateway_state.freshness.record(
            record_freshness.ReadReport(
                self._gateway_state.process_name,
                self._read_count,
                update.revision,
                age_s,
                update.era,
            ),
            now,
        )
        self._gateway_state.catalogue.apply(update, age_s, "service", now)

    def _record_failure(
        self, error: record_source.SourceError, was_watch: bool
    ) -> float:
        """Records a failed call, and decides how the reading goes on.

        Args:
            error: Why the call failed.
            was_watch: Whether the call asked for changes only.

        Returns:
            Seconds to wait before the next call, besides the back-off of the
            reader role.
        """
        self._gateway_state.metrics.reads.add(error.fault.value)
        delay_s = 0.0
        needs_listing = error.fault in (
            record_source.SourceFault.HISTORY_GONE,
            record_source.SourceFault.ERA_CHANGED,
        )
        self._needs_full_read |= needs_listing
        if (
            needs_listing
            and self._immediate_repeat_count < _MAX_IMMEDIATE_REPEATS
        ):
            self._immediate_repeat_count += 1
            pause_s = 0.0
        elif was_watch and error.fault in _UNUSABLE_RESPONSE_FAULTS:
            # The same changes, and those made since, would be unusable again.
            self._needs_full_read = True
            delay_s = pause_s = self._take_full_read_delay_s()
        else:
            pause_s = self._role.record_failure(clock.monotonic())
        events.log(
            events.Event.READ_FAILED,
            fault=error.fault.value,
            detail=error.detail,
            revision=self._gateway_state.catalogue.revision,
            pause_s=round(pause_s, 2),
        )
        return delay_s

    def _take_full_read_delay_s(self) -> float:
        """Returns the seconds until a full read may follow a failed watch."""
        now = clock.monotonic()
        starts_at = max(now, self._full_read_allowed_at)
        self._full_read_allowed_at = starts_at + _MIN_FULL_READ_INTERVAL_S
        return starts_at - now

    def _log_role_change(self, is_reading: bool) -> None:
        now = clock.monotonic()
        age_s = self._gateway_state.catalogue.age_s(now)
        events.log(
            events.Event.READING_BEGUN
            if is_reading
            else events.Event.READING_ENDED,
            revision=self._gateway_state.catalogue.revision,
            age_s=round(age_s, 2) if age_s < 1e6 else None,
            peers_heard=len(self._gateway_state.peers.reachable_peers(now)),
        )
