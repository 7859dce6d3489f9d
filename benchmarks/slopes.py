"""Measures the cost of single steps and of each further target (the slope).

Run as ``python slopes.py``; prints one line per cost. ``docs/CAPACITY.md``
derives the costs of whole fleets from them. Times are CPU time on this
machine.
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

_MEASUREMENT_COUNT = 5


def main() -> None:
    """Measures and prints all costs."""
    _measure_configuration()
    _measure_exchange()
    _measure_home_map()
    _measure_sub_request()


def _print_cost(name: str, cost: float, unit: str) -> None:
    sys.stdout.write(f"| {name} | {cost:,.2f} {unit} |\n")
    sys.stdout.flush()


def _cpu_us(action: Callable[[], object], call_count: int = 1) -> float:
    """Measures the CPU time of an action.

    Args:
        action: Called without arguments.
        call_count: Number of calls per measurement.

    Returns:
        Microseconds per call, the least of ``_MEASUREMENT_COUNT`` measurements.
    """
    least_s = float("inf")
    for _ in range(_MEASUREMENT_COUNT):
        started_at = time.process_time()
        for _ in range(call_count):
            action()
        least_s = min(least_s, (time.process_time() - started_at) / call_count)
    return least_s * 1e6


def _build_note(target_count: int, account_count: int) -> api.Note:
    targets = {
        f"t{n:05}": api.Target(f"10.0.{n // 250}.{n % 250}:9000", "d", 2, 25)
        for n in range(target_count)
    }
    target_names = list(targets)
    shards = {
        f"s{n:05}": tuple(target_names[n * 3 : n * 3 + 3])
        for n in range(target_count // 3)
    }
    return api.Note(
        number=1,
        predecessor="",
        effective=1.0,
        title="size",
        settles=1.0,
        add=api.Items(
            failure_domains={"d": api.FailureDomain()},
            accounts={
                f"a{n}": api.Account(10, 5) for n in range(account_count)
            },
            targets=targets,
            layouts={"desk": api.Layout(1, shards)} if shards else {},
        ),
    )


def _accept_note(note: api.Note) -> tuple[ledger.Ledger, ledger.NoteRecord]:
    text = codec.encode(note)
    record = ledger.NoteRecord(1, codec.text_digest(text), text)
    accepted_ledger, verdict = ledger.Ledger().apply_record(record)
    assert verdict.error is None
    return accepted_ledger, record


def _measure_configuration() -> None:
    low_target_count, high_target_count = 300, 3000
    cost_us_by_target_count = {}
    for target_count in (low_target_count, high_target_count):
        accepted_ledger, _ = _accept_note(_build_note(target_count, 8))
        change = api.Note(
            2,
            accepted_ledger.head,
            2.0,
            "rate",
            change=api.Items(accounts={"a0": api.Account(9, 5)}),
        )
        text = codec.encode(change)
        record = ledger.NoteRecord(2, codec.text_digest(text), text)
        cost_us_by_target_count[target_count] = _cpu_us(
            lambda a=accepted_ledger, r=record: a.apply_record(r)
        )
    slope_us = (
        cost_us_by_target_count[high_target_count]
        - cost_us_by_target_count[low_target_count]
    ) / (high_target_count - low_target_count)
    _print_cost(
        "accept a note of one change, per target configured", slope_us, "us"
    )
    accepted_ledger, record = _accept_note(_build_note(high_target_count, 8))
    tracemalloc.start()
    measured_ledger, _ = _accept_note(_build_note(high_target_count, 8))
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert measured_ledger.number == 1
    _print_cost(
        "memory of the configuration, per target",
        memory_bytes / high_target_count,
        "bytes",
    )
    _print_cost(
        "published text, per target",
        len(record.text) / high_target_count,
        "bytes",
    )


def _build_process(number: int, role: str) -> protocol.Process:
    return protocol.Process(f"10.0.0.{number}:7000", role, "d", number + 1)


def _measure_exchange() -> None:
    configuration = api.Configuration()
    local = peering.Peering(_build_process(0, "entry"), -100.0)
    peers = [
        peering.Peering(_build_process(n, "entry"), -100.0) for n in (1, 2)
    ]
    for number, process_peering in enumerate([local, *peers]):
        process_peering.is_ready = True
        process_peering.members.set_host_list(
            {_build_process(n, "entry").address: "entry" for n in range(3)}
        )
        process_peering.lender.record_contact(1.0 + number)

    def exchange() -> bytes:
        request = local.build_request(
            peers[0].process.address, configuration, 2.0
        )
        request_bytes = wire_codec.encode(request)
        received_request = wire_codec.decode(request_bytes, protocol.Exchange)
        reply_bytes = wire_codec.encode(
            peers[0].handle_request(received_request, configuration, 2.0)
        )
        local.handle_reply(
            wire_codec.decode(reply_bytes, protocol.Exchange), 2.0, 2.0
        )
        return request_bytes

    _print_cost(
        "one exchange, both ends, without HTTP", _cpu_us(exchange, 50), "us"
    )
    _print_cost(
        "one exchange request, without leases", len(exchange()), "bytes"
    )
    local.tick(configuration, 2.0)
    request = local.build_request(peers[0].process.address, configuration, 2.0)
    resource = "target:t00000"
    # JSON adds two quotation marks and a comma to each name.
    lease_bytes = len(resource) + 3
    assert request.sequence > 0
    _print_cost(
        "each lease in a request and in its reply", lease_bytes, "bytes"
    )


def _measure_home_map() -> None:
    accepted_ledger, _ = _accept_note(_build_note(600, 8))
    configuration = accepted_ledger.configuration_at(2.0)
    cost_us_by_relay_count = {}
    for relay_count in (8, 40):
        relays = [_build_process(n, "relay") for n in range(relay_count)]
        cost_us_by_relay_count[relay_count] = _cpu_us(
            lambda r=relays: home_map.HomeMap.for_relays(configuration, r)
        )
    slope_us = (
        (cost_us_by_relay_count[40] - cost_us_by_relay_count[8]) / 32 / 600
    )
    _print_cost("home map, per target and relay of its domain", slope_us, "us")


def _measure_sub_request() -> None:
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
    answer_bytes = wire_codec.encode(answer)
    _print_cost(
        "decode one shard's answer at an entry",
        _cpu_us(
            lambda: wire_codec.decode(answer_bytes, protocol.SubAnswer), 500
        ),
        "us",
    )
    _print_cost(
        "encode one shard's answer at a relay",
        _cpu_us(lambda: wire_codec.encode(answer), 500),
        "us",
    )
    _print_cost("one shard's answer", len(answer_bytes), "bytes")
    accepted_ledger, _ = _accept_note(_build_note(30, 1))
    configuration = accepted_ledger.configuration_at(2.0)
    chooser = replicas.ReplicaChooser("d", random.Random(1))
    replica_names = ("t00000", "t00001", "t00002")
    _print_cost(
        "choose a replica",
        _cpu_us(lambda: chooser.choose(replica_names, configuration, 1.0), 500),
        "us",
    )
    collector = snapshot.AnswerCollector(1, frozenset({"s00"}))
    _print_cost(
        "collect one answer", _cpu_us(lambda: collector.add(answer), 500), "us"
    )


if __name__ == "__main__":
    main()
