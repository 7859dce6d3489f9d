"""Collects the answers of one query into a consistent snapshot.

A snapshot is a pair of layout generation and index version. Answers from
different snapshots are never merged. Coverage counts only answers received.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahead_protocol import api

__all__ = ["AnswerCollector", "Snapshot", "VersionTracker"]

_VERSION_REPORT_MAX_AGE_S = 0.5


@attrs.frozen
class Snapshot:
    """Answers to one query from one snapshot.

    Attributes:
        generation: Layout generation.
        version: Index version; 0 if no shard answered.
        payloads: Result by shard name; each is any JSON value.
        shard_count: Number of shards that the query asked.
    """

    generation: int
    version: int
    payloads: dict[str, Any]
    shard_count: int

    @property
    def coverage(self) -> float:
        """Fraction of the shards asked that answered, 0 to 1."""
        return len(self.payloads) / self.shard_count


@attrs.define
class AnswerCollector:
    """Groups the answers to one query by index version.

    Attributes:
        generation: Layout generation that the query is pinned to.
        shards: Names of the shards that the query asked.
        discarded_count: Number of answers discarded because they are of another
            layout generation, are of a shard that was not asked, or hold no
            valid index version (1 or more).
    """

    generation: int
    shards: frozenset[str]
    discarded_count: int = 0
    # Payloads by index version and shard.
    _payloads_by_version: dict[int, dict[str, Any]] = attrs.field(factory=dict)

    def add(self, answer: api.SubAnswer) -> bool:
        """Adds an answer, unless the shard has answered at the same version.

        Returns:
            False if the answer was discarded, because it is of another layout
            generation, is of a shard that was not asked, or holds no valid
            index version.
        """
        if answer.generation != self.generation:
            self.discarded_count += 1
            return False
        if answer.shard not in self.shards or answer.version < 1:
            self.discarded_count += 1
            return False
        payloads = self._payloads_by_version.setdefault(answer.version, {})
        payloads.setdefault(answer.shard, answer.payload)
        return True

    def best_snapshot(self) -> Snapshot:
        """Returns the snapshot with the highest coverage, the newest on a tie.

        It is empty, with version 0, if there are no answers.
        """
        version = max(
            self._payloads_by_version,
            key=lambda v: (len(self._payloads_by_version[v]), v),
            default=0,
        )
        payloads = dict(self._payloads_by_version.get(version, {}))
        return Snapshot(self.generation, version, payloads, len(self.shards))

    def is_complete(self) -> bool:
        """Returns whether some snapshot has an answer from every shard."""
        return any(
            len(payloads) == len(self.shards)
            for payloads in self._payloads_by_version.values()
        )

    def unanswered_shards(self, version: int) -> frozenset[str]:
        """Returns the names of shards without an answer at an index version."""
        return self.shards - self._payloads_by_version.get(version, {}).keys()

    def has_answer(self, shard: str) -> bool:
        """Returns whether a shard answered at any index version."""
        return any(
            shard in payloads for payloads in self._payloads_by_version.values()
        )


@attrs.define
class VersionTracker:
    """Keeps the index versions that each target last reported to hold."""

    _versions_by_target: dict[str, tuple[int, ...]] = attrs.field(factory=dict)
    # Time of the last report.
    _reported_at_by_target: dict[str, float] = attrs.field(factory=dict)

    def record_versions(
        self, target: str, versions: tuple[int, ...], now: float
    ) -> None:
        """Records the index versions that a target reports to hold.

        A report without versions has no effect.
        """
        if versions:
            self._versions_by_target[target] = versions
            self._reported_at_by_target[target] = now

    def may_hold(self, target: str, version: int | None, now: float) -> bool:
        """Returns whether a target may hold an index version.

        False only if the target's last report lacks the version and is at most
        ``_VERSION_REPORT_MAX_AGE_S`` old. Without that age limit, a target that
        once lacked a version would never be asked for it again.

        Args:
            target: Name of the target.
            version: Index version; None for any.
            now: Time on this process's clock.
        """
        if version is None or target not in self._versions_by_target:
            return True
        is_stale = (
            now - self._reported_at_by_target[target]
            > _VERSION_REPORT_MAX_AGE_S
        )
        return is_stale or version in self._versions_by_target[target]

    def newest_common_version(
        self, targets_by_shard: Iterable[list[str]]
    ) -> int | None:
        """Returns the newest index version at which every shard can answer.

        Args:
            targets_by_shard: Names of the candidate targets of each shard.

        Returns:
            The newest version that some candidate of every shard last reported
            to hold, however old the report; None if there is no such version.
        """
        common_versions: set[int] | None = None
        for targets in targets_by_shard:
            shard_versions = {
                v for t in targets for v in self._versions_by_target.get(t, ())
            }
            common_versions = (
                shard_versions
                if common_versions is None
                else common_versions & shard_versions
            )
            if not common_versions:
                return None
        return max(common_versions, default=None) if common_versions else None
