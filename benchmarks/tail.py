"""Measures latencies, CPU time and coverage of searches under faults.

Run by ``make measure``; prints tables for a fleet of daemon processes. Lookups
are compared with direct requests to a target, and searches with the baseline.
Under each fault, fleet and baseline take turns, so that changes in the load of
the machine affect both.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import sys
from typing import TYPE_CHECKING
import urllib.request

import attrs

import baseline as baseline_lib
from standins import fleet as fleet_lib
from standins import load

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_SEARCHES_PER_S = 8.0
_RUN_DURATION_S = 6.0
_RUN_COUNT = 3
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Fault:
    """A fault of some of the targets.

    Attributes:
        name: Name of the fault in the table.
        settings: Attributes of ``TargetStandin`` to set on the faulty targets.
        target_step: Distance between faulty targets in the list of all targets:
            1 for all targets, 3 for one of the 3 replicas of each shard, 30 for
            one of all 30 targets.
    """

    name: str
    settings: dict[str, object]
    target_step: int = 1


FAULTS = (
    Fault("none", {}),
    Fault("1% stragglers of 80 ms", {"straggle_probability": 0.01}),
    Fault("one slow target, 80 ms", {"delay_s": 0.08}, target_step=30),
    Fault(
        "one replica of each shard sheds", {"is_shedding": True}, target_step=3
    ),
    Fault("one silent target", {"is_silent": True}, target_step=30),
)


def main() -> None:
    """Measures and prints all tables."""
    asyncio.run(_measure_all())


def _print(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


async def _measure_all() -> None:
    spec = fleet_lib.FleetSpec(entry_count=2, relay_count=2, min_coverage=0.0)
    async with fleet_lib.running_fleet(spec) as fleet:
        baseline = baseline_lib.RoundRobin.from_fleet(fleet)
        await load.offer(
            _round_robin_calls(fleet, "/v1/board?q=x"), _SEARCHES_PER_S, 5
        )
        await _measure_lookups(fleet, baseline)
        await _measure_processor_time(fleet)
        await _measure_faults(fleet, baseline)


def _round_robin_calls(
    fleet: fleet_lib.Fleet, path: str
) -> Callable[[], Awaitable[load.Result]]:
    callers = [load.Caller(e.caller_address or "", path) for e in fleet.entries]
    call_numbers = iter(range(1_000_000))

    async def call() -> load.Result:
        return await callers[next(call_numbers) % len(callers)].call()

    return call


async def _measure_lookups(
    fleet: fleet_lib.Fleet, baseline: baseline_lib.RoundRobin
) -> None:
    _print("| lookup | p50 ms | p99 ms |\n|---|---|---|")
    call_lookup = _round_robin_calls(fleet, "/v1/snag?id=home-1")
    for name, call in (
        ("direct to a target", baseline.lookup),
        ("through entry and relay", call_lookup),
    ):
        runs = [await load.offer(call, 15, 5) for _ in range(_RUN_COUNT)]
        _print(
            f"| {name} | {_format_percentile_ms(runs, 0.5)} "
            f"| {_format_percentile_ms(runs, 0.99)} |"
        )


async def _measure_processor_time(fleet: fleet_lib.Fleet) -> None:
    cpu_s_before = [_cpu_s(d) for d in fleet.daemons]
    results = await load.offer(
        _round_robin_calls(fleet, "/v1/board?q=x"),
        _SEARCHES_PER_S,
        _RUN_DURATION_S,
    )
    cpu_s_after = [_cpu_s(d) for d in fleet.daemons]
    _print("\n| process | CPU ms per search of 10 shards | resident MB |")
    _print("|---|---|---|")
    for daemon, before_s, after_s in zip(
        fleet.daemons, cpu_s_before, cpu_s_after, strict=True
    ):
        cpu_ms_per_search = (after_s - before_s) / results.total_count * 1000
        _print(
            f"| {daemon.role} | {cpu_ms_per_search:.1f} "
            f"| {_resident_mb(daemon):.0f} |"
        )


async def _measure_faults(
    fleet: fleet_lib.Fleet, baseline: baseline_lib.RoundRobin
) -> None:
    _print(
        "\n| fault | system | p50 ms | p99 ms | p99/p50 | coverage | extra |"
    )
    _print("|---|---|---|---|---|---|---|")
    for fault in FAULTS:
        await _set_fault(fleet, fault)
        fleet_runs: list[load.RunResults] = []
        baseline_runs: list[load.RunResults] = []
        counts_before = _sub_request_counts(fleet)
        for _ in range(_RUN_COUNT):
            call = _round_robin_calls(fleet, "/v1/board?q=x")
            fleet_runs.append(
                await load.offer(call, _SEARCHES_PER_S, _RUN_DURATION_S)
            )
            baseline_runs.append(
                await load.offer(
                    baseline.search, _SEARCHES_PER_S, _RUN_DURATION_S
                )
            )
        extra_load = _extra_load_fraction(
            counts_before, _sub_request_counts(fleet)
        )
        _print_row(fault.name, "cassiahead", fleet_runs, f"{extra_load:.1%}")
        _print_row(fault.name, "round robin", baseline_runs, "0%")


def _print_row(
    fault_name: str, system: str, runs: list[load.RunResults], extra_load: str
) -> None:
    coverage = statistics.fmean(c for run in runs for c in run.coverages)
    tail_ratio = statistics.median(
        run.percentile_ms(0.99) / run.percentile_ms(0.5) for run in runs
    )
    _print(
        f"| {fault_name} | {system} | {_format_percentile_ms(runs, 0.5)} | "
        f"{_format_percentile_ms(runs, 0.99)} | {tail_ratio:.1f} "
        f"| {coverage:.2%} | {extra_load} |"
    )


def _format_percentile_ms(runs: list[load.RunResults], fraction: float) -> str:
    """Formats the median over all runs of a latency percentile."""
    return (
        f"{statistics.median(run.percentile_ms(fraction) for run in runs):.1f}"
    )


async def _set_fault(fleet: fleet_lib.Fleet, fault: Fault) -> None:
    no_fault: dict[str, object] = {
        "straggle_probability": 0.0,
        "delay_s": 0.002,
        "is_shedding": False,
        "is_silent": False,
    }
    for index, port in enumerate(fleet.target_ports):
        is_faulty = index % fault.target_step == 0
        await fleet.control(
            port, **{**no_fault, **(fault.settings if is_faulty else {})}
        )


def _sub_request_counts(fleet: fleet_lib.Fleet) -> dict[str, float]:
    """Returns the number of sub-requests of all entries, by kind."""
    counts: dict[str, float] = {}
    for daemon in fleet.entries:
        url = f"http://{daemon.operator_address}/metrics"
        with urllib.request.urlopen(url) as response:
            metric_lines = response.read().decode().splitlines()
        for line in metric_lines:
            if line.startswith("cassiahead_sub_requests_total"):
                kind = line.split('kind="')[1].split('"')[0]
                count = float(line.rsplit(" ", 1)[1])
                counts[kind] = counts.get(kind, 0.0) + count
    return counts


def _extra_load_fraction(
    counts_before: dict[str, float], counts_after: dict[str, float]
) -> float:
    """Returns the hedges and retries per first attempt in a time span.

    Args:
        counts_before: Sub-requests by kind at the start of the span.
        counts_after: Sub-requests by kind at its end.
    """
    added_counts = {
        kind: counts_after[kind] - counts_before.get(kind, 0.0)
        for kind in counts_after
    }
    return (
        added_counts.get("hedge", 0.0) + added_counts.get("retry", 0.0)
    ) / added_counts["first"]


def _cpu_s(daemon: fleet_lib.Daemon) -> float:
    assert daemon.process is not None
    with open(f"/proc/{daemon.process.pid}/stat") as file:
        fields = file.read().split()
    return (int(fields[13]) + int(fields[14])) / _TICKS_PER_S


def _resident_mb(daemon: fleet_lib.Daemon) -> float:
    assert daemon.process is not None
    with open(f"/proc/{daemon.process.pid}/statm") as file:
        resident_pages = int(file.read().split()[1])
    return resident_pages * os.sysconf("SC_PAGE_SIZE") / 1e6


if __name__ == "__main__":
    main()
