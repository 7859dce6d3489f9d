"""What the hosts of a fleet tell each other of bad targets.

A host notes each bad answer of a target: one that comes late or not at all, or,
counted apart, one that is lost or broken. Three hosts or more that saw bad
answers over some time make the target count as bad; a short pause of the target
is not enough, and neither is the bad link of one host. A good answer that any
host knows of ends this at once for slow targets, but not for those that fail
only part of their requests. The sightings are added up by group like admissions
(see ``peer_groups``): a process tells a partner what it and its closer groups
have seen, never what it has heard from the partner's side, so that no sighting
returns to where it came from and looks new there. Nothing is told while bad
answers are rare.

Load pattern: a large fleet, in which each host asks a given target only once in
several seconds, while many targets turn slow, hang, or lose part of their
answers. Each host would have to find out by itself, at the cost of a late
answer for each target.
"""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

__all__ = ["FleetSightings", "SightingReport", "TargetSightings"]

# Hosts that must have seen bad answers of a target.
_MIN_HOST_COUNT = 3
# Time that the bad answers must span: longer than a target pauses.
_MIN_SPAN_S = 0.4
# A host asks a bad target again this long after the last bad answer that it
# knows of. The times of the hosts differ, so that few of them ask a target that
# is still bad before all others have heard of it.
_MIN_AVOIDANCE_S = 2.0
_MAX_AVOIDANCE_S = 8.0
# Sightings whose last bad answer is older are forgotten.
_RETENTION_S = 10.0
# As above, if a later good answer is known: until the others know of it too.
_CLEARED_RETENTION_S = 2.0
# Time between two searches for sightings to be forgotten.
_FORGET_INTERVAL_S = 0.5
# Stands for this process among the groups: closer than any of them.
_OWN_GROUP = 64
# Fractions of bad answers from which on a host tells of them. Pauses of targets
# and single lost answers stay below them.
_MIN_SLOW_FRACTION = 0.12
_MIN_FAILING_FRACTION = 0.04
# Weight of an answer in the moving average of the fraction of bad ones: that
# of about the last 50.
_BAD_FRACTION_SMOOTHING = 0.02
# Answers a second and target from which on a host learns sooner by itself than
# from others, and goes by its own results only.
_MAX_ANSWERS_PER_TARGET_S = 1.0
_ANSWER_RATE_TIME_CONSTANT_S = 5.0
# Sightings that differ by less time count as the same, and are told once.
_REPORT_RESOLUTION_S = 0.3


@attrs.frozen
class SightingReport:
    """What a part of the fleet has seen of one target.

    Attributes:
        target: Id of the target.
        first_s: Seconds since the first bad answer after the last good one.
        last_s: Seconds since the last bad answer.
        hosts: Number of hosts that saw bad answers after the last good one; if
            there are none, the other times are that of the good answer.
        good_s: Seconds since the last good answer; None if none is known.
    """

    target: str
    first_s: float
    last_s: float
    hosts: int
    good_s: float | None = None


@attrs.frozen
class _Sighting:
    """What a part of the fleet has seen of one target, with local times."""

    first_bad_at: float
    last_bad_at: float
    host_count: int
    last_good_at: float = -math.inf


@attrs.define(eq=False)
class _Suspect:
    """A target with a bad answer lately.

    Attributes:
        by_group: What this process and each group has seen of the target.
        own_good_at: Time of this process's last good answer.
        whole: What the whole fleet has seen; None if it must be merged anew.
        last_bad_at: Time of the last bad answer that is known.
        avoidance_s: Seconds for which this process avoids the target.
    """

    by_group: dict[int, _Sighting]
    own_good_at: float
    avoidance_s: float
    whole: _Sighting | None = None
    last_bad_at: float = -math.inf

    def update(self, group: int, sighting: _Sighting) -> None:
        """Replaces what a group has seen."""
        self.by_group[group] = sighting
        if sighting.host_count:
            self.last_bad_at = max(self.last_bad_at, sighting.last_bad_at)
        self.whole = None

    def seen_by_all(self) -> _Sighting:
        """Returns what the whole fleet has seen."""
        if self.whole is None:
            self.whole = self.seen_from(0)
        return self.whole

    def seen_from(self, lowest_group: int) -> _Sighting:
        """Returns what this process and some groups have seen.

        Args:
            lowest_group: Groups with lower numbers are left out.

        Returns:
            The sighting; no host counts if the last known answer was good.
        """
        parts = [s for g, s in self.by_group.items() if g >= lowest_group]
        last_good_at = self.own_good_at
        for part in parts:
            last_good_at = max(last_good_at, part.last_good_at)
        first_bad_at = math.inf
        last_bad_at = -math.inf
        host_count = 0
        for part in parts:
            if part.last_bad_at > last_good_at:
                host_count += part.host_count
                first_bad_at = min(first_bad_at, part.first_bad_at)
                last_bad_at = max(last_bad_at, part.last_bad_at)
        if not host_count:
            return _Sighting(last_good_at, last_good_at, 0, last_good_at)
        return _Sighting(
            max(last_good_at, first_bad_at),
            last_bad_at,
            host_count,
            last_good_at,
        )

    @property
    def is_cleared(self) -> bool:
        """Whether a good answer after all bad ones is known."""
        return self.seen_by_all().last_good_at >= self.last_bad_at


@attrs.define
class TargetSightings:
    """Sightings of targets by this process and by the groups of its peers.

    All times are seconds on this process's monotonic clock. The arguments are a
    random number generator, the fraction of bad answers from which on they are
    told, and whether a good answer shows that a target is no longer bad.
    """

    _rng: random.Random
    _min_bad_fraction: float
    _good_answers_clear: bool
    _suspects: dict[str, _Suspect] = attrs.field(factory=dict)
    _own_good_at: dict[str, float] = attrs.field(factory=dict)
    _bad_fraction: float = 0.0
    _forget_at: float = -math.inf

    def record_bad(self, target: str, now: float) -> None:
        """Records an answer that came late, was bad or did not come."""
        self._bad_fraction += _BAD_FRACTION_SMOOTHING * (1 - self._bad_fraction)
        is_told = self._bad_fraction >= self._min_bad_fraction
        if not is_told and target not in self._suspects:
            return
        suspect = self._suspect(target)
        own = suspect.by_group.get(_OWN_GROUP)
        continues = own is not None and (
            suspect.own_good_at < own.last_bad_at
            and now - own.last_bad_at <= _RETENTION_S
        )
        first_bad_at = own.first_bad_at if own and continues else now
        suspect.update(_OWN_GROUP, _Sighting(first_bad_at, now, 1))

    def record_good(self, target: str, now: float) -> None:
        """Records an answer that came in the usual time."""
        self._bad_fraction -= _BAD_FRACTION_SMOOTHING * self._bad_fraction
        if not self._good_answers_clear:
            return
        self._own_good_at[target] = now
        suspect = self._suspects.get(target)
        if suspect is not None:
            suspect.own_good_at = now
            suspect.whole = None

    def merge(
        self, group: int, reports: Iterable[SightingReport], now: float
    ) -> None:
        """Merges what a group's partner reports; the rest stays as it was."""
        for report in reports:
            if report.hosts <= 0 and report.target not in self._suspects:
                continue
            sighting = _Sighting(
                now - max(0.0, report.first_s),
                now - max(0.0, report.last_s),
                max(0, report.hosts),
                -math.inf
                if report.good_s is None
                else now - max(0.0, report.good_s),
            )
            self._suspect(report.target).update(group, sighting)

    def versions(self, group: int) -> dict[str, int]:
        """Returns a number for each target that a partner should hear of.

        The number rises when there is something new to report.

        Args:
            group: Group of the partner.
        """
        versions: dict[str, int] = {}
        for target, suspect in self._suspects.items():
            version = _version(suspect, group)
            if version is not None:
                versions[target] = version
        return versions

    def reports(
        self, targets: Collection[str], group: int, now: float
    ) -> list[SightingReport]:
        """Returns the sightings of targets for a partner.

        Args:
            targets: Ids of targets from ``versions``.
            group: Group of the partner.
            now: Current time.
        """
        reports: list[SightingReport] = []
        for target in targets:
            sighting = self._suspects[target].seen_from(group + 1)
            good_s = None
            if math.isfinite(sighting.last_good_at):
                good_s = round(now - sighting.last_good_at, 2)
            reports.append(
                SightingReport(
                    target,
                    round(now - sighting.first_bad_at, 2),
                    round(now - sighting.last_bad_at, 2),
                    sighting.host_count,
                    good_s,
                )
            )
        return reports

    def is_bad(self, target: str, now: float) -> bool:
        """Returns whether this process should avoid a target."""
        suspect = self._suspects.get(target)
        if suspect is None:
            return False
        sighting = suspect.seen_by_all()
        return (
            sighting.host_count >= _MIN_HOST_COUNT
            and sighting.last_bad_at - sighting.first_bad_at >= _MIN_SPAN_S
            and now - sighting.last_bad_at < suspect.avoidance_s
        )

    def bad_targets(self, now: float) -> set[str]:
        """Returns the ids of the targets that this process avoids."""
        return {t for t in self._suspects if self.is_bad(t, now)}

    def forget_target(self, target: str) -> None:
        """Drops the sightings of a target that no longer exists."""
        self._suspects.pop(target, None)
        self._own_good_at.pop(target, None)

    def forget_expired(self, now: float) -> None:
        """Drops the sightings of targets that nobody saw to be bad lately."""
        if now < self._forget_at:
            return
        self._forget_at = now + _FORGET_INTERVAL_S
        for target, suspect in list(self._suspects.items()):
            retention_s = (
                _CLEARED_RETENTION_S if suspect.is_cleared else _RETENTION_S
            )
            if now - suspect.last_bad_at > retention_s:
                del self._suspects[target]

    def _suspect(self, target: str) -> _Suspect:
        suspect = self._suspects.get(target)
        if suspect is None:
            suspect = self._suspects[target] = _Suspect(
                {},
                self._own_good_at.get(target, -math.inf),
                self._rng.uniform(_MIN_AVOIDANCE_S, _MAX_AVOIDANCE_S),
            )
        return suspect


def _version(suspect: _Suspect, group: int) -> int | None:
    """Returns the version of a target's sighting for a partner.

    Args:
        suspect: The target.
        group: Group of the partner.

    Returns:
        The version; None if the partner need not hear of the target.
    """
    last_bad_at = suspect.last_bad_at
    if not suspect.is_cleared:
        part = suspect.seen_from(group + 1)
        if not part.host_count:
            return None
        return 2 * int(part.last_bad_at / _REPORT_RESOLUTION_S)
    # A good answer ends the suspicion. The partner need not be told if it has
    # reported one itself.
    partner_sighting = suspect.by_group.get(group)
    if partner_sighting and partner_sighting.last_good_at > last_bad_at:
        return None
    if suspect.seen_from(group + 1).last_good_at <= last_bad_at:
        return None
    return 2 * int(last_bad_at / _REPORT_RESOLUTION_S) + 1


@attrs.define
class FleetSightings:
    """Sightings of both kinds of bad targets.

    Attributes:
        slow: Targets whose answers come late or not at all.
        failing: Targets that lose or break part of their answers.
    """

    slow: TargetSightings
    failing: TargetSightings
    _answers_per_s: float = 0.0
    _answered_at: float = -math.inf

    @classmethod
    def at_start(cls, rng: random.Random) -> FleetSightings:
        """Creates the sightings of a process that knows none."""
        return cls(
            TargetSightings(rng, _MIN_SLOW_FRACTION, True),
            TargetSightings(rng, _MIN_FAILING_FRACTION, False),
        )

    def record_answer(self, now: float) -> None:
        """Counts an attempt that has ended, with a good answer or not."""
        self._answers_per_s = (
            self.answers_per_s(now) + 1 / _ANSWER_RATE_TIME_CONSTANT_S
        )
        self._answered_at = now

    def answers_per_s(self, now: float) -> float:
        """Returns the recent rate of attempts that have ended."""
        elapsed_s = max(0.0, now - self._answered_at)
        return self._answers_per_s * math.exp(
            -elapsed_s / _ANSWER_RATE_TIME_CONSTANT_S
        )

    def are_needed(self, target_count: int, now: float) -> bool:
        """Returns whether this process should go by the sightings of others.

        Args:
            target_count: Number of targets that share the requests.
            now: Current time.
        """
        max_answers_per_s = _MAX_ANSWERS_PER_TARGET_S * max(1, target_count)
        return self.answers_per_s(now) < max_answers_per_s

    def is_bad(self, target: str, now: float) -> bool:
        """Returns whether this process should avoid a target."""
        return self.slow.is_bad(target, now) or self.failing.is_bad(target, now)

    def bad_targets(self, now: float) -> set[str]:
        """Returns the ids of the targets that this process avoids."""
        return self.slow.bad_targets(now) | self.failing.bad_targets(now)

    def forget_target(self, target: str) -> None:
        """Drops the sightings of a target that no longer exists."""
        self.slow.forget_target(target)
        self.failing.forget_target(target)

    def forget_expired(self, now: float) -> None:
        """Drops the sightings of targets that nobody saw to be bad lately."""
        self.slow.forget_expired(now)
        self.failing.forget_expired(now)
