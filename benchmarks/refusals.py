"""Measures requests refused although inside a client account's rate.

Run as ``python refusals.py [CASE ...]``; prints a table of all cases or of
those whose numbers are given. Inside rate is what one ideal
bucket of the whole rate and burst, fed the same arrivals, admits. The baseline
gives each of N daemons a bucket of 1/N.
"""

from __future__ import annotations

import random
import sys

import attrs

import admission_history
from cassiahead_notes import api
import virtual_fleet

_MINUTES = 30
_WARM_S = 10.0
_DAEMONS = 8


@attrs.frozen
class Case:
    """One arrival pattern and fleet."""

    name: str
    rate: float
    burst: int
    pressure: float = 0.8
    skewed: bool = False
    spare: int = 0
    lose_host: bool = False


CASES = (
    Case("even", 4, 20),
    Case("skewed to one entry", 4, 20, skewed=True),
    Case("burst 1", 4, 1),
    Case("burst 2", 4, 2),
    Case("burst 5", 4, 5),
    Case("five times the rate", 4, 20, pressure=5.0),
    Case("ceiling one above", 4, 20, spare=1),
    Case("ceiling two above", 4, 20, spare=2),
    Case("burst 2, ceiling one above", 4, 2, spare=1),
    Case("one host lost each minute", 4, 20, lose_host=True),
)


def main() -> None:
    """Prints the table."""
    out = sys.stdout
    out.write("| case | ideal | cassiahead refused | static 1/N refused |\n")
    out.write("|---|---|---|---|\n")
    chosen = [CASES[int(number)] for number in sys.argv[1:]] or CASES
    for case in chosen:
        ideal, ours, static = measure(case)
        out.write(f"| {case.name} | {ideal} | {ours:.2%} | {static:.2%} |\n")
        out.flush()


def measure(case: Case, seed: int = 1) -> tuple[int, float, float]:
    """Returns ideal admissions, and fractions of them refused."""
    fleet = virtual_fleet.VirtualFleet(seed)
    account = api.Account(case.rate, case.burst)
    fleet.publish(
        virtual_fleet.first_note(_DAEMONS + case.spare, {"misr": account})
    )
    addresses = [f"10.0.0.{n}:1" for n in range(_DAEMONS)]
    for address in addresses:
        fleet.start(address)
    rng = random.Random(seed)
    end = _WARM_S + _MINUTES * 60
    arrivals = _plan_arrivals(fleet, case, rng, end)
    if case.lose_host:
        for minute in range(1, _MINUTES):
            _plan_loss(fleet, rng.choice(addresses), 60.0 * minute)
    fleet.run_until(end + 1)
    times = [time for time, _ in arrivals]
    ideal = admission_history.ideal_admissions(times, case.rate, case.burst)
    ran = len([t for t in fleet.ran.get("misr", []) if t >= _WARM_S])
    static = _static(arrivals, case)
    return ideal, max(0.0, 1 - ran / ideal), 1 - static / ideal


def _plan_arrivals(
    fleet: virtual_fleet.VirtualFleet,
    case: Case,
    rng: random.Random,
    end: float,
) -> list[tuple[float, int]]:
    arrivals = []
    time = _WARM_S
    while time < end:
        time += rng.expovariate(case.rate * case.pressure)
        number = 0 if case.skewed else rng.randrange(_DAEMONS)
        arrivals.append((time, number))
        address = f"10.0.0.{number}:1"
        fleet.at(time, lambda a=address: _request(fleet, a))
    return arrivals


def _request(fleet: virtual_fleet.VirtualFleet, address: str) -> None:
    """Sends a request to an entry that the balancer thinks ready."""
    node = fleet.node_at(address)
    if node is None or not node.serving():
        ready = [n for n in fleet.nodes if n.serving()]
        node = fleet.rng.choice(ready)
    fleet.request("misr", node)


def _plan_loss(
    fleet: virtual_fleet.VirtualFleet, address: str, time: float
) -> None:
    def lose() -> None:
        node = fleet.node_at(address)
        if node is not None:
            node.alive = False
        fleet.at(fleet.time + 5.0, lambda: fleet.start(address))

    fleet.at(time, lose)


def _static(arrivals: list[tuple[float, int]], case: Case) -> int:
    share = _DAEMONS + case.spare
    return sum(
        admission_history.ideal_admissions(
            [time for time, number in arrivals if number == daemon],
            case.rate / share,
            case.burst / share,
        )
        for daemon in range(_DAEMONS)
    )


if __name__ == "__main__":
    main()
