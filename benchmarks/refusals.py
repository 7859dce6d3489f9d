"""Measures how many requests within an account's rate limit are refused.

Run as ``python refusals.py [CASE ...]``; prints a table of all cases, or of
those whose zero-based indices are given. A simulated fleet receives the same
requests as two references. One is an ideal token bucket with the whole rate and
burst; the requests that it admits are those within the limit. The other is a
static split: each of the N entries that the ceiling allows has a token bucket
with 1/N of the rate and burst.
"""

from __future__ import annotations

import random
import sys

import attrs

import admission_history
from cassiahead_notes import api
import virtual_fleet

_DURATION_MINUTES = 30
_WARM_UP_S = 10.0
_ENTRY_COUNT = 8


@attrs.frozen
class Case:
    """One pattern of requests and the fleet that receives them.

    Attributes:
        name: Name of the case in the table.
        rate_per_s: Rate limit of the account, in admissions per second.
        burst: Maximum number of admissions of the account at once.
        offered_ratio: Rate of the requests relative to ``rate_per_s``.
        is_skewed: Whether all requests go to one entry instead of random ones.
        ceiling_excess: Ceiling of entries minus the number of running entries.
        loses_hosts: Whether one host is lost each minute, for 5 s.
    """

    name: str
    rate_per_s: float
    burst: int
    offered_ratio: float = 0.8
    is_skewed: bool = False
    ceiling_excess: int = 0
    loses_hosts: bool = False


CASES = (
    Case("even", 4, 20),
    Case("skewed to one entry", 4, 20, is_skewed=True),
    Case("burst 1", 4, 1),
    Case("burst 2", 4, 2),
    Case("burst 5", 4, 5),
    Case("five times the rate", 4, 20, offered_ratio=5.0),
    Case("ceiling one above", 4, 20, ceiling_excess=1),
    Case("ceiling two above", 4, 20, ceiling_excess=2),
    Case("burst 2, ceiling one above", 4, 2, ceiling_excess=1),
    Case("one host lost each minute", 4, 20, loses_hosts=True),
)


def main() -> None:
    """Measures the chosen cases and prints the table."""
    output = sys.stdout
    output.write("| case | ideal | cassiahead refused | static 1/N refused |\n")
    output.write("|---|---|---|---|\n")
    cases = [CASES[int(number)] for number in sys.argv[1:]] or CASES
    for case in cases:
        ideal_count, fleet_refused_ratio, static_refused_ratio = measure(case)
        output.write(
            f"| {case.name} | {ideal_count} | {fleet_refused_ratio:.2%} "
            f"| {static_refused_ratio:.2%} |\n"
        )
        output.flush()


def measure(case: Case, seed: int = 1) -> tuple[int, float, float]:
    """Simulates one case.

    Args:
        case: The case.
        seed: Seed of the requests, the faults and the simulated network.

    Returns:
        Number of admissions of the ideal bucket, and the fractions of them
        refused by the fleet and by the static split.
    """
    fleet = virtual_fleet.VirtualFleet(seed)
    account = api.Account(case.rate_per_s, case.burst)
    fleet.publish(
        virtual_fleet.first_note(
            _ENTRY_COUNT + case.ceiling_excess, {"misr": account}
        )
    )
    addresses = [f"10.0.0.{n}:1" for n in range(_ENTRY_COUNT)]
    for address in addresses:
        fleet.start(address)
    rng = random.Random(seed)
    end_at = _WARM_UP_S + _DURATION_MINUTES * 60
    arrivals = _schedule_requests(fleet, case, rng, end_at)
    if case.loses_hosts:
        for minute in range(1, _DURATION_MINUTES):
            _schedule_host_loss(fleet, rng.choice(addresses), 60.0 * minute)
    fleet.run_until(end_at + 1)
    arrival_times = [time for time, _ in arrivals]
    ideal_count = admission_history.ideal_admissions(
        arrival_times, case.rate_per_s, case.burst
    )
    fleet_count = len(
        [
            t
            for t in fleet.admission_times_by_account.get("misr", [])
            if t >= _WARM_UP_S
        ]
    )
    static_count = _static_admissions(arrivals, case)
    return (
        ideal_count,
        max(0.0, 1 - fleet_count / ideal_count),
        1 - static_count / ideal_count,
    )


def _schedule_requests(
    fleet: virtual_fleet.VirtualFleet,
    case: Case,
    rng: random.Random,
    end_at: float,
) -> list[tuple[float, int]]:
    """Schedules the requests; returns the time and entry index of each."""
    arrivals = []
    time = _WARM_UP_S
    while time < end_at:
        time += rng.expovariate(case.rate_per_s * case.offered_ratio)
        entry_index = 0 if case.is_skewed else rng.randrange(_ENTRY_COUNT)
        arrivals.append((time, entry_index))
        address = f"10.0.0.{entry_index}:1"
        fleet.schedule_at(time, lambda a=address: _send_request(fleet, a))
    return arrivals


def _send_request(fleet: virtual_fleet.VirtualFleet, address: str) -> None:
    """Sends a request to an entry, or to a random one if it is not ready."""
    process = fleet.process_at(address)
    if process is None or not process.is_serving():
        ready_processes = [p for p in fleet.processes if p.is_serving()]
        process = fleet.rng.choice(ready_processes)
    fleet.request("misr", process)


def _schedule_host_loss(
    fleet: virtual_fleet.VirtualFleet, address: str, time: float
) -> None:
    def lose_host() -> None:
        process = fleet.process_at(address)
        if process is not None:
            process.is_alive = False
        fleet.schedule_at(fleet.time + 5.0, lambda: fleet.start(address))

    fleet.schedule_at(time, lose_host)


def _static_admissions(arrivals: list[tuple[float, int]], case: Case) -> int:
    ceiling = _ENTRY_COUNT + case.ceiling_excess
    return sum(
        admission_history.ideal_admissions(
            [
                time
                for time, receiver_index in arrivals
                if receiver_index == entry_index
            ],
            case.rate_per_s / ceiling,
            case.burst / ceiling,
        )
        for entry_index in range(_ENTRY_COUNT)
    )


if __name__ == "__main__":
    main()
