"""Refuses poison requests: those that have crashed targets before.

A request that crashes targets is sent again by retries and by its caller, and
would crash one replica after the other. Crashes are therefore counted per
request over all processes.
"""

from __future__ import annotations

import hashlib

import attrs

from cassiahead_protocol import poison as poison_protocol

__all__ = ["CRASH_RETENTION_S", "CRASH_THRESHOLD", "PoisonTable", "fingerprint"]

CRASH_THRESHOLD = 2
# Time from the last crash that a request is suspected to have caused until its
# counts are forgotten.
CRASH_RETENTION_S = 120.0
_MAX_FINGERPRINT_COUNT = 1000


def fingerprint(account: str, route: str, body: str) -> str:
    """Returns the digest that identifies a request and its retries.

    Args:
        account: Client account.
        route: Name of the route, or the request's host header and path.
        body: Content of the request.

    Returns:
        32 hexadecimal digits.
    """
    data = f"{account}\0{route}\0{body}".encode()
    return hashlib.blake2b(data, digest_size=16).hexdigest()


@attrs.define
class _CrashCounts:
    """Suspected crashes of one request.

    Attributes:
        own_count: Crashes that this process has seen.
        count_by_peer: Crashes that each peer has reported.
        expires_at: Time at which the counts are forgotten.
    """

    own_count: int
    count_by_peer: dict[str, int]
    expires_at: float


@attrs.define
class PoisonTable:
    """Counts of suspected target crashes, by the request's fingerprint.

    All times are seconds on this process's monotonic clock.

    Attributes:
        crash_threshold: Number of crashes at which a request is refused.
    """

    crash_threshold: int = CRASH_THRESHOLD
    _counts_by_fingerprint: dict[str, _CrashCounts] = attrs.field(factory=dict)

    def record_crash(self, fingerprint: str, now: float) -> int:
        """Records a crash that this process has seen.

        Returns:
            The number of known crashes of the request over the whole fleet.
        """
        counts = self._get_or_create_counts(fingerprint)
        counts.own_count += 1
        counts.expires_at = now + CRASH_RETENTION_S
        return self.crash_count(fingerprint, now)

    def record_success(self, fingerprint: str) -> None:
        """Records that a target has answered a request.

        The answer shows that the request does not crash every target: this
        process's count is reset, and the peers' counts are dropped until their
        next reports.
        """
        counts = self._counts_by_fingerprint.get(fingerprint)
        if counts is not None:
            counts.own_count = 0
            counts.count_by_peer.clear()

    def merge_reports(
        self,
        sender: str,
        reports: tuple[poison_protocol.PoisonReport, ...],
        now: float,
    ) -> None:
        """Replaces one peer's counts of the requests that the peer reports.

        Args:
            sender: Name of the peer's process.
            reports: The crashes that the peer itself has seen, by request.
            now: Current time.
        """
        for report in reports:
            counts = self._get_or_create_counts(report.fingerprint)
            counts.count_by_peer[sender] = report.crashes
            counts.expires_at = max(
                counts.expires_at, now + min(report.ttl, CRASH_RETENTION_S)
            )

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Returns the number of known crashes of a request over the fleet."""
        counts = self._counts_by_fingerprint.get(fingerprint)
        if counts is None or counts.expires_at <= now:
            return 0
        return counts.own_count + sum(counts.count_by_peer.values())

    def is_poisoned(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request must not be sent to targets again."""
        return self.crash_count(fingerprint, now) >= self.crash_threshold

    def own_reports(
        self, now: float
    ) -> tuple[poison_protocol.PoisonReport, ...]:
        """Returns the crashes that this process has seen, for its peers."""
        return tuple(
            poison_protocol.PoisonReport(
                fingerprint, counts.own_count, counts.expires_at - now
            )
            for fingerprint, counts in self._counts_by_fingerprint.items()
            if counts.expires_at > now
        )

    def forget_expired(self, now: float) -> None:
        """Drops the counts that have expired."""
        for fingerprint, counts in list(self._counts_by_fingerprint.items()):
            if counts.expires_at <= now:
                del self._counts_by_fingerprint[fingerprint]

    def _get_or_create_counts(self, fingerprint: str) -> _CrashCounts:
        if (
            fingerprint not in self._counts_by_fingerprint
            and len(self._counts_by_fingerprint) >= _MAX_FINGERPRINT_COUNT
        ):
            first_to_expire = min(
                self._counts_by_fingerprint,
                key=lambda f: self._counts_by_fingerprint[f].expires_at,
            )
            del self._counts_by_fingerprint[first_to_expire]
        return self._counts_by_fingerprint.setdefault(
            fingerprint, _CrashCounts(0, {}, 0.0)
        )
