"""Measures overload and fairness over real processes; prints tables.

Run by ``make measure``. Targets answer in 0.1 s with 2 slots, so that they and
not the machine bound it: 3 replicas x 2 slots / 0.1 s = 60 searches/s.
"""

from __future__ import annotations

import asyncio
import hashlib
import sys

from cassiahead_notes import api
from standins import fleet as fleet_lib
from standins import load

_CAPACITY = 60.0
_DELAY_S = 0.1
_SECONDS = 12.0
_WARM_UP_S = 6.0
_RATE = 15.0


def main() -> None:
    """Prints all tables."""
    asyncio.run(_measure())


async def _measure() -> None:
    shape = fleet_lib.Shape(shards=4, entries=2, relays=2)
    async with fleet_lib.running(shape) as fleet:
        for port in fleet.target_ports:
            await fleet.control(port, delay=_DELAY_S)
        await _book_accounts(fleet)
        await _offer(fleet, {"misr": 0.7 * _CAPACITY}, _WARM_UP_S)
        await _overload(fleet)
        await _fairness(fleet)


async def _book_accounts(fleet: fleet_lib.Fleet) -> None:
    names = ("noisy", "calm-a", "calm-b")
    await fleet.book(
        add=api.Items(
            accounts={
                n: api.Account(rate_per_s=_RATE, burst=15) for n in names
            },
            keys={
                hashlib.sha256(f"secret-{n}".encode()).hexdigest(): api.Key(n)
                for n in names
            },
        )
    )
    await asyncio.sleep(4)


async def _overload(fleet: fleet_lib.Fleet) -> None:
    _say("| offered | goodput /s | p50 ms | p99 ms | others |")
    _say("|---|---|---|---|---|")
    for factor in (0.5, 0.8, 1.0, 1.2, 2.0, 3.0):
        rate = factor * _CAPACITY
        sample = (await _offer(fleet, {"misr": rate}))["misr"]
        _say(f"| {factor:.1f} x capacity | {_row(sample)} |")


async def _fairness(fleet: fleet_lib.Fleet) -> None:
    _say("\n| noisy account | other | goodput /s | p50 ms | p99 ms | others |")
    _say("|---|---|---|---|---|---|")
    calm = {"calm-a": 0.8 * _RATE, "calm-b": 0.8 * _RATE}
    for factor in (0.0, 1.0, 5.0):
        rates = {**calm, "noisy": factor * _RATE} if factor else calm
        samples = await _offer(fleet, rates)
        for name in calm:
            _say(
                f"| {factor:.0f} x its rate | {name} | {_row(samples[name])} |"
            )
    for name, rate in (("misr", 0.0), ("misr", 2 * _CAPACITY)):
        rates = {**calm, name: rate} if rate else calm
        samples = await _offer(fleet, rates)
        for calm_name in calm:
            _say(
                f"| {rate:.0f}/s within its rate | {calm_name} "
                f"| {_row(samples[calm_name])} |"
            )


async def _offer(
    fleet: fleet_lib.Fleet, rates: dict[str, float], seconds: float = _SECONDS
) -> dict[str, load.Sample]:
    async def one(account: str, rate: float) -> load.Sample:
        callers = [
            load.Caller(e.callers or "", "/v1/board?q=x", f"secret-{account}")
            for e in fleet.entries
        ]
        turns = iter(range(1_000_000))

        async def call() -> load.Result:
            return await callers[next(turns) % len(callers)].call()

        return await load.offer(call, rate, seconds)

    samples = await asyncio.gather(*(one(a, r) for a, r in rates.items()))
    return dict(zip(rates, samples, strict=True))


def _row(sample: load.Sample) -> str:
    goodput = sample.count("ok") / _SECONDS
    others = {k: len(v) for k, v in sample.latencies.items() if k != "ok"}
    return (
        f"{goodput:.1f} | {sample.percentile(0.5):.0f} "
        f"| {sample.percentile(0.99):.0f} | {others}"
    )


def _say(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
