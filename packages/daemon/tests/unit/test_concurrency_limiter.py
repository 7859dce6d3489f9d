"""The gate in front of searches: places are neither lost nor made."""

from __future__ import annotations

import asyncio
import contextlib
import random

import attrs
import pytest

from cassiahead_daemon import concurrency_limiter as gate_lib
from cassiahead_daemon import errors
from cassiahead_daemon import request_context as context_lib
from cassiahead_daemon import telemetry
from cassiahead_notes import api as notes

_ACCOUNTS = ("a", "b", "c")


def _context(account: str, deadline_ms: int) -> context_lib.RequestContext:
    layout = notes.Layout(1, {"s0": ("t0",), "s1": ("t1",)})
    return context_lib.RequestContext(
        request_id="r",
        account=account,
        route_name="board",
        route=notes.Route(notes.RouteKind.SEARCH, "desk", deadline_ms),
        layout=layout,
        configuration=notes.Configuration(
            accounts={a: notes.Account(1, 1) for a in _ACCOUNTS}
        ),
        body="",
        started=gate_lib.clock.monotonic(),
        fingerprint="",
    )


@pytest.mark.parametrize("seed", range(5))
def test_places_come_back_after_waits_refusals_and_cancellations(
    seed: int,
) -> None:
    asyncio.run(_crowd(random.Random(seed)))


async def _crowd(rng: random.Random) -> None:
    gate = gate_lib.Gate(telemetry.Telemetry())
    seen: list[str] = []

    async def one() -> None:
        context = _context(rng.choice(_ACCOUNTS), rng.choice((20, 400)))
        with contextlib.suppress(errors.RequestError):
            async with gate.entered(context, rng.choice((1, 2))) as limit:
                assert limit.in_flight < limit.limit + 1
                seen.append(context.account)
                await asyncio.sleep(rng.uniform(0, 0.02))

    tasks = [asyncio.ensure_future(one()) for _ in range(200)]
    await asyncio.sleep(0.01)
    for task in rng.sample(tasks, 50):
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert not any(t.exception() for t in tasks if not t.cancelled())
    assert set(seen) == set(_ACCOUNTS)
    async with gate.entered(_context("a", 400), 2) as limit:
        assert limit.in_flight == 1.0


def test_calm_account_goes_first() -> None:
    asyncio.run(_calm_first())


async def _calm_first() -> None:
    gate = gate_lib.Gate(telemetry.Telemetry())
    order: list[str] = []

    async def one(account: str) -> None:
        async with gate.entered(_context(account, 4000), 2):
            order.append(account)
            await asyncio.sleep(0.005)

    noisy = [asyncio.ensure_future(one("a")) for _ in range(20)]
    await asyncio.sleep(0)
    calm = asyncio.ensure_future(one("b"))
    await asyncio.gather(*noisy, calm)
    assert order.index("b") == 8


def test_limit_grows_while_requests_wait_in_vain() -> None:
    asyncio.run(_grow())


async def _grow() -> None:
    gate = gate_lib.Gate(telemetry.Telemetry())
    served = iter(range(1000))

    async def one() -> None:
        async with gate.entered(_context("a", 4000), 2) as limit:
            await asyncio.sleep(0.001)
            limit.observe(0.1, 0.0, next(served) * 0.05)

    async def caller() -> None:
        for _ in range(10):
            await one()

    await asyncio.gather(*(caller() for _ in range(20)))
    async with gate.entered(_context("a", 400), 2) as limit:
        assert limit.limit > 16


def test_request_without_a_place_is_refused_as_not_run() -> None:
    asyncio.run(_refuse())


async def _refuse() -> None:
    gate = gate_lib.Gate(telemetry.Telemetry())
    async with contextlib.AsyncExitStack() as stack:
        for _ in range(8):
            entered = gate.entered(_context("a", 400), 2)
            await stack.enter_async_context(entered)
        with pytest.raises(errors.RequestError) as caught:
            async with gate.entered(_context("a", 20), 2):
                pass
    assert caught.value.code is errors.Code.OVERLOADED
    assert attrs.asdict(caught.value)["outcome"] == "not_run"
