"""Searches, orders and refusals through a fleet of daemon processes."""

from __future__ import annotations

import asyncio
import json

from standins import demo
from standins import fleet as fleet_lib


def test_searches_orders_and_refusals() -> None:
    asyncio.run(_send_and_check_requests())


async def _send_and_check_requests() -> None:
    spec = fleet_lib.FleetSpec(shard_count=4)
    async with fleet_lib.running_fleet(spec) as fleet:
        entry = fleet.entries[0]
        await _check_search_metadata(fleet, entry)
        await _check_refusals(fleet, entry)
        await _check_order_runs_once(fleet)
        for port in fleet.target_ports:
            assert (await fleet.control(port))["leaked_key_count"] == 0
        for daemon in fleet.daemons:
            assert "secret-misr" not in daemon.log_path.read_text()


async def _check_search_metadata(
    fleet: fleet_lib.Fleet, entry: fleet_lib.Daemon
) -> None:
    answer = await fleet.search(entry)
    assert answer.status == 200
    assert answer.body["account"] == "misr"
    assert answer.body["coverage"] == 1.0
    assert answer.body["shards_pinned"] == 4
    assert (answer.body["generation"], answer.body["version"]) == (1, 1)
    replica_report = (
        await fleet.get(f"http://{entry.operator_address}/replicas")
    ).body
    asked_replicas = [
        r for r in replica_report["replicas"].values() if r["latency"] > 0
    ]
    assert len(asked_replicas) >= 4


async def _check_refusals(
    fleet: fleet_lib.Fleet, entry: fleet_lib.Daemon
) -> None:
    for path, secret, code in (
        ("board?q=x", "secret-nobody", "CA04"),
        ("nowhere?q=x", "secret-misr", "CA02"),
        ("board?q=x&limit=none", "secret-misr", "CA07"),
        ("handover?id=1", "secret-misr", "CA07"),
    ):
        answer = await fleet.get(
            f"http://{entry.caller_address}/v1/{path}",
            Authorization=f"Bearer {secret}",
        )
        assert answer.body["error"]["code"] == code
        assert answer.body["outcome"] == "not_run"
    answer = await fleet.get(f"http://{entry.caller_address}/v1/open-board?q=x")
    assert answer.status == 200


async def _check_order_runs_once(fleet: fleet_lib.Fleet) -> None:
    # For MAX_CALLER_CLOCK_SKEW_S (2 s) after an entry takes over a range of
    # idempotency keys, it answers "unknown" to new keys in the range.
    await asyncio.sleep(2.5)
    headers = {
        "Authorization": "Bearer secret-misr",
        "Idempotency-Key": demo.uuid7(),
    }
    body = json.dumps({"ref": "home-1"}).encode()
    answers = [
        await fleet.send_request(
            "POST", f"http://{e.caller_address}/v1/handover?id=1", body, headers
        )
        for e in (*fleet.entries, *fleet.entries)
    ]
    assert [a.status for a in answers] == [200, 409, 409, 409]
    assert {a.body.get("key_outcome") for a in answers[1:]} == {"ran"}
    target_states = [await fleet.control(port) for port in fleet.target_ports]
    first_request_id = answers[0].body["request_id"]
    assert (
        sum(s["run_request_ids"].count(first_request_id) for s in target_states)
        == 1
    )
