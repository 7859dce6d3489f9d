"""Measures goodput under overload and fairness between client accounts.

Run by ``make measure``; prints tables. Each target has 2 slots and answers
after 0.1 s, so that the targets and not the machine limit the capacity of the
fleet:
3 replicas x 2 slots / 0.1 s = 60 searches/s. The steady accounts stay within
their rates; the noisy one may exceed its rate.
"""

from __future__ import annotations

import asyncio
import hashlib
import sys

from cassiahead_notes import api
from standins import fleet as fleet_lib
from standins import load

_CAPACITY_PER_S = 60.0
_TARGET_DELAY_S = 0.1
_RUN_DURATION_S = 12.0
_WARM_UP_S = 6.0
_ACCOUNT_RATE_PER_S = 15.0


def main() -> None:
    """Measures and prints all tables."""
    asyncio.run(_measure_all())


async def _measure_all() -> None:
    spec = fleet_lib.FleetSpec(shard_count=4, entry_count=2, relay_count=2)
    async with fleet_lib.running_fleet(spec) as fleet:
        for port in fleet.target_ports:
            await fleet.control(port, delay_s=_TARGET_DELAY_S)
        await _publish_accounts(fleet)
        await _offer(fleet, {"misr": 0.7 * _CAPACITY_PER_S}, _WARM_UP_S)
        await _measure_overload(fleet)
        await _measure_fairness(fleet)


async def _publish_accounts(fleet: fleet_lib.Fleet) -> None:
    names = ("noisy", "steady-a", "steady-b")
    await fleet.publish_note(
        add=api.Items(
            accounts={
                name: api.Account(rate_per_s=_ACCOUNT_RATE_PER_S, burst=15)
                for name in names
            },
            keys={
                hashlib.sha256(f"secret-{name}".encode()).hexdigest(): api.Key(
                    name
                )
                for name in names
            },
        )
    )
    await asyncio.sleep(4)


async def _measure_overload(fleet: fleet_lib.Fleet) -> None:
    _print("| offered | goodput /s | p50 ms | p99 ms | others |")
    _print("|---|---|---|---|---|")
    for load_factor in (0.5, 0.8, 1.0, 1.2, 2.0, 3.0):
        rate_per_s = load_factor * _CAPACITY_PER_S
        results = (await _offer(fleet, {"misr": rate_per_s}))["misr"]
        _print(f"| {load_factor:.1f} x capacity | {_format_row(results)} |")


async def _measure_fairness(fleet: fleet_lib.Fleet) -> None:
    _print(
        "\n| noisy account | other | goodput /s | p50 ms | p99 ms | others |"
    )
    _print("|---|---|---|---|---|---|")
    steady_rates_per_s = {
        "steady-a": 0.8 * _ACCOUNT_RATE_PER_S,
        "steady-b": 0.8 * _ACCOUNT_RATE_PER_S,
    }
    for load_factor in (0.0, 1.0, 5.0):
        rates_per_s = (
            {**steady_rates_per_s, "noisy": load_factor * _ACCOUNT_RATE_PER_S}
            if load_factor
            else steady_rates_per_s
        )
        results_by_account = await _offer(fleet, rates_per_s)
        for name in steady_rates_per_s:
            _print(
                f"| {load_factor:.0f} x its rate | {name} "
                f"| {_format_row(results_by_account[name])} |"
            )
    for name, rate_per_s in (("misr", 0.0), ("misr", 2 * _CAPACITY_PER_S)):
        rates_per_s = (
            {**steady_rates_per_s, name: rate_per_s}
            if rate_per_s
            else steady_rates_per_s
        )
        results_by_account = await _offer(fleet, rates_per_s)
        for steady_name in steady_rates_per_s:
            _print(
                f"| {rate_per_s:.0f}/s within its rate | {steady_name} "
                f"| {_format_row(results_by_account[steady_name])} |"
            )


async def _offer(
    fleet: fleet_lib.Fleet,
    rates_per_s: dict[str, float],
    duration_s: float = _RUN_DURATION_S,
) -> dict[str, load.RunResults]:
    """Offers load of several accounts at once.

    Args:
        fleet: Fleet that receives the load.
        rates_per_s: Searches per second, by account.
        duration_s: Time over which searches are started, in seconds.

    Returns:
        Results by account.
    """

    async def offer_for_account(
        account: str, rate_per_s: float
    ) -> load.RunResults:
        callers = [
            load.Caller(
                e.caller_address or "", "/v1/board?q=x", f"secret-{account}"
            )
            for e in fleet.entries
        ]
        call_numbers = iter(range(1_000_000))

        async def call() -> load.Result:
            return await callers[next(call_numbers) % len(callers)].call()

        return await load.offer(call, rate_per_s, duration_s)

    results_by_account = await asyncio.gather(
        *(offer_for_account(a, r) for a, r in rates_per_s.items())
    )
    return dict(zip(rates_per_s, results_by_account, strict=True))


def _format_row(results: load.RunResults) -> str:
    goodput_per_s = results.count("ok") / _RUN_DURATION_S
    other_counts = {
        k: len(v) for k, v in results.latencies_s.items() if k != "ok"
    }
    return (
        f"{goodput_per_s:.1f} | {results.percentile_ms(0.5):.0f} "
        f"| {results.percentile_ms(0.99):.0f} | {other_counts}"
    )


def _print(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
