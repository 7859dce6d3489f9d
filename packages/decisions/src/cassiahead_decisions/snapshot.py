"""Collects the answers of one query into a single snapshot.

A snapshot is one (layout generation, index version). Answers of different
snapshots are never merged; coverage is counted from answers in hand.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahead_protocol import api

__all__ = ["AnswerCollector", "Snapshot", "VersionTracker"]

_LACK_HOLDS_S = 0.5


@attrs.frozen
class Snapshot:
    """The answers of one snapshot.

    Attributes:
        generation: Layout generation.
        version: Index version; 0 if no shard answered.
        payloads: Result of each shard, any JSON value.
        shard_count: Number of shards of the pinned layout.
    """

    generation: int
    version: int
    payloads: dict[str, Any]
    shard_count: int

    @property
    def coverage(self) -> float:
        """Fraction of the shards of the layout that answered."""
        return len(self.payloads) / self.shard_count


@attrs.define
class AnswerCollector:
    """Answers to one query, by index version."""

    generation: int
    shards: frozenset[str]
    discarded_count: int = 0
    _by_version: dict[int, dict[str, Any]] = attrs.field(factory=dict)

    def add(self, answer: api.SubAnswer) -> bool:
        """Takes an answer.

        Returns:
            Whether it belongs to the pinned layout and was kept.
        """
        if answer.generation != self.generation:
            self.discarded_count += 1
            return False
        if answer.shard not in self.shards or answer.version < 1:
            self.discarded_count += 1
            return False
        answers = self._by_version.setdefault(answer.version, {})
        answers.setdefault(answer.shard, answer.payload)
        return True

    def best_snapshot(self) -> Snapshot:
        """Returns the snapshot with most coverage; the newest on a tie."""
        version = max(
            self._by_version,
            key=lambda v: (len(self._by_version[v]), v),
            default=0,
        )
        payloads = dict(self._by_version.get(version, {}))
        return Snapshot(self.generation, version, payloads, len(self.shards))

    def is_complete(self) -> bool:
        """Returns whether one snapshot covers all shards."""
        return any(
            len(answers) == len(self.shards)
            for answers in self._by_version.values()
        )

    def unanswered_shards(self, version: int) -> frozenset[str]:
        """Returns the shards without an answer at a version."""
        return self.shards - self._by_version.get(version, {}).keys()

    def has_answer(self, shard: str) -> bool:
        """Returns whether a shard answered at any version."""
        return any(shard in x for x in self._by_version.values())


@attrs.define
class VersionTracker:
    """Which index versions the targets were last seen to hold."""

    _held: dict[str, tuple[int, ...]] = attrs.field(factory=dict)
    _seen_at: dict[str, float] = attrs.field(factory=dict)

    def record_versions(
        self, target: str, versions: tuple[int, ...], now: float
    ) -> None:
        """Notes the versions that a target says it holds."""
        if versions:
            self._held[target] = versions
            self._seen_at[target] = now

    def may_hold(self, target: str, version: int | None, now: float) -> bool:
        """Returns whether a target is not known to lack a version.

        What was seen more than ``_LACK_HOLDS_S`` ago says nothing: a target
        that is not asked for a version would else never be asked again.
        """
        if version is None or target not in self._held:
            return True
        stale = now - self._seen_at[target] > _LACK_HOLDS_S
        return stale or version in self._held[target]

    def newest_common_version(self, shards: Iterable[list[str]]) -> int | None:
        """Returns the newest version that every shard can answer.

        Args:
            shards: For each shard, the targets that may be asked.

        Returns:
            The version, or None if the targets seen have none in common.
        """
        common: set[int] | None = None
        for targets in shards:
            held = {v for t in targets for v in self._held.get(t, ())}
            common = held if common is None else common & held
            if not common:
                return None
        return max(common, default=None) if common else None
