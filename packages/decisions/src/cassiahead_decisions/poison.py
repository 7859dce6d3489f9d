"""Refuses requests that have crashed targets before."""

from __future__ import annotations

import hashlib

import attrs

from cassiahead_protocol import poison as protocol

__all__ = ["CRASH_RETENTION_S", "CRASH_THRESHOLD", "PoisonTable", "fingerprint"]

CRASH_THRESHOLD = 2
# Seconds for which crashes are remembered.
CRASH_RETENTION_S = 120.0
_MAX_ENTRIES = 1000


def fingerprint(account: str, route: str, body: str) -> str:
    """Returns the digest that stands for a request and its repetitions."""
    data = f"{account}\0{route}\0{body}".encode()
    return hashlib.blake2b(data, digest_size=16).hexdigest()


@attrs.define
class _Entry:
    own: int
    others: dict[str, int]
    until: float


@attrs.define
class PoisonTable:
    """Suspected crashes by fingerprint: own ones and those heard of.

    Attributes:
        crash_threshold: Crashes after which a request is refused.
    """

    crash_threshold: int = CRASH_THRESHOLD
    _entries: dict[str, _Entry] = attrs.field(factory=dict)

    def record_crash(self, fingerprint: str, now: float) -> int:
        """Counts one crash seen here; returns the count over the fleet."""
        entry = self._entry(fingerprint)
        entry.own += 1
        entry.until = now + CRASH_RETENTION_S
        return self.crash_count(fingerprint, now)

    def record_success(self, fingerprint: str) -> None:
        """Notes a good answer: the request does not crash every target."""
        entry = self._entries.get(fingerprint)
        if entry is not None:
            entry.own = 0
            entry.others.clear()

    def merge_reports(
        self,
        sender: str,
        reports: tuple[protocol.PoisonReport, ...],
        now: float,
    ) -> None:
        """Takes over a peer's own counts."""
        for report in reports:
            entry = self._entry(report.fingerprint)
            entry.others[sender] = report.crashes
            entry.until = max(
                entry.until, now + min(report.ttl, CRASH_RETENTION_S)
            )

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Returns the crashes known of a fingerprint."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.until <= now:
            return 0
        return entry.own + sum(entry.others.values())

    def is_poisoned(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request must not be sent to targets again."""
        return self.crash_count(fingerprint, now) >= self.crash_threshold

    def own_reports(self, now: float) -> tuple[protocol.PoisonReport, ...]:
        """Returns this process's own counts, for its peers."""
        return tuple(
            protocol.PoisonReport(digest, entry.own, entry.until - now)
            for digest, entry in self._entries.items()
            if entry.until > now
        )

    def forget_expired(self, now: float) -> None:
        """Drops counts that have run out."""
        for digest, entry in list(self._entries.items()):
            if entry.until <= now:
                del self._entries[digest]

    def _entry(self, fingerprint: str) -> _Entry:
        if (
            fingerprint not in self._entries
            and len(self._entries) >= _MAX_ENTRIES
        ):
            oldest = min(self._entries, key=lambda d: self._entries[d].until)
            del self._entries[oldest]
        return self._entries.setdefault(fingerprint, _Entry(0, {}, 0.0))
