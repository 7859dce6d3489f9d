"""The concurrency limiter neither leaks capacity nor exceeds its limit."""

from __future__ import annotations

import asyncio
import contextlib
import random

import attrs
import pytest

from cassiahead_daemon import concurrency_limiter
from cassiahead_daemon import errors
from cassiahead_daemon import request_context
from cassiahead_daemon import telemetry
from cassiahead_notes import api as notes

_ACCOUNTS = ("a", "b", "c")


def _context(account: str, deadline_ms: int) -> request_context.RequestContext:
    layout = notes.Layout(1, {"s0": ("t0",), "s1": ("t1",)})
    return request_context.RequestContext(
        request_id="r",
        account=account,
        route_name="board",
        route=notes.Route(notes.RouteKind.SEARCH, "desk", deadline_ms),
        layout=layout,
        configuration=notes.Configuration(
            accounts={a: notes.Account(1, 1) for a in _ACCOUNTS}
        ),
        body="",
        arrived_at=concurrency_limiter.clock.monotonic(),
        fingerprint="",
    )


@pytest.mark.parametrize("seed", range(5))
def test_capacity_is_released_after_waits_refusals_and_cancellations(
    seed: int,
) -> None:
    asyncio.run(_check_mixed_load(random.Random(seed)))


async def _check_mixed_load(rng: random.Random) -> None:
    limiter = concurrency_limiter.ConcurrencyLimiter(telemetry.Telemetry())
    served_accounts: list[str] = []

    async def run_request() -> None:
        context = _context(rng.choice(_ACCOUNTS), rng.choice((20, 400)))
        with contextlib.suppress(errors.RequestError):
            async with limiter.acquire(context, rng.choice((1, 2))) as limit:
                assert limit.in_flight < limit.limit + 1
                served_accounts.append(context.account)
                await asyncio.sleep(rng.uniform(0, 0.02))

    tasks = [asyncio.ensure_future(run_request()) for _ in range(200)]
    await asyncio.sleep(0.01)
    for task in rng.sample(tasks, 50):
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert not any(t.exception() for t in tasks if not t.cancelled())
    assert set(served_accounts) == set(_ACCOUNTS)
    async with limiter.acquire(_context("a", 400), 2) as limit:
        assert limit.in_flight == 1.0


def test_account_without_requests_in_flight_is_served_first() -> None:
    asyncio.run(_check_idle_account_first())


async def _check_idle_account_first() -> None:
    limiter = concurrency_limiter.ConcurrencyLimiter(telemetry.Telemetry())
    served_accounts: list[str] = []

    async def request(account: str) -> None:
        async with limiter.acquire(_context(account, 4000), 2):
            served_accounts.append(account)
            await asyncio.sleep(0.005)

    busy_account_tasks = [
        asyncio.ensure_future(request("a")) for _ in range(20)
    ]
    await asyncio.sleep(0)
    idle_account_task = asyncio.ensure_future(request("b"))
    await asyncio.gather(*busy_account_tasks, idle_account_task)
    # The initial limit admits 8 requests at once, before any is queued.
    assert served_accounts.index("b") == 8


def test_limit_grows_while_it_is_reached_and_no_sub_request_queues() -> None:
    asyncio.run(_check_growth())


async def _check_growth() -> None:
    limiter = concurrency_limiter.ConcurrencyLimiter(telemetry.Telemetry())
    request_numbers = iter(range(1000))

    async def run_request() -> None:
        async with limiter.acquire(_context("a", 4000), 2) as limit:
            await asyncio.sleep(0.001)
            limit.record_request_times(0.1, 0.0, next(request_numbers) * 0.05)

    async def run_requests() -> None:
        for _ in range(10):
            await run_request()

    await asyncio.gather(*(run_requests() for _ in range(20)))
    async with limiter.acquire(_context("a", 400), 2) as limit:
        assert limit.limit > 16


def test_request_that_times_out_in_the_queue_is_refused_as_not_run() -> None:
    asyncio.run(_check_refusal())


async def _check_refusal() -> None:
    limiter = concurrency_limiter.ConcurrencyLimiter(telemetry.Telemetry())
    async with contextlib.AsyncExitStack() as stack:
        for _ in range(8):
            acquisition = limiter.acquire(_context("a", 400), 2)
            await stack.enter_async_context(acquisition)
        with pytest.raises(errors.RequestError) as raised:
            async with limiter.acquire(_context("a", 20), 2):
                pass
    assert raised.value.code is errors.ErrorCode.OVERLOADED
    assert attrs.asdict(raised.value)["outcome"] == "not_run"
