"""Freshness of the published records, from the reads of all processes.

Each successful read of the configuration service has a number that its process
counts up. Processes pass on the newest read of each process. Only the first
report of a read counts, so that a report that goes round in the fleet does not
make the records seem fresher. A read confirms only records of its own era of
the configuration service (see ``record_position``).

Load pattern: no process reads any more, while heartbeats go on and are delayed
by busy hosts and slow links.
"""

from __future__ import annotations

import math

import attrs

from cassiahead_decisions import record_position

__all__ = ["ReadReport", "RecordFreshness"]

# Reads older than this are not passed on. It exceeds the age at which another
# process takes over reading.
_REPORT_RETENTION_S = 5.0
# Reads older than this are forgotten. Reports of them no longer arrive.
_READ_RETENTION_S = 60.0


@attrs.frozen
class ReadReport:
    """The newest read of one process.

    Attributes:
        process: Name of the process, new at each of its starts.
        number: Number of the read, counted from the start of the process.
        revision: Revision of the records that the read found to be current.
        age_s: Seconds since the read, without the time in transit.
        era: Era of the configuration service that the revision belongs to.
    """

    process: str
    number: int
    revision: int
    age_s: float
    era: int = 0

    @property
    def position(self) -> record_position.RecordPosition:
        """Position that the read found to be current."""
        return record_position.RecordPosition(self.era, self.revision)


@attrs.frozen
class _Read:
    """A read, with its time on this process's monotonic clock in seconds."""

    number: int
    position: record_position.RecordPosition
    read_at: float


@attrs.define
class RecordFreshness:
    """The newest read of each process, as far as this process has heard.

    All times are seconds on this process's monotonic clock.
    """

    _read_by_process: dict[str, _Read] = attrs.field(factory=dict)

    def record(self, report: ReadReport, now: float) -> bool:
        """Records a read of this process, or a peer's report of a read.

        Returns:
            Whether the read was not known yet.
        """
        known_read = self._read_by_process.get(report.process)
        if known_read is not None and known_read.number >= report.number:
            return False
        self._read_by_process[report.process] = _Read(
            report.number, report.position, now - max(0.0, report.age_s)
        )
        return True

    def last_read_at(self, position: record_position.RecordPosition) -> float:
        """Returns the time of the last read that found no newer position.

        Reads of an older era confirm nothing: the service may since have been
        restored.

        Args:
            position: Position up to which the records are known.

        Returns:
            The time as estimated when this process first heard of the read:
            too late by the times that its first copy was in transit, from one
            process to the next.
            Minus infinity if there is no such read.
        """
        return max(
            (
                read.read_at
                for read in self._read_by_process.values()
                if read.position.era == position.era
                and read.position <= position
            ),
            default=-math.inf,
        )

    def reports(self, now: float) -> list[ReadReport]:
        """Returns the recent reads, for a peer; forgets old ones."""
        for process, read in list(self._read_by_process.items()):
            if now - read.read_at > _READ_RETENTION_S:
                del self._read_by_process[process]
        return [
            ReadReport(
                process,
                read.number,
                read.position.revision,
                now - read.read_at,
                read.position.era,
            )
            for process, read in self._read_by_process.items()
            if now - read.read_at <= _REPORT_RETENTION_S
        ]

    def readers_since(self, since: float, era: int = 0) -> list[str]:
        """Returns the processes whose newest read is later than a time.

        Args:
            since: The time.
            era: Oldest era of the reads that count.
        """
        return [
            process
            for process, read in self._read_by_process.items()
            if read.read_at > since and read.position.era >= era
        ]
