"""Behaviour of a fleet of daemon processes under single faults.

While callers send requests, daemons are killed, drained or suspended (SIGSTOP),
targets shed, crash or give wrong answers, or the configuration changes.
"""

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

_FLEET_SPEC = fleet_lib.FleetSpec(shard_count=4, entry_count=3, relay_count=3)
_SEARCHES_PER_S = 12.0
_SCENARIO_TIMEOUT_S = 60.0


def test_killed_processes_leave_honest_answers() -> None:
    asyncio.run(_run_in_fleet(_kill_processes))


def test_draining_daemons_complete_their_requests() -> None:
    asyncio.run(_run_in_fleet(_drain_processes))


def test_withdrawn_key_stops_working() -> None:
    asyncio.run(_run_in_fleet(_withdraw_key))


def test_failure_domain_gets_no_requests_while_taken_out() -> None:
    asyncio.run(_run_in_fleet(_take_out_failure_domain))


def test_frozen_processes_serve_nothing_stale() -> None:
    asyncio.run(_run_in_fleet(_suspend_processes))


async def _run_in_fleet(
    scenario: Callable[[fleet_lib.Fleet], Awaitable[None]],
) -> None:
    async with fleet_lib.running_fleet(_FLEET_SPEC) as fleet:
        await asyncio.wait_for(scenario(fleet), _SCENARIO_TIMEOUT_S)
        await asyncio.wait_for(
            checks.assert_target_limits_kept(fleet), _SCENARIO_TIMEOUT_S
        )
        checks.assert_no_errors_logged(fleet)


def _round_robin_calls(
    entries: list[fleet_lib.Daemon],
) -> Callable[[], Awaitable[load.Result]]:
    callers = [
        load.Caller(entry.caller_address or "", "/v1/board?q=x")
        for entry in entries
    ]
    call_numbers = iter(range(1_000_000))

    async def call() -> load.Result:
        return await callers[next(call_numbers) % len(callers)].call()

    return call


async def _kill_processes(fleet: fleet_lib.Fleet) -> None:
    surviving_entry = fleet.entries[0]
    load_task = asyncio.ensure_future(
        load.offer(_round_robin_calls([surviving_entry]), _SEARCHES_PER_S, 8)
    )
    await asyncio.sleep(1)
    fleet.relays[0].end(signal.SIGKILL)
    await asyncio.sleep(2)
    fleet.entries[1].end(signal.SIGKILL)
    results = await load_task
    max_latency_s = max(max(v) for v in results.latencies_s.values())
    assert max_latency_s < _FLEET_SPEC.deadline_ms / 1000 + 0.5
    expected_kinds = {
        "ok",
        "COVERAGE_TOO_LOW",
        "LIMITER_UNREACHABLE",
        "RATE_EXCEEDED",
    }
    assert set(results.latencies_s) <= expected_kinds
    later_results = await load.offer(
        _round_robin_calls([surviving_entry]), _SEARCHES_PER_S, 3
    )
    assert later_results.count("ok") == later_results.total_count
    assert min(later_results.coverages) == 1.0


async def _drain_processes(fleet: fleet_lib.Fleet) -> None:
    for port in fleet.target_ports:
        await fleet.control(port, delay_s=0.05)
    load_task = asyncio.ensure_future(
        load.offer(_round_robin_calls(fleet.entries[1:]), _SEARCHES_PER_S, 8)
    )
    draining_entry = fleet.entries[0]
    last_searches = [
        asyncio.ensure_future(fleet.search(draining_entry)) for _ in range(4)
    ]
    await asyncio.sleep(0.02)
    assert await asyncio.to_thread(draining_entry.end, signal.SIGTERM) == 0
    answers = await asyncio.gather(*last_searches)
    assert [a.body for a in answers if a.status != 200] == []
    await asyncio.sleep(1)
    exit_code = await asyncio.to_thread(fleet.relays[0].end, signal.SIGTERM)
    assert exit_code == 0
    results = await load_task
    assert set(results.latencies_s) == {"ok"}
    assert min(results.coverages) == 1.0


async def _withdraw_key(fleet: fleet_lib.Fleet) -> None:
    entry = fleet.entries[0]
    caller = load.Caller(entry.caller_address or "", "/v1/board?q=x")
    assert (await caller.call()).kind == "ok"
    for port in fleet.target_ports:
        await fleet.control(port, delay_s=0.8)
    search_in_flight = asyncio.ensure_future(
        load.Caller(entry.caller_address or "", "/v1/board?q=y").call()
    )
    await asyncio.sleep(0.1)
    key_digest = next(
        d for d, key in fleet.notes[0].add.keys.items() if key.account == "misr"
    )
    await fleet.publish_note(withdraw=api.ItemNames(keys=(key_digest,)))
    withdrawn_at = time.monotonic()
    assert (await search_in_flight).kind == "KEY_WITHDRAWN"
    assert time.monotonic() - withdrawn_at < 0.6
    while (await caller.call()).kind != "KEY_INVALID":
        assert time.monotonic() - withdrawn_at < 3.0


async def _take_out_failure_domain(fleet: fleet_lib.Fleet) -> None:
    failure_domain = fleet.daemons[0].events("STARTED")[0]["failure_domain"]
    domain_target_ports = [
        port
        for port, target in zip(
            fleet.target_ports,
            fleet.notes[0].add.targets.values(),
            strict=True,
        )
        if target.failure_domain == failure_domain
    ]
    other_domain_entries = fleet.entries[1:]
    load_task = asyncio.ensure_future(
        load.offer(
            _round_robin_calls(other_domain_entries), _SEARCHES_PER_S, 14
        )
    )
    await asyncio.sleep(1)
    await _set_failure_domain(fleet, failure_domain, taken_out=True)
    await asyncio.sleep(3)
    begun_counts = [
        (await fleet.control(port))["begun_count"]
        for port in domain_target_ports
    ]
    await asyncio.sleep(3)
    assert begun_counts == [
        (await fleet.control(port))["begun_count"]
        for port in domain_target_ports
    ]
    await _set_failure_domain(fleet, failure_domain, taken_out=False)
    results = await load_task
    assert set(results.latencies_s) == {"ok"}
    assert min(results.coverages) == 1.0
    begun_counts_after_return = [
        (await fleet.control(port))["begun_count"]
        for port in domain_target_ports
    ]
    assert sum(begun_counts_after_return) > sum(begun_counts)


async def _set_failure_domain(
    fleet: fleet_lib.Fleet, failure_domain: str, taken_out: bool
) -> None:
    await fleet.publish_note(
        change=api.Items(
            failure_domains={failure_domain: api.FailureDomain(taken_out)}
        )
    )


async def _suspend_processes(fleet: fleet_lib.Fleet) -> None:
    entry = fleet.entries[0]
    running_entry = fleet.entries[1]
    load_task = asyncio.ensure_future(
        load.offer(_round_robin_calls([running_entry]), _SEARCHES_PER_S, 10)
    )
    await asyncio.sleep(1)
    for daemon in (entry, fleet.relays[0]):
        daemon.send_signal(signal.SIGSTOP)
    await fleet.publish_note(
        withdraw=api.ItemNames(
            keys=tuple(
                key_digest
                for key_digest, key in fleet.notes[0].add.keys.items()
                if key.account == "audit"
            )
        )
    )
    await asyncio.sleep(4)
    search_task = asyncio.ensure_future(fleet.search(entry, "secret-audit"))
    await asyncio.sleep(0.1)
    for daemon in (entry, fleet.relays[0]):
        daemon.send_signal(signal.SIGCONT)
    answer = await search_task
    assert answer.body["error"]["name"] in ("NOT_READY", "KEY_INVALID")
    results = await load_task
    max_latency_s = max(max(v) for v in results.latencies_s.values())
    assert max_latency_s < _FLEET_SPEC.deadline_ms / 1000 + 0.5
    await fleet.wait_until_ready()
    assert (await fleet.search(entry)).status == 200


def test_orders_run_at_most_once() -> None:
    asyncio.run(_run_in_fleet(_orders_under_faults))


async def _orders_under_faults(fleet: fleet_lib.Fleet) -> None:
    """Sends each order to each entry while daemons and targets fail."""
    # For MAX_CALLER_CLOCK_SKEW_S (2 s) after an entry takes over a range of
    # idempotency keys, it answers "unknown" to new keys in the range.
    await asyncio.sleep(2.5)
    outcomes_by_ref: dict[str, list[str]] = collections.defaultdict(list)
    sending_tasks = [
        asyncio.ensure_future(_send_order(fleet, number, outcomes_by_ref))
        for number in range(60)
    ]
    await asyncio.sleep(0.4)
    # The first replica of each shard.
    for port in fleet.target_ports[::3]:
        await fleet.control(port, closes_after_run=True)
    await asyncio.sleep(0.8)
    fleet.entries[2].end(signal.SIGKILL)
    fleet.relays[2].end(signal.SIGKILL)
    await asyncio.gather(*sending_tasks)
    run_counts = collections.Counter(
        ref
        for state in await fleet.target_states()
        for ref in state["run_order_refs"]
    )
    assert len(run_counts) > 10
    checks.assert_orders_ran_at_most_once(outcomes_by_ref, run_counts)


async def _send_order(
    fleet: fleet_lib.Fleet, number: int, outcomes_by_ref: dict[str, list[str]]
) -> None:
    await asyncio.sleep(number * 0.05)
    ref, idempotency_key = f"order-{number}", demo.uuid7()
    for attempt in range(3):
        entry = fleet.entries[(number + attempt) % len(fleet.entries)]
        try:
            answer = await fleet.send_order(entry, ref, idempotency_key)
        except OSError:
            outcomes_by_ref[ref].append("unknown")
            continue
        body = answer.body
        outcomes_by_ref[ref].append(body.get("key_outcome") or body["outcome"])


def test_request_crashes_targets_at_most_twice_before_refusal() -> None:
    asyncio.run(_run_in_fleet(_crash_targets))


async def _crash_targets(fleet: fleet_lib.Fleet) -> None:
    for port in fleet.target_ports:
        await fleet.control(port, crash_text="poison")
    for attempt in range(6):
        entry = fleet.entries[attempt % len(fleet.entries)]
        await fleet.get(
            f"http://{entry.caller_address}/v1/snag?id=poison",
            Authorization="Bearer secret-misr",
        )
        await asyncio.sleep(1.0)
    crash_count = sum(s["crash_count"] for s in await fleet.target_states())
    assert 1 <= crash_count <= 2
    last_answer = await fleet.get(
        f"http://{fleet.entries[0].caller_address}/v1/snag?id=poison",
        Authorization="Bearer secret-misr",
    )
    assert last_answer.body["error"]["name"] == "POISONED"
    assert (await fleet.search(fleet.entries[0])).status == 200


def test_answers_come_from_one_snapshot_while_versions_change() -> None:
    asyncio.run(_run_in_fleet(_change_versions))


async def _change_versions(fleet: fleet_lib.Fleet) -> None:
    entries = fleet.entries
    answers: list[dict[str, object]] = []
    next_search = _round_robin_calls(entries)

    async def call() -> load.Result:
        result = await next_search()
        if result.kind == "ok":
            answers.append(result.body)
        return result

    load_task = asyncio.ensure_future(load.offer(call, _SEARCHES_PER_S, 10))
    for version in range(2, 6):
        for port in fleet.target_ports:
            target_versions = (
                (version,) if port % 3 == 0 else (version - 1, version)
            )
            await fleet.control(port, versions=target_versions)
        await asyncio.sleep(0.5)
    # One faulty replica in each of the first three shards.
    await fleet.control(fleet.target_ports[0], has_wrong_request_id=True)
    await fleet.control(fleet.target_ports[4], is_truncating=True)
    await fleet.control(fleet.target_ports[8], generation=7)
    results = await load_task
    assert results.count("ok") > 0.9 * results.total_count
    assert answers
    for body in answers:
        checks.assert_single_snapshot(body)


def test_silent_connections_do_not_count_as_target_failures() -> None:
    asyncio.run(_run_in_fleet(_blackhole_connections))


async def _blackhole_connections(fleet: fleet_lib.Fleet) -> None:
    """Blackholes the connections between the relays and one target."""
    target_name, target = next(iter(fleet.notes[0].add.targets.items()))
    proxy = proxy_lib.BlackholeProxy(fleet.target_ports[0])
    port = ports.free_port()
    await proxy.listen(port)
    await fleet.publish_note(
        change=api.Items(
            targets={
                target_name: attrs.evolve(target, address=f"127.0.0.1:{port}")
            }
        )
    )
    call = _round_robin_calls(fleet.entries)
    while not proxy.connection_count:
        await load.offer(call, _SEARCHES_PER_S, 1)
    proxy.blackhole_connections()
    results = await load.offer(call, _SEARCHES_PER_S, 5)
    assert set(results.latencies_s) == {"ok"}
    assert min(results.coverages) == 1.0
    silent_events = [
        event
        for relay in fleet.relays
        for event in relay.events("CONNECTION_SILENT")
        if event["target"] == target_name
    ]
    assert silent_events
    for relay in fleet.relays:
        failed_events = relay.events("TARGET_FAILED")
        assert target_name not in [event["target"] for event in failed_events]
    for entry in fleet.entries:
        replica_report = (
            await fleet.get(f"http://{entry.operator_address}/replicas")
        ).body
        assert replica_report["replicas"][target_name]["failures"] == 0
        assert replica_report["replicas"][target_name]["avoided_for"] == 0.0
    begun_count = (await fleet.control(fleet.target_ports[0]))["begun_count"]
    while (await fleet.control(fleet.target_ports[0]))[
        "begun_count"
    ] == begun_count:
        await load.offer(call, _SEARCHES_PER_S, 1)


def test_suspended_relay_does_not_reduce_coverage() -> None:
    asyncio.run(_run_in_fleet(_suspend_relay))


async def _suspend_relay(fleet: fleet_lib.Fleet) -> None:
    """Suspends a relay, whose connections stay open as after a host failure."""
    call = _round_robin_calls(fleet.entries)
    await load.offer(call, _SEARCHES_PER_S, 2)
    load_task = asyncio.ensure_future(load.offer(call, _SEARCHES_PER_S, 8))
    await asyncio.sleep(0.5)
    fleet.relays[0].send_signal(signal.SIGSTOP)
    results = await load_task
    fleet.relays[0].send_signal(signal.SIGCONT)
    assert set(results.latencies_s) == {"ok"}
    assert min(results.coverages) == 1.0
    # Entries prefer targets, and thereby relays, of their own failure domain.
    # Only such an entry is therefore sure to have sent the relay a request
    # before the relay was suspected (no message for ``SUSPECT_AFTER_S``).
    quiet_events = fleet.entries[0].events("RELAY_QUIET")
    assert fleet.relays[0].inner_address in [
        event["relay"] for event in quiet_events
    ]
    await fleet.wait_until_ready()


def test_shedding_replica_does_not_reduce_coverage() -> None:
    asyncio.run(_run_in_fleet(_shed_at_one_replica))


async def _shed_at_one_replica(fleet: fleet_lib.Fleet) -> None:
    call = _round_robin_calls(fleet.entries)
    await load.offer(call, _SEARCHES_PER_S, 2)
    # The first replica of each shard.
    for port in fleet.target_ports[::3]:
        await fleet.control(port, is_shedding=True)
    results = await load.offer(call, _SEARCHES_PER_S, 6)
    assert set(results.latencies_s) == {"ok"}
    assert min(results.coverages) == 1.0
