"""Processor time and bytes of a gateway's single steps."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from cassiahead_decisions import fleet_quota
from cassiahead_decisions import gathering
from cassiahead_decisions import replicas
from cassiahead_gateway import messages
from cassiahead_gateway import records

if TYPE_CHECKING:
    from collections.abc import Callable

_ROUNDS = 2000


def _time_us(step: Callable[[], object]) -> float:
    started = time.process_time()
    for _ in range(_ROUNDS):
        step()
    return (time.process_time() - started) / _ROUNDS * 1e6


def _heartbeat(accounts: int) -> messages.Heartbeat:
    return messages.Heartbeat(
        process="front-a-1-0123456789ab",
        address="10.1.0.17:8360",
        uptime_s=12.5,
        at=530,
        age=0.4,
        reading=False,
        leaving=False,
        addresses=[],
        admitted={f"acct{n:03}": 1000 + n for n in range(accounts)},
        crashes=[],
    )


def main() -> None:
    """Prints a table of slopes."""
    for accounts in (8, 76):
        beat = _heartbeat(accounts)
        text = messages.encode(beat)
        encode = _time_us(lambda b=beat: messages.encode(b))
        decode = _time_us(lambda t=text: messages.decode(t))
        print(
            f"heartbeat, {accounts} accounts: {len(text)} bytes, "
            f"encode {encode:.0f} us, decode {decode:.0f} us"
        )
    for peers in (7, 67):
        quota = fleet_quota.FleetQuota()
        quota.set_limits({"a": fleet_quota.RateLimit(100, 100)}, 0.0)
        for peer in range(peers):
            quota.merge_report(f"p{peer}", {"a": 0}, 0.0)
            quota.merge_report(f"p{peer}", {"a": 1}, 0.1)
        cost = _time_us(lambda q=quota: q.admit("a", 1.0, False))
        print(f"admit one request, {peers} peers: {cost:.1f} us")
    rng = random.Random(1)
    chooser = replicas.ReplicaChooser(
        "d", rng, 4.0, replicas.WeightedRandom(8.0)
    )
    domains = dict.fromkeys(("a", "b", "c"), "d")
    cost = _time_us(lambda: chooser.choose_among(domains, 1.0))
    print(f"choose one of 3 replicas: {cost:.1f} us")
    parts = [rng.randbytes(400) for _ in range(10)]
    cost = _time_us(lambda: gathering.merge(parts, 20))
    print(f"merge 10 parts of 25 records: {cost:.0f} us")
    known = records.RecordTable()
    changes = tuple(
        records.Change(f"servers/i-{n:010}", n + 1, "x" * 200)
        for n in range(100)
    )
    known.apply(records.Update(100, changes))
    cost = _time_us(lambda: known.update_since(99))
    print(f"what a peer lacks, of 100 records: {cost:.1f} us")


if __name__ == "__main__":
    main()
