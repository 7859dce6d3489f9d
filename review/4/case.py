"""A searcher turns cold while the store is down."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

_OUTAGE_S = 4.5
_COLD_S = 3.0
_COLD_PER_S = 5.0
_ALLOWED_PER_S = _COLD_PER_S * 1.5 + 5
# A cold searcher crashes at a rate well above ``coldPerS``, held for 2.5 s.
_CRASH_PER_S = 3.2 * _COLD_PER_S
_CRASH_SPAN_S = 2.5
# The rule is judged from this long after the searcher turned cold, so that a
# status check a second would have been soon enough.
_GRACE_S = 1.0
_CLIENT_COUNT = 13
_PAUSE_S = 0.2


def _most_in_a_second(arrivals: list[float]) -> int:
    counts = [sum(a <= b < a + 1 for b in arrivals) for a in arrivals]
    return max(counts, default=0)


async def _case(record: standins.Record, folder: pathlib.Path) -> bool:
    store = standins.Store(record)
    await store.server.start()
    searchers = [
        standins.Searcher(record, store, f"i-orders-{n}", "orders", slots=4)
        for n in (1, 2, 3)
    ]
    for searcher in searchers:
        await searcher.start()
    routes = [
        standins.route("o.example", "/orders/", "orders", routeType="unsafe")
    ]
    store.put(
        "op/config",
        standins.configuration(3, routes, ["orders"], _COLD_PER_S),
    )
    gateways = [standins.Gateway(record, store, n, folder) for n in (1, 2)]
    for gateway in gateways:
        gateway.seeds = [g.control for g in gateways]
        await gateway.start()
    statuses: dict[int | None, int] = {}
    try:
        for gateway in gateways:
            await gateway.wait_ready()
        stop = asyncio.Event()
        clients = [
            standins.Client(record, gateways[n % 2].callers, f"c{n}")
            for n in range(_CLIENT_COUNT)
        ]
        tasks = [
            asyncio.create_task(_keep_sending(client, stop, statuses))
            for client in clients
        ]
        await asyncio.sleep(4)
        await _disturb(record, store, searchers[0])
        await asyncio.sleep(3)
        stop.set()
        await asyncio.gather(*tasks)
    finally:
        for gateway in gateways:
            await gateway.end()
    arrivals = [at for at, cold in searchers[0].is_cold_at_arrival if cold]
    judged_from = searchers[0].cold_until - _COLD_S + _GRACE_S
    most = _most_in_a_second([at for at in arrivals if at >= judged_from])
    record.write(
        f"the cold searcher got {_most_in_a_second(arrivals)} requests in one "
        f"second, counted from the start"
    )
    record.write(f"answers by status: {statuses}")
    record.write(
        f"the cold searcher got {most} requests in one second, counted from "
        f"{_GRACE_S} s after it turned cold; {_ALLOWED_PER_S} are allowed"
    )
    return most > _ALLOWED_PER_S


async def _keep_sending(
    client: standins.Client,
    stop: asyncio.Event,
    statuses: dict[int | None, int],
) -> None:
    while not stop.is_set():
        answer = await client.send(
            "o.example", "/orders/new", method="POST", body=b"one order"
        )
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
        await asyncio.sleep(_PAUSE_S)
    client.close()


async def _disturb(
    record: standins.Record, store: standins.Store, searcher: standins.Searcher
) -> None:
    """Makes a searcher cold for a time, during an outage of the store.

    The searcher tells so in its status checks at once, and in its entry as
    soon as the store is up. Without trouble, the store is up.
    """
    if standins.TROUBLE:
        record.write("the store is silent from now on")
        store.is_silent = True
        await asyncio.sleep(1)
    searcher.cold_until = time.monotonic() + _COLD_S
    record.write(f"{searcher.id} turns cold for {_COLD_S} s")
    searcher.write_entry()
    arrivals: list[float] = []

    def crash_if_pressed() -> None:
        now = time.monotonic()
        arrivals.append(now)
        recent_count = sum(now - a < _CRASH_SPAN_S for a in arrivals)
        if recent_count > _CRASH_PER_S * _CRASH_SPAN_S:
            searcher.kill()

    searcher.on_cold_arrival = crash_if_pressed
    await asyncio.sleep(_COLD_S)
    await asyncio.sleep(_OUTAGE_S - _COLD_S - 1)
    if standins.TROUBLE:
        record.write("the store answers again")
        store.is_silent = False


if __name__ == "__main__":
    sys.exit(standins.run(FOLDER, _case))
