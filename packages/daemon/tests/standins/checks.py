"""Assertions on the behaviour of a fleet of daemon processes.

Each function raises AssertionError if its condition does not hold.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Mapping

    from standins import fleet as fleet_lib

__all__ = [
    "assert_configurations_agree",
    "assert_no_errors_logged",
    "assert_orders_ran_at_most_once",
    "assert_single_snapshot",
    "assert_target_limits_kept",
]


async def assert_target_limits_kept(fleet: fleet_lib.Fleet) -> None:
    """Asserts that no target exceeded its slots or received a caller's key."""
    for state in await fleet.target_states():
        assert state["over_slots_count"] == 0
        assert state["cold_slots_violations"] == []
        assert state["over_cold_slots_count"] == 0
        assert state["leaked_key_count"] == 0


def assert_no_errors_logged(fleet: fleet_lib.Fleet) -> None:
    """Asserts that no daemon logged a violated invariant or internal error."""
    for daemon in fleet.daemons:
        assert daemon.events("INVARIANT_VIOLATED") == []
        assert daemon.events("INTERNAL_ERROR") == []


def assert_single_snapshot(body: Mapping[str, Any]) -> None:
    """Asserts that an answer's hits match the version and coverage it reports.

    Args:
        body: Decoded body of a search's answer with status 200.
    """
    hits = body["result"]["hits"]
    versions = {hit["id"].rpartition("-v")[2] for hit in hits}
    assert versions == {str(body["version"])}
    assert len({hit["shard"] for hit in hits}) == body["shards_answered"]
    assert body["generation"] == 1
    assert body["coverage"] == body["shards_answered"] / body["shards_pinned"]


def assert_orders_ran_at_most_once(
    outcomes_by_ref: Mapping[str, list[str]], run_counts: Mapping[str, int]
) -> None:
    """Asserts that no order ran twice and that reported outcomes are correct.

    At least one order must have run. An order with an outcome ``ran`` must have
    run; one with no other outcome than ``not_run`` must not have run.

    Args:
        outcomes_by_ref: Outcomes in the answers to callers, by order reference.
        run_counts: Number of runs at all targets, by order reference.
    """
    assert max(run_counts.values()) == 1
    for ref, outcomes in outcomes_by_ref.items():
        if "ran" in outcomes:
            assert run_counts[ref] == 1
        if set(outcomes) == {"not_run"}:
            assert run_counts[ref] == 0, (ref, outcomes)


async def assert_configurations_agree(fleet: fleet_lib.Fleet) -> None:
    """Asserts that all daemons accepted the same notes, in ascending order.

    With each configuration that comes into force, a daemon logs the number and
    digest (``head``) of the last note that it accepted. The number must not
    decrease while a process runs, and must have the same digest in all daemons.
    """
    digests_by_number: dict[int, set[str]] = {}
    for daemon in fleet.daemons:
        last_number = 0
        for event in daemon.all_events():
            if event["name"] == "STARTED":
                last_number = 0
            if event["name"] == "CONFIGURATION_IN_FORCE":
                assert event["number"] >= last_number
                last_number = event["number"]
                digests_by_number.setdefault(last_number, set()).add(
                    event["head"]
                )
    assert all(len(digests) == 1 for digests in digests_by_number.values())
