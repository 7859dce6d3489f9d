"""Measures the CPU time of single steps of a gateway, and message sizes.

Run as ``python gateway_slopes.py``; prints one line per step, with CPU time
in microseconds.
"""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from cassiahead_decisions import fleet_quota
from cassiahead_decisions import gathering
from cassiahead_decisions import record_freshness
from cassiahead_decisions import replicas
from cassiahead_decisions import token_bucket
from cassiahead_gateway import messages
from cassiahead_gateway import records

if TYPE_CHECKING:
    from collections.abc import Callable

_REPETITION_COUNT = 2000


def _measure_us(step: Callable[[], object]) -> float:
    started_at = time.process_time()
    for _ in range(_REPETITION_COUNT):
        step()
    return (time.process_time() - started_at) / _REPETITION_COUNT * 1e6


def _build_heartbeat(account_count: int) -> messages.Heartbeat:
    return messages.Heartbeat(
        process="front-a-1-0123456789ab",
        address="10.1.0.17:8360",
        uptime_s=12.5,
        at=530,
        staying=33,
        fleet=65,
        reads=[
            record_freshness.ReadReport("front-a-2-0123456789ab", 99, 530, 0.4)
        ],
        admitted={f"acct{n:03}": 1000 + n for n in range(account_count)},
    )


def main() -> None:
    """Measures all steps and prints the results."""
    for account_count in (8, 76):
        heartbeat = _build_heartbeat(account_count)
        text = messages.encode(heartbeat)
        encode_us = _measure_us(lambda h=heartbeat: messages.encode(h))
        decode_us = _measure_us(
            lambda t=text: messages.decode(t, messages.Heartbeat)
        )
        print(
            f"heartbeat, {account_count} accounts: {len(text)} bytes, "
            f"encode {encode_us:.0f} us, decode {decode_us:.0f} us"
        )
    for peer_count in (3, 7, 13):
        quota = fleet_quota.FleetQuota()
        quota.set_limits({"a": token_bucket.RateLimit(100, 100)}, 0.0)
        for peer in range(peer_count):
            quota.merge_report(peer, f"p{peer}", {"a": 0}, 0.0)
            quota.merge_report(peer, f"p{peer}", {"a": 1}, 0.1)
        cost_us = _measure_us(lambda q=quota: q.admit("a", 1.0, False))
        print(f"admit one request, {peer_count} groups: {cost_us:.1f} us")
    rng = random.Random(1)
    chooser = replicas.ReplicaChooser(
        "d", rng, 4.0, replicas.WeightedRandom(8.0)
    )
    failure_domains = dict.fromkeys(("a", "b", "c"), "d")
    cost_us = _measure_us(lambda: chooser.choose_among(failure_domains, 1.0))
    print(f"choose one of 3 replicas: {cost_us:.1f} us")
    parts = [rng.randbytes(400) for _ in range(10)]
    cost_us = _measure_us(lambda: gathering.merge(parts, 20))
    print(f"merge 10 parts of 25 records: {cost_us:.0f} us")
    record_table = records.RecordTable()
    changes = tuple(
        records.Change(f"servers/i-{n:010}", n + 1, "x" * 200)
        for n in range(100)
    )
    record_table.apply(records.Update(100, changes))
    cost_us = _measure_us(lambda: record_table.update_since(99))
    print(f"update for a peer that lacks 1 of 100 records: {cost_us:.1f} us")


if __name__ == "__main__":
    main()
