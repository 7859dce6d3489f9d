"""Answers of different snapshots are never merged."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cassiahead_decisions import snapshot
from cassiahead_protocol import api

_SHARDS = ("a", "b", "c")
_ANSWERS = st.builds(
    api.SubAnswer,
    shard=st.sampled_from((*_SHARDS, "other")),
    target=st.just("t"),
    status=st.just(api.SubStatus.OK),
    outcome=st.just(api.Outcome.RAN),
    generation=st.integers(1, 2),
    version=st.integers(0, 3),
)


@given(answers=st.lists(_ANSWERS, max_size=20))
@settings(derandomize=True, max_examples=300)
def test_best_snapshot_holds_only_answers_of_its_version(
    answers: list[api.SubAnswer],
) -> None:
    collector = snapshot.AnswerCollector(1, frozenset(_SHARDS))
    for answer in answers:
        collector.add(answer)
    best = collector.best_snapshot()
    shards_by_version = {
        version: {
            a.shard
            for a in answers
            if (a.generation, a.version) == (1, version) and a.shard in _SHARDS
        }
        for version in (1, 2, 3)
    }
    assert best.payloads.keys() == shards_by_version.get(best.version, set())
    assert len(best.payloads) == max(
        len(shards) for shards in shards_by_version.values()
    )
    assert best.coverage == len(best.payloads) / len(_SHARDS)


def test_repeated_answer_counts_once() -> None:
    collector = snapshot.AnswerCollector(1, frozenset(_SHARDS))
    answer = api.SubAnswer(
        "a", "t", api.SubStatus.OK, api.Outcome.RAN, 1, 1, "first"
    )
    assert collector.add(answer)
    collector.add(answer)
    assert collector.best_snapshot().coverage == 1 / 3


def test_reported_lack_of_a_version_expires() -> None:
    tracker = snapshot.VersionTracker()
    tracker.record_versions("t", (1,), 10.0)
    assert not tracker.may_hold("t", 2, 10.1)
    assert tracker.may_hold("t", 2, 11.0)


def test_newest_version_held_for_all_shards_is_returned() -> None:
    tracker = snapshot.VersionTracker()
    tracker.record_versions("t", (1, 2), 10.0)
    tracker.record_versions("u", (2, 3), 10.0)
    assert tracker.newest_common_version([["t"], ["u"]]) == 2
    tracker.record_versions("u", (3,), 10.0)
    assert tracker.newest_common_version([["t"], ["u"]]) is None
