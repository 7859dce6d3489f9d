"""Faults of real processes: kills, freezes, drains and withdrawals."""

from __future__ import annotations

import asyncio
import collections
import signal
import time
from typing import TYPE_CHECKING

import attrs

from cassiahead_notes import api
from standins import checks
from standins import demo
from standins import fleet as fleet_lib
from standins import load
from standins import ports
from standins import proxy as proxy_lib

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_SHAPE = fleet_lib.Shape(shards=4, entries=3, relays=3)
_RATE = 12.0
_LIMIT_S = 60.0


def test_killed_processes_leave_honest_answers() -> None:
    asyncio.run(_in_fleet(_kill_processes))


def test_drained_processes_cut_no_request() -> None:
    asyncio.run(_in_fleet(_drain_processes))


def test_withdrawn_key_stops_working() -> None:
    asyncio.run(_in_fleet(_withdraw_key))


def test_failure_domain_leaves_and_returns() -> None:
    asyncio.run(_in_fleet(_move_domain))


def test_frozen_processes_serve_nothing_stale() -> None:
    asyncio.run(_in_fleet(_freeze_processes))


async def _in_fleet(
    scenario: Callable[[fleet_lib.Fleet], Awaitable[None]],
) -> None:
    async with fleet_lib.running(_SHAPE) as fleet:
        await asyncio.wait_for(scenario(fleet), _LIMIT_S)
        await asyncio.wait_for(checks.targets(fleet), _LIMIT_S)
        checks.logs(fleet)


def _calls(
    entries: list[fleet_lib.Daemon],
) -> Callable[[], Awaitable[load.Result]]:
    callers = [
        load.Caller(entry.callers or "", "/v1/board?q=x") for entry in entries
    ]
    turn = iter(range(1_000_000))

    async def call() -> load.Result:
        return await callers[next(turn) % len(callers)].call()

    return call


async def _kill_processes(fleet: fleet_lib.Fleet) -> None:
    survivor = fleet.entries[0]
    during = asyncio.ensure_future(load.offer(_calls([survivor]), _RATE, 8))
    await asyncio.sleep(1)
    fleet.relays[0].end(signal.SIGKILL)
    await asyncio.sleep(2)
    fleet.entries[1].end(signal.SIGKILL)
    sample = await during
    worst = max(max(v) for v in sample.latencies.values())
    assert worst < _SHAPE.deadline_ms / 1000 + 0.5
    typed = {"ok", "COVERAGE_TOO_LOW", "LIMITER_UNREACHABLE", "RATE_EXCEEDED"}
    assert set(sample.latencies) <= typed
    after = await load.offer(_calls([survivor]), _RATE, 3)
    assert after.count("ok") == after.total
    assert min(after.coverages) == 1.0


async def _drain_processes(fleet: fleet_lib.Fleet) -> None:
    for port in fleet.target_ports:
        await fleet.control(port, delay=0.05)
    during = asyncio.ensure_future(
        load.offer(_calls(fleet.entries[1:]), _RATE, 8)
    )
    leaving = fleet.entries[0]
    last = [asyncio.ensure_future(fleet.search(leaving)) for _ in range(4)]
    await asyncio.sleep(0.02)
    assert await asyncio.to_thread(leaving.end, signal.SIGTERM) == 0
    answers = await asyncio.gather(*last)
    assert [a.body for a in answers if a.status != 200] == []
    await asyncio.sleep(1)
    code = await asyncio.to_thread(fleet.relays[0].end, signal.SIGTERM)
    assert code == 0
    sample = await during
    assert set(sample.latencies) == {"ok"}
    assert min(sample.coverages) == 1.0


async def _withdraw_key(fleet: fleet_lib.Fleet) -> None:
    entry = fleet.entries[0]
    caller = load.Caller(entry.callers or "", "/v1/board?q=x")
    assert (await caller.call()).kind == "ok"
    for port in fleet.target_ports:
        await fleet.control(port, delay=0.8)
    in_flight = asyncio.ensure_future(
        load.Caller(entry.callers or "", "/v1/board?q=y").call()
    )
    await asyncio.sleep(0.1)
    digest = next(
        d for d, key in fleet.notes[0].add.keys.items() if key.account == "misr"
    )
    await fleet.book(withdraw=api.ItemNames(keys=(digest,)))
    withdrawn_at = time.monotonic()
    assert (await in_flight).kind == "KEY_WITHDRAWN"
    assert time.monotonic() - withdrawn_at < 0.6
    while (await caller.call()).kind != "KEY_INVALID":
        assert time.monotonic() - withdrawn_at < 3.0


async def _move_domain(fleet: fleet_lib.Fleet) -> None:
    domain = fleet.daemons[0].events("STARTED")[0]["failure_domain"]
    inside = [
        port
        for port, target in zip(
            fleet.target_ports,
            fleet.notes[0].add.targets.values(),
            strict=True,
        )
        if target.failure_domain == domain
    ]
    entries = fleet.entries[1:]
    during = asyncio.ensure_future(load.offer(_calls(entries), _RATE, 14))
    await asyncio.sleep(1)
    await _set_domain(fleet, domain, taken_out=True)
    await asyncio.sleep(3)
    began = [(await fleet.control(port))["began"] for port in inside]
    await asyncio.sleep(3)
    assert began == [(await fleet.control(port))["began"] for port in inside]
    await _set_domain(fleet, domain, taken_out=False)
    sample = await during
    assert set(sample.latencies) == {"ok"}
    assert min(sample.coverages) == 1.0
    returned = [(await fleet.control(port))["began"] for port in inside]
    assert sum(returned) > sum(began)


async def _set_domain(
    fleet: fleet_lib.Fleet, domain: str, taken_out: bool
) -> None:
    await fleet.book(
        change=api.Items(failure_domains={domain: api.FailureDomain(taken_out)})
    )


async def _freeze_processes(fleet: fleet_lib.Fleet) -> None:
    entry = fleet.entries[0]
    other = fleet.entries[1]
    during = asyncio.ensure_future(load.offer(_calls([other]), _RATE, 10))
    await asyncio.sleep(1)
    for frozen in (entry, fleet.relays[0]):
        frozen.send(signal.SIGSTOP)
    await fleet.book(
        withdraw=api.ItemNames(
            keys=tuple(
                digest
                for digest, key in fleet.notes[0].add.keys.items()
                if key.account == "audit"
            )
        )
    )
    await asyncio.sleep(4)
    asked = asyncio.ensure_future(fleet.search(entry, "secret-audit"))
    await asyncio.sleep(0.1)
    for frozen in (entry, fleet.relays[0]):
        frozen.send(signal.SIGCONT)
    answer = await asked
    assert answer.body["error"]["name"] in ("NOT_READY", "KEY_INVALID")
    sample = await during
    worst = max(max(v) for v in sample.latencies.values())
    assert worst < _SHAPE.deadline_ms / 1000 + 0.5
    await fleet.until_ready()
    assert (await fleet.search(entry)).status == 200


def test_orders_run_at_most_once() -> None:
    asyncio.run(_in_fleet(_orders_under_faults))


async def _orders_under_faults(fleet: fleet_lib.Fleet) -> None:
    """Callers send each order again through another entry, faults or not."""
    await asyncio.sleep(2.5)
    claims: dict[str, list[str]] = collections.defaultdict(list)
    runs = [
        asyncio.ensure_future(_send_order(fleet, number, claims))
        for number in range(60)
    ]
    await asyncio.sleep(0.4)
    for port in fleet.target_ports[::3]:
        await fleet.control(port, reset_after_run=True)
    await asyncio.sleep(0.8)
    fleet.entries[2].end(signal.SIGKILL)
    fleet.relays[2].end(signal.SIGKILL)
    await asyncio.gather(*runs)
    ran = collections.Counter(
        ref for state in await fleet.target_states() for ref in state["orders"]
    )
    assert len(ran) > 10
    checks.orders(claims, ran)


async def _send_order(
    fleet: fleet_lib.Fleet, number: int, claims: dict[str, list[str]]
) -> None:
    await asyncio.sleep(number * 0.05)
    ref, key = f"order-{number}", demo.uuid7()
    for attempt in range(3):
        entry = fleet.entries[(number + attempt) % len(fleet.entries)]
        try:
            answer = await fleet.order(entry, ref, key)
        except OSError:
            claims[ref].append("unknown")
            continue
        body = answer.body
        claims[ref].append(body.get("key_outcome") or body["outcome"])


def test_request_that_crashes_targets_is_contained() -> None:
    asyncio.run(_in_fleet(_poison))


async def _poison(fleet: fleet_lib.Fleet) -> None:
    for port in fleet.target_ports:
        await fleet.control(port, crash_on="poison")
    for attempt in range(6):
        entry = fleet.entries[attempt % len(fleet.entries)]
        await fleet.get(
            f"http://{entry.callers}/v1/snag?id=poison",
            Authorization="Bearer secret-misr",
        )
        await asyncio.sleep(1.0)
    crashes = sum(s["crashes"] for s in await fleet.target_states())
    assert 1 <= crashes <= 2
    last = await fleet.get(
        f"http://{fleet.entries[0].callers}/v1/snag?id=poison",
        Authorization="Bearer secret-misr",
    )
    assert last.body["error"]["name"] == "POISONED"
    assert (await fleet.search(fleet.entries[0])).status == 200


def test_answers_come_from_one_snapshot_while_versions_change() -> None:
    asyncio.run(_in_fleet(_change_versions))


async def _change_versions(fleet: fleet_lib.Fleet) -> None:
    entries = fleet.entries
    answers: list[dict[str, object]] = []
    calls = _calls(entries)

    async def call() -> load.Result:
        result = await calls()
        if result.kind == "ok":
            answers.append(result.body)
        return result

    during = asyncio.ensure_future(load.offer(call, _RATE, 10))
    for version in range(2, 6):
        for port in fleet.target_ports:
            held = (version,) if port % 3 == 0 else (version - 1, version)
            await fleet.control(port, versions=held)
        await asyncio.sleep(0.5)
    await fleet.control(fleet.target_ports[0], crossed=True)
    await fleet.control(fleet.target_ports[4], truncated=True)
    await fleet.control(fleet.target_ports[8], generation=7)
    sample = await during
    assert sample.count("ok") > 0.9 * sample.total
    assert answers
    for body in answers:
        checks.snapshot(body)


def test_silent_connections_are_replaced_without_blame() -> None:
    asyncio.run(_in_fleet(_forget_connections))


async def _forget_connections(fleet: fleet_lib.Fleet) -> None:
    """Something between relay and target loses track of connections."""
    name, target = next(iter(fleet.notes[0].add.targets.items()))
    behind = proxy_lib.ForgetfulProxy(fleet.target_ports[0])
    port = ports.free_port()
    await behind.listen(port)
    await fleet.book(
        change=api.Items(
            targets={name: attrs.evolve(target, address=f"127.0.0.1:{port}")}
        )
    )
    call = _calls(fleet.entries)
    while not behind.connections:
        await load.offer(call, _RATE, 1)
    behind.forget()
    sample = await load.offer(call, _RATE, 5)
    assert set(sample.latencies) == {"ok"}
    assert min(sample.coverages) == 1.0
    silent = [
        event
        for relay in fleet.relays
        for event in relay.events("CONNECTION_SILENT")
        if event["target"] == name
    ]
    assert silent
    for relay in fleet.relays:
        failed = relay.events("TARGET_FAILED")
        assert name not in [event["target"] for event in failed]
    for entry in fleet.entries:
        view = (await fleet.get(f"http://{entry.operators}/replicas")).body
        assert view["replicas"][name]["failures"] == 0
        assert view["replicas"][name]["avoided_for"] == 0.0
    began = (await fleet.control(fleet.target_ports[0]))["began"]
    while (await fleet.control(fleet.target_ports[0]))["began"] == began:
        await load.offer(call, _RATE, 1)


def test_frozen_relay_costs_no_coverage() -> None:
    asyncio.run(_in_fleet(_freeze_relay))


async def _freeze_relay(fleet: fleet_lib.Fleet) -> None:
    """A host that stands still closes no connection, like one that is lost."""
    call = _calls(fleet.entries)
    await load.offer(call, _RATE, 2)
    during = asyncio.ensure_future(load.offer(call, _RATE, 8))
    await asyncio.sleep(0.5)
    fleet.relays[0].send(signal.SIGSTOP)
    sample = await during
    fleet.relays[0].send(signal.SIGCONT)
    assert set(sample.latencies) == {"ok"}
    assert min(sample.coverages) == 1.0
    # An entry of another failure domain may have asked the relay nothing
    # before its heartbeats were missed.
    near = fleet.entries[0].events("RELAY_QUIET")
    assert fleet.relays[0].inner in [event["relay"] for event in near]
    await fleet.until_ready()


def test_shedding_replica_costs_no_coverage() -> None:
    asyncio.run(_in_fleet(_shed_at_one_replica))


async def _shed_at_one_replica(fleet: fleet_lib.Fleet) -> None:
    call = _calls(fleet.entries)
    await load.offer(call, _RATE, 2)
    for port in fleet.target_ports[::3]:
        await fleet.control(port, shed=True)
    sample = await load.offer(call, _RATE, 6)
    assert set(sample.latencies) == {"ok"}
    assert min(sample.coverages) == 1.0
