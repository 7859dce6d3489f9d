"""Refuses poison requests: those that have crashed targets before.

A request that crashes targets is sent again by retries and by its caller, and
would crash one replica after the other. Crashes are therefore counted per
request over all processes.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs

from cassiahead_protocol import poison as poison_protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "CRASH_RETENTION_S",
    "CRASH_THRESHOLD",
    "PoisonTable",
    "RelayedReport",
    "fingerprint",
]

CRASH_THRESHOLD = 2
# Time from the last crash that a request is suspected to have caused until its
# counts are forgotten.
CRASH_RETENTION_S = 120.0
_MAX_FINGERPRINT_COUNT = 1000
# Time after the expiry of counts until they are forgotten. Copies of a report
# that arrive later than this would count once more.
_REPORT_SETTLING_S = 30.0


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


@attrs.frozen
class RelayedReport:
    """One process's crash count of one request, passed on by any process.

    Attributes:
        fingerprint: Digest that identifies the request.
        process: Name of the process that saw the crashes, new at each start.
        number: Number of the report, counted by that process for the request.
        crashes: Number of crashes.
        ttl_s: Seconds for which the crashes still count.
    """

    fingerprint: str
    process: str
    number: int
    crashes: int
    ttl_s: float


@attrs.define
class _Crashes:
    """Suspected crashes of one request, as seen by one process.

    Attributes:
        count: Number of crashes.
        expires_at: Time from which the crashes do not count.
        number: Number of changes of ``count`` by the process that saw them.
        learned_at: When this process learned of the last change.
    """

    count: int = 0
    expires_at: float = 0.0
    number: int = 0
    learned_at: float = 0.0

    def update(
        self, count: int, expires_at: float, number: int, now: float
    ) -> None:
        """Replaces the count."""
        self.count = count
        self.expires_at = expires_at
        self.number = number
        self.learned_at = now


@attrs.define
class _RequestCrashes:
    """Suspected crashes of one request.

    Attributes:
        own: Crashes that this process has seen.
        by_process: Crashes that other processes have seen.
    """

    own: _Crashes = attrs.field(factory=_Crashes)
    by_process: dict[str, _Crashes] = attrs.field(factory=dict)

    def expires_at(self) -> float:
        """Returns the time from which no crashes count."""
        return max(
            self.own.expires_at,
            max((c.expires_at for c in self.by_process.values()), default=0.0),
        )


@attrs.define
class PoisonTable:
    """Counts of suspected target crashes, by the request's fingerprint.

    All times are seconds on this process's monotonic clock.

    Attributes:
        crash_threshold: Number of crashes at which a request is refused.
    """

    crash_threshold: int = CRASH_THRESHOLD
    _crashes_by_fingerprint: dict[str, _RequestCrashes] = attrs.field(
        factory=dict
    )

    def record_crash(self, fingerprint: str, now: float) -> int:
        """Records a crash that this process has seen.

        Returns:
            The number of known crashes of the request over the whole fleet.
        """
        own = self._get_or_create(fingerprint).own
        count = own.count if own.expires_at > now else 0
        own.update(count + 1, now + CRASH_RETENTION_S, own.number + 1, now)
        return self.crash_count(fingerprint, now)

    def record_success(self, fingerprint: str) -> None:
        """Records that a target has answered a request.

        The answer shows that the request does not crash every target: this
        process's count is reset, and the peers' counts are dropped until their
        next reports.
        """
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if crashes is None:
            return
        crashes.by_process.clear()
        if crashes.own.count:
            crashes.own.count = 0
            crashes.own.number += 1

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
            by_process = self._get_or_create(report.fingerprint).by_process
            crashes = by_process.setdefault(sender, _Crashes())
            expires_at = now + min(report.ttl, CRASH_RETENTION_S)
            if report.crashes == crashes.count and crashes.number:
                # A repeated report does not extend the time.
                expires_at = min(expires_at, crashes.expires_at)
            crashes.update(report.crashes, expires_at, crashes.number + 1, now)

    def merge_relayed(
        self, reports: Iterable[RelayedReport], now: float
    ) -> None:
        """Merges reports that any process has passed on.

        Only the first copy of a report counts, so that a report that goes round
        in the fleet does not extend its own time.

        Args:
            reports: Reports, none of them of this process.
            now: Current time.
        """
        for report in reports:
            by_process = self._get_or_create(report.fingerprint).by_process
            crashes = by_process.setdefault(report.process, _Crashes())
            if report.number > crashes.number:
                ttl_s = min(report.ttl_s, CRASH_RETENTION_S)
                crashes.update(report.crashes, now + ttl_s, report.number, now)

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Returns the number of known crashes of a request over the fleet."""
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if crashes is None:
            return 0
        return sum(
            c.count
            for c in (crashes.own, *crashes.by_process.values())
            if c.expires_at > now
        )

    def is_poisoned(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request must not be sent to targets again."""
        return self.crash_count(fingerprint, now) >= self.crash_threshold

    def own_reports(
        self, now: float
    ) -> tuple[poison_protocol.PoisonReport, ...]:
        """Returns the crashes that this process has seen, for its peers."""
        return tuple(
            poison_protocol.PoisonReport(
                fingerprint, crashes.own.count, crashes.own.expires_at - now
            )
            for fingerprint, crashes in self._crashes_by_fingerprint.items()
            if crashes.own.expires_at > now
        )

    def relayed_reports(
        self, own_process_name: str, learned_since: float, now: float
    ) -> list[RelayedReport]:
        """Returns the crashes that any process has seen, for a peer.

        Args:
            own_process_name: Name of this process.
            learned_since: Reports learned before this time are left out.
            now: Current time.
        """
        return [
            RelayedReport(
                fingerprint, process, c.number, c.count, c.expires_at - now
            )
            for fingerprint, crashes in self._crashes_by_fingerprint.items()
            for process, c in (
                (own_process_name, crashes.own),
                *crashes.by_process.items(),
            )
            if c.expires_at > now
            and (c.learned_at >= learned_since or _is_reset(c))
        ]

    def forget_expired(self, now: float) -> None:
        """Drops expired counts, once peers no longer report them either."""
        for fingerprint, crashes in list(self._crashes_by_fingerprint.items()):
            if crashes.expires_at() + _REPORT_SETTLING_S <= now:
                del self._crashes_by_fingerprint[fingerprint]

    def _get_or_create(self, fingerprint: str) -> _RequestCrashes:
        crashes_by_fingerprint = self._crashes_by_fingerprint
        if (
            fingerprint not in crashes_by_fingerprint
            and len(crashes_by_fingerprint) >= _MAX_FINGERPRINT_COUNT
        ):
            first_to_expire = min(
                crashes_by_fingerprint,
                key=lambda f: crashes_by_fingerprint[f].expires_at(),
            )
            del crashes_by_fingerprint[first_to_expire]
        return crashes_by_fingerprint.setdefault(fingerprint, _RequestCrashes())


def _is_reset(crashes: _Crashes) -> bool:
    """Returns whether a count was reset to zero, which peers must hear of."""
    return crashes.count == 0 and crashes.number > 0
