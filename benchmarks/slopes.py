"""Measures the slopes that docs/CAPACITY.md multiplies up.

Run as ``python slopes.py``; prints one line a slope. Times are processor time
of this machine.
"""

from __future__ import annotations

import random
import sys
import time
import tracemalloc
from typing import TYPE_CHECKING

from cassiahead_decisions import home_map
from cassiahead_decisions import peering
from cassiahead_decisions import replicas
from cassiahead_decisions import snapshot
from cassiahead_notes import api
from cassiahead_notes import codec
from cassiahead_notes import ledger
from cassiahead_protocol import api as protocol
from cassiahead_protocol import codec as wire_codec

if TYPE_CHECKING:
    from collections.abc import Callable

_REPEATS = 5


def main() -> None:
    """Prints all slopes."""
    _configuration_slopes()
    _exchange_slopes()
    _home_slopes()
    _sub_request_slopes()


def _say(name: str, value: float, unit: str) -> None:
    sys.stdout.write(f"| {name} | {value:,.2f} {unit} |\n")
    sys.stdout.flush()


def _cpu(action: Callable[[], object], count: int = 1) -> float:
    """Returns the least processor time of one action, in microseconds."""
    best = float("inf")
    for _ in range(_REPEATS):
        started = time.process_time()
        for _ in range(count):
            action()
        best = min(best, (time.process_time() - started) / count)
    return best * 1e6


def _note(targets: int, accounts: int) -> api.Note:
    items = {
        f"t{n:05}": api.Target(f"10.0.{n // 250}.{n % 250}:9000", "d", 2, 25)
        for n in range(targets)
    }
    names = list(items)
    shards = {
        f"s{n:05}": tuple(names[n * 3 : n * 3 + 3]) for n in range(targets // 3)
    }
    return api.Note(
        number=1,
        predecessor="",
        effective=1.0,
        title="size",
        settles=1.0,
        add=api.Items(
            failure_domains={"d": api.FailureDomain()},
            accounts={f"a{n}": api.Account(10, 5) for n in range(accounts)},
            targets=items,
            layouts={"desk": api.Layout(1, shards)} if shards else {},
        ),
    )


def _ledger(note: api.Note) -> tuple[ledger.Ledger, ledger.NoteRecord]:
    text = codec.encode(note)
    record = ledger.NoteRecord(1, codec.text_digest(text), text)
    accepted, verdict = ledger.Ledger().apply_record(record)
    assert verdict.error is None
    return accepted, record


def _configuration_slopes() -> None:
    small, large = 300, 3000
    cost = {}
    for size in (small, large):
        accepted, _ = _ledger(_note(size, 8))
        change = api.Note(
            2,
            accepted.head,
            2.0,
            "rate",
            change=api.Items(accounts={"a0": api.Account(9, 5)}),
        )
        text = codec.encode(change)
        record = ledger.NoteRecord(2, codec.text_digest(text), text)
        cost[size] = _cpu(lambda a=accepted, r=record: a.apply_record(r))
    slope = (cost[large] - cost[small]) / (large - small)
    _say("accept a note of one change, per target configured", slope, "us")
    accepted, record = _ledger(_note(large, 8))
    tracemalloc.start()
    kept, _ = _ledger(_note(large, 8))
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert kept.number == 1
    _say("memory of the configuration, per target", size / large, "bytes")
    _say("published text, per target", len(record.text) / large, "bytes")


def _process(number: int, role: str) -> protocol.Process:
    return protocol.Process(f"10.0.0.{number}:7000", role, "d", number + 1)


def _exchange_slopes() -> None:
    configuration = api.Configuration()
    mine = peering.Peering(_process(0, "entry"), -100.0)
    peers = [peering.Peering(_process(n, "entry"), -100.0) for n in (1, 2)]
    for number, each in enumerate([mine, *peers]):
        each.ready = True
        each.members.set_listed(
            {_process(n, "entry").address: "entry" for n in range(3)}
        )
        each.lender.record_reply(1.0 + number)

    def exchange() -> bytes:
        request = mine.build_request(
            peers[0].process.address, configuration, 2.0
        )
        data = wire_codec.encode(request)
        decoded = wire_codec.decode(data, protocol.Exchange)
        reply = wire_codec.encode(
            peers[0].handle_request(decoded, configuration, 2.0)
        )
        mine.handle_reply(wire_codec.decode(reply, protocol.Exchange), 2.0, 2.0)
        return data

    _say("one exchange, both ends, without HTTP", _cpu(exchange, 50), "us")
    _say("one exchange request, without leases", len(exchange()), "bytes")
    mine.tick(configuration, 2.0)
    request = mine.build_request(peers[0].process.address, configuration, 2.0)
    resource = "target:t00000"
    per_lease = len(resource) + 3
    assert request.sequence > 0
    _say("each lease in a request and in its reply", per_lease, "bytes")


def _home_slopes() -> None:
    accepted, _ = _ledger(_note(600, 8))
    configuration = accepted.configuration_at(2.0)
    cost = {}
    for size in (8, 40):
        relays = [_process(n, "relay") for n in range(size)]
        cost[size] = _cpu(
            lambda r=relays: home_map.HomeMap.for_relays(configuration, r)
        )
    slope = (cost[40] - cost[8]) / 32 / 600
    _say("home map, per target and relay of its domain", slope, "us")


def _sub_request_slopes() -> None:
    answer = protocol.SubAnswer(
        "s00",
        "t00000",
        protocol.SubStatus.OK,
        protocol.Outcome.RAN,
        1,
        1,
        {"hits": [{"id": "x", "score": 0.5}]},
        0.002,
    )
    data = wire_codec.encode(answer)
    _say(
        "decode one shard's answer at an entry",
        _cpu(lambda: wire_codec.decode(data, protocol.SubAnswer), 500),
        "us",
    )
    _say(
        "encode one shard's answer at a relay",
        _cpu(lambda: wire_codec.encode(answer), 500),
        "us",
    )
    _say("one shard's answer", len(data), "bytes")
    accepted, _ = _ledger(_note(30, 1))
    configuration = accepted.configuration_at(2.0)
    chooser = replicas.ReplicaChooser("d", random.Random(1))
    pool = ("t00000", "t00001", "t00002")
    _say(
        "choose a replica",
        _cpu(lambda: chooser.choose(pool, configuration, 1.0), 500),
        "us",
    )
    collector = snapshot.AnswerCollector(1, frozenset({"s00"}))
    _say("collect one answer", _cpu(lambda: collector.add(answer), 500), "us")


if __name__ == "__main__":
    main()
