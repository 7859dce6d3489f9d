"""Processor time of one search of 10 shards: the gateway, and entry and relay.

Both answer the same steady load of searches, one after the other on the same
machine, over real processes; what the load itself costs is not counted.
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

_SHARDS = 10
_REPLICAS = 3
_SEARCHES_PER_S = 20.0
_SECONDS = 10.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def main() -> None:
    for round_number in range(2):
        gateway = asyncio.run(_gateway())
        both = asyncio.run(_entry_and_relay())
        sys.stdout.write(
            f"round {round_number}: gateway {gateway:.1f} ms, "
            f"entry and relay {both:.1f} ms, ratio {gateway / both:.2f}\n"
        )


async def _gateway() -> float:
    store = store_lib.StoreStandin()
    store.start()
    fleet = platform_fleet.Fleet(store)
    shards = [f"shard{n}" for n in range(_SHARDS)]
    configuration = platform_fleet.configuration(shard_count=_SHARDS)
    await fleet.publish(configuration)
    for shard in shards:
        await fleet.add_targets(shard, _REPLICAS)
    settings = fleet.new_settings()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.json"
        plain = cattrs.Converter().unstructure(settings)
        path.write_text(json.dumps(plain))
        program = os.environ.get("CASSIAHEAD_PROFILE", "").split()
        process = await asyncio.create_subprocess_exec(
            sys.executable, *program, "-m", "cassiahead_platform.main",
            env=os.environ | {"CASSIAHEAD_CONFIG": str(path)},
            stdout=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        try:
            return await _load_gateway(settings.callers, process.pid)
        finally:
            process.terminate()
            await process.wait()
            await fleet.stop()


async def _load_gateway(address: str, pid: int) -> float:
    idle: list[wire.Connection] = []
    numbers = iter(range(1_000_000))

    async def call() -> load.Result:
        headers = {
            "Host": "s.example",
            "Request-Id": f"r{next(numbers)}",
            "Deadline-Ms": "1500",
            "Authorization": "Bearer key-a",
        }
        try:
            connection = (
                idle.pop() if idle else await wire.Connection.open(address, 1)
            )
            answer = await connection.request("GET", "/find/x", b"", 3, headers)
        except wire.TransportError as error:
            return load.Result(f"wire {error.kind.value}")
        idle.append(connection)
        return load.Result("ok" if answer.status == 200 else str(answer.status))

    return await _cost(call, [pid])


async def _entry_and_relay() -> float:
    shape = fleet_lib.Shape(
        entries=1, relays=1, shards=_SHARDS, replicas=_REPLICAS
    )
    async with fleet_lib.running(shape) as fleet:
        entry = fleet.entries[0]
        caller = load.Caller(entry.callers or "", "/v1/board?q=x")
        pids = [d.process.pid for d in fleet.daemons if d.process is not None]
        cost = await _cost(caller.call, pids)
        caller.close()
        return cost


async def _cost(call: object, pids: list[int]) -> float:
    """Returns the processes' milliseconds a search, after a warm-up."""
    while (await load.offer(call, _SEARCHES_PER_S, 1)).count("ok") < 10:
        pass
    before = sum(_cpu_s(pid) for pid in pids)
    sample = await load.offer(call, _SEARCHES_PER_S, _SECONDS)
    used = sum(_cpu_s(pid) for pid in pids) - before
    assert sample.count("ok") > 0.9 * sample.total, dict(sample.latencies)
    return 1000 * used / sample.count("ok")


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICKS_PER_S


if __name__ == "__main__":
    main()
