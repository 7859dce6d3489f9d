"""Compares the CPU time per search of a gateway and of an entry with a relay.

Run by ``make measure``. Both answer the same steady load of searches over 10
shards, one after the other on the same machine, as separate processes. The
gateway also answers searches over 36 shards. The CPU time of the targets and of
the load generator is not counted.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import sys
import tempfile

import cattrs

from cassiahead_wire import connection as wire
from platform_standins import fleet as platform_fleet
from platform_standins import store as store_lib
from standins import fleet as fleet_lib
from standins import load

_SHARD_COUNT = 10
_LARGE_SHARD_COUNT = 36
_REPLICA_COUNT = 3
_SEARCHES_PER_S = 20.0
_LARGE_SEARCHES_PER_S = 10.0
_RUN_DURATION_S = 10.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def main() -> None:
    """Measures both twice and prints milliseconds of CPU time per search."""
    for round_number in range(2):
        large_ms = asyncio.run(
            _measure_gateway(_LARGE_SHARD_COUNT, _LARGE_SEARCHES_PER_S)
        )
        sys.stdout.write(
            f"round {round_number}: gateway {large_ms:.1f} ms for "
            f"{_LARGE_SHARD_COUNT} shards\n"
        )
        gateway_ms = asyncio.run(
            _measure_gateway(_SHARD_COUNT, _SEARCHES_PER_S)
        )
        entry_and_relay_ms = asyncio.run(_measure_entry_and_relay())
        sys.stdout.write(
            f"round {round_number}: gateway {gateway_ms:.1f} ms, "
            f"entry and relay {entry_and_relay_ms:.1f} ms, "
            f"ratio {gateway_ms / entry_and_relay_ms:.2f}\n"
        )


async def _measure_gateway(shard_count: int, searches_per_s: float) -> float:
    store = store_lib.StoreStandin()
    store.start()
    fleet = platform_fleet.Fleet(store)
    shards = [f"shard{n}" for n in range(shard_count)]
    configuration = platform_fleet.configuration(shard_count=shard_count)
    await fleet.publish(configuration)
    for shard in shards:
        await fleet.add_targets(shard, _REPLICA_COUNT)
    settings = fleet.new_settings()
    with tempfile.TemporaryDirectory() as folder:
        settings_path = pathlib.Path(folder) / "settings.json"
        settings_document = cattrs.Converter().unstructure(settings)
        settings_path.write_text(json.dumps(settings_document))
        profiler_arguments = os.environ.get("CASSIAHEAD_PROFILE", "").split()
        process = await asyncio.create_subprocess_exec(
            sys.executable, *profiler_arguments,
            "-m", "cassiahead_platform.main",
            env=os.environ | {"CASSIAHEAD_CONFIG": str(settings_path)},
            stdout=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        try:
            return await _measure_loaded_gateway(
                settings.callers, process.pid, searches_per_s
            )
        finally:
            process.terminate()
            await process.wait()
            await fleet.stop()


async def _measure_loaded_gateway(
    address: str, pid: int, searches_per_s: float
) -> float:
    idle_connections: list[wire.Connection] = []
    request_numbers = iter(range(1_000_000))

    async def call() -> load.Result:
        headers = {
            "Host": "s.example",
            "Request-Id": f"r{next(request_numbers)}",
            "Deadline-Ms": "1500",
            "Authorization": "Bearer key-a",
        }
        try:
            connection = (
                idle_connections.pop()
                if idle_connections
                else await wire.Connection.open(address, 1)
            )
            answer = await connection.request("GET", "/find/x", b"", 3, headers)
        except wire.TransportError as error:
            return load.Result(f"wire {error.kind.value}")
        idle_connections.append(connection)
        return load.Result("ok" if answer.status == 200 else str(answer.status))

    return await _cpu_ms_per_search(call, [pid], searches_per_s)


async def _measure_entry_and_relay() -> float:
    spec = fleet_lib.FleetSpec(
        entry_count=1,
        relay_count=1,
        shard_count=_SHARD_COUNT,
        replicas_per_shard=_REPLICA_COUNT,
    )
    async with fleet_lib.running_fleet(spec) as fleet:
        entry = fleet.entries[0]
        caller = load.Caller(entry.caller_address or "", "/v1/board?q=x")
        pids = [d.process.pid for d in fleet.daemons if d.process is not None]
        cpu_ms = await _cpu_ms_per_search(caller.call, pids, _SEARCHES_PER_S)
        caller.close()
        return cpu_ms


async def _cpu_ms_per_search(
    call: object, pids: list[int], searches_per_s: float
) -> float:
    """Measures the CPU time per search under a steady load.

    Before the measurement, load is offered until at least half of the searches
    in a run of 1 s succeed.

    Args:
        call: Sends one search.
        pids: Ids of the processes whose CPU time is counted.
        searches_per_s: Rate of the load.

    Returns:
        Milliseconds of CPU time per successful search.
    """
    while (await load.offer(call, searches_per_s, 1)).count(
        "ok"
    ) < searches_per_s / 2:
        pass
    cpu_s_before = sum(_cpu_s(pid) for pid in pids)
    results = await load.offer(call, searches_per_s, _RUN_DURATION_S)
    used_cpu_s = sum(_cpu_s(pid) for pid in pids) - cpu_s_before
    assert results.count("ok") > 0.9 * results.total_count, dict(
        results.latencies_s
    )
    return 1000 * used_cpu_s / results.count("ok")


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user_ticks, system_ticks = fields.split()[11:13]
    return (int(user_ticks) + int(system_ticks)) / _TICKS_PER_S


if __name__ == "__main__":
    main()
