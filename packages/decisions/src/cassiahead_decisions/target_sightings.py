"""What the hosts of a fleet tell each other of slow targets.

A host that gets a late answer or none notes a slow answer of the target. Three
hosts or more that saw slow answers over some time, without a good one in
between that any host knows of, make the target count as slow. A target's short
pause is not enough, and neither is the bad link of one host. The sightings are
added up by group like admissions (see ``peer_groups``): a process tells a
partner what it and its closer groups have seen, never what it has heard from
the partner's side, so that no sighting returns to where it came from and looks
new there. Nothing is told while slow answers are rare.

Load pattern: a large fleet, in which each host asks a given target only once in
several seconds, while many targets turn slow, hang or fail. Each host would
have to find out by itself, at the cost of a late answer for each target.
"""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

__all__ = ["SightingReport", "TargetSightings"]

# Hosts that must have seen slow answers of a target.
_MIN_HOST_COUNT = 3
# Time that the slow answers must span: longer than a target pauses.
_MIN_SPAN_S = 0.4
# A host asks a slow target again this long after the last slow answer that it
# knows of. The times of the hosts differ, so that few of them ask a target that
# is still slow before all others have heard of it.
_MIN_AVOIDANCE_S = 2.0
_MAX_AVOIDANCE_S = 8.0
# Sightings whose last slow answer is older are forgotten.
_RETENTION_S = 10.0
# As above, if a later good answer is known: until the others know of it too.
_CLEARED_RETENTION_S = 2.0
# Time for which a merged sighting is used again.
_MERGE_VALIDITY_S = 0.1
# Fraction of slow answers from which on a host tells of them. Targets that
# pause now and then stay below it.
_MIN_SLOW_FRACTION = 0.12
# Weight of an answer in the moving average of the fraction of slow ones: that
# of about the last 50.
_SLOW_FRACTION_SMOOTHING = 0.02
# Sightings that differ by less time count as the same, and are told once.
_REPORT_RESOLUTION_S = 0.3


@attrs.frozen
class SightingReport:
    """What a part of the fleet has seen of one target.

    Attributes:
        target: Id of the target.
        first_s: Seconds since the first slow answer after the last good one.
        last_s: Seconds since the last slow answer.
        good_s: Seconds since the last good answer; None if none is known.
        hosts: Number of hosts that saw slow answers after the last good one.
    """

    target: str
    first_s: float
    last_s: float
    hosts: int
    good_s: float | None = None


@attrs.frozen
class _Sighting:
    """What a part of the fleet has seen of one target, with local times."""

    first_slow_at: float
    last_slow_at: float
    host_count: int
    last_good_at: float = -math.inf


@attrs.define
class TargetSightings:
    """Sightings of targets by this process and by the groups of its peers.

    All times are seconds on this process's monotonic clock.
    """

    _rng: random.Random
    _own: dict[str, _Sighting] = attrs.field(factory=dict)
    _own_good_at: dict[str, float] = attrs.field(factory=dict)
    _by_group: dict[int, dict[str, _Sighting]] = attrs.field(factory=dict)
    _avoidance_s_by_target: dict[str, float] = attrs.field(factory=dict)
    _slow_fraction: float = 0.0
    _merged_at: float = -math.inf
    _merged_by_target: dict[str, _Sighting | None] = attrs.field(factory=dict)

    def record_slow(self, target: str, now: float) -> None:
        """Records an answer that came late, was bad or did not come."""
        self._slow_fraction += _SLOW_FRACTION_SMOOTHING * (
            1 - self._slow_fraction
        )
        is_told = self._slow_fraction >= _MIN_SLOW_FRACTION
        if not is_told and not self._is_suspected(target):
            return
        own = self._own.get(target)
        is_first = (
            own is None
            or self._own_good_at.get(target, -math.inf) > own.last_slow_at
            or now - own.last_slow_at > _RETENTION_S
        )
        first_slow_at = now if own is None or is_first else own.first_slow_at
        self._own[target] = _Sighting(first_slow_at, now, 1)
        self._merged_by_target.pop(target, None)

    def record_good(self, target: str, now: float) -> None:
        """Records an answer that came in the usual time."""
        self._slow_fraction -= _SLOW_FRACTION_SMOOTHING * self._slow_fraction
        self._own_good_at[target] = now

    def merge(
        self, group: int, reports: Iterable[SightingReport], now: float
    ) -> None:
        """Merges what a group's partner reports; the rest stays as it was."""
        sightings = self._by_group.setdefault(group, {})
        for report in reports:
            self._merged_by_target.pop(report.target, None)
            sightings[report.target] = _Sighting(
                now - max(0.0, report.first_s),
                now - max(0.0, report.last_s),
                report.hosts,
                -math.inf
                if report.good_s is None
                else now - max(0.0, report.good_s),
            )

    def versions(self, group: int, now: float) -> dict[str, int]:
        """Returns a number for each target that a partner should hear of.

        The number rises when there is something new to report.

        Args:
            group: Group of the partner.
            now: Current time.
        """
        versions: dict[str, int] = {}
        for target in self._suspected_targets():
            version = self._version(target, group, now)
            if version is not None:
                versions[target] = version
        return versions

    def reports(
        self, targets: Collection[str], group: int, now: float
    ) -> list[SightingReport]:
        """Returns the sightings of targets for a partner.

        Args:
            targets: Ids of the targets.
            group: Group of the partner.
            now: Current time.
        """
        reports: list[SightingReport] = []
        for target in targets:
            sighting = self._merged(target, group + 1)
            if sighting is None:
                continue
            good_s = None
            if math.isfinite(sighting.last_good_at):
                good_s = round(now - sighting.last_good_at, 2)
            reports.append(
                SightingReport(
                    target,
                    round(now - sighting.first_slow_at, 2),
                    round(now - sighting.last_slow_at, 2),
                    sighting.host_count,
                    good_s,
                )
            )
        return reports

    def is_slow(self, target: str, now: float) -> bool:
        """Returns whether this process should avoid a target."""
        if not self._is_suspected(target):
            return False
        sighting = self._whole(target, now)
        if (
            sighting is None
            or sighting.host_count < _MIN_HOST_COUNT
            or sighting.last_slow_at - sighting.first_slow_at < _MIN_SPAN_S
        ):
            self._avoidance_s_by_target.pop(target, None)
            return False
        avoidance_s = self._avoidance_s_by_target.get(target)
        if avoidance_s is None:
            avoidance_s = self._rng.uniform(_MIN_AVOIDANCE_S, _MAX_AVOIDANCE_S)
            self._avoidance_s_by_target[target] = avoidance_s
        return now - sighting.last_slow_at < avoidance_s

    def forget_target(self, target: str) -> None:
        """Drops the sightings of a target that no longer exists."""
        self._own.pop(target, None)
        self._own_good_at.pop(target, None)
        self._avoidance_s_by_target.pop(target, None)
        self._drop_sightings(target)

    def forget_expired(self, now: float) -> None:
        """Drops the sightings of targets that nobody saw to be slow lately."""
        for target in self._suspected_targets():
            last_slow_at = self._last_slow_at(target)
            sighting = self._whole(target, now)
            is_cleared = sighting is None or not sighting.host_count
            retention_s = _CLEARED_RETENTION_S if is_cleared else _RETENTION_S
            if now - last_slow_at > retention_s:
                self._drop_sightings(target)

    def _drop_sightings(self, target: str) -> None:
        self._own.pop(target, None)
        self._merged_by_target.pop(target, None)
        for sightings in self._by_group.values():
            sightings.pop(target, None)

    def _last_slow_at(self, target: str) -> float:
        """Returns the time of the last slow answer of a suspected target."""
        return max(
            sightings[target].last_slow_at
            for sightings in (self._own, *self._by_group.values())
            if target in sightings
        )

    def _whole(self, target: str, now: float) -> _Sighting | None:
        """Returns what the whole fleet has seen of a target, as of lately."""
        if now - self._merged_at > _MERGE_VALIDITY_S:
            self._merged_at = now
            self._merged_by_target.clear()
        if target not in self._merged_by_target:
            self._merged_by_target[target] = self._merged(target, 0)
        return self._merged_by_target[target]

    def _version(self, target: str, group: int, now: float) -> int | None:
        """Returns the version of a target's sighting for a partner.

        Args:
            target: Id of the target.
            group: Group of the partner.
            now: Current time.

        Returns:
            The version; None if the partner need not hear of the target.
        """
        whole = self._whole(target, now)
        last_slow_at = self._last_slow_at(target)
        if whole is None or last_slow_at > whole.last_good_at:
            part = self._merged(target, group + 1)
            if part is None or not part.host_count:
                return None
            return 2 * int(part.last_slow_at / _REPORT_RESOLUTION_S)
        # A good answer ends the suspicion. The partner need not be told if it
        # has reported one itself.
        partner_sighting = self._by_group.get(group, {}).get(target)
        if (
            partner_sighting is not None
            and partner_sighting.last_good_at > last_slow_at
        ):
            return None
        part = self._merged(target, group + 1)
        if part is None or part.last_good_at <= last_slow_at:
            return None
        return 2 * int(last_slow_at / _REPORT_RESOLUTION_S) + 1

    def _is_suspected(self, target: str) -> bool:
        """Returns whether there is a sighting of a target, by any host."""
        return target in self._own or any(
            target in sightings for sightings in self._by_group.values()
        )

    def _suspected_targets(self) -> list[str]:
        """Returns the targets with a sighting, by any host."""
        targets = dict.fromkeys(self._own)
        for sightings in self._by_group.values():
            targets.update(dict.fromkeys(sightings))
        return list(targets)

    def _merged(self, target: str, lowest_group: int) -> _Sighting | None:
        """Returns what this process and some groups have seen of a target.

        Args:
            target: Id of the target.
            lowest_group: Groups with lower numbers are left out.

        Returns:
            The sighting; None without a slow or a good answer. If the last
            answer was good, no host counts.
        """
        parts = [
            sightings[target]
            for group, sightings in self._by_group.items()
            if group >= lowest_group and target in sightings
        ]
        if target in self._own:
            parts.append(self._own[target])
        last_good_at = max(
            (part.last_good_at for part in parts), default=-math.inf
        )
        last_good_at = max(
            last_good_at, self._own_good_at.get(target, -math.inf)
        )
        slow_parts = [p for p in parts if p.last_slow_at > last_good_at]
        if not slow_parts:
            if not math.isfinite(last_good_at):
                return None
            return _Sighting(last_good_at, last_good_at, 0, last_good_at)
        return _Sighting(
            max(last_good_at, min(p.first_slow_at for p in slow_parts)),
            max(p.last_slow_at for p in slow_parts),
            sum(p.host_count for p in slow_parts),
            last_good_at,
        )
