"""A request that crashes searchers amid their answers is never stopped."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from typing import TYPE_CHECKING

import standins_2 as standins

if TYPE_CHECKING:
    import contextlib

_TARGET_COUNT = 4
_DOWN_S = 3.0
_RUN_S = 45.0
_PAUSE_S = 1.0
_STABILITY_WINDOW_S = 4.0
_CRASHES_UNTIL_KNOWN = 3
_ALLOWED_RETRIES = 3
_BAD_PATH = b"/file/bad"
# With EARLY=1 the searchers crash before the first byte of the answer.
_CRASHES_EARLY = os.environ.get("EARLY", "0") == "1"


async def _case(
    record: standins.Record,
    folder: pathlib.Path,
    stack: contextlib.AsyncExitStack,
) -> bool:
    crashed_at: list[float] = []
    arrived_at: list[float] = []
    returns: set[asyncio.Task[None]] = set()

    async def come_back(target: standins.Target) -> None:
        await asyncio.sleep(_DOWN_S)
        store.delete(f"servers/{target.id}")
        name, _, lifetime = target.id.rpartition("-")
        target.id = f"{name}-{int(lifetime) + 1}"
        target.born = int(time.time() * 1000)
        await target.start()
        store.put(f"servers/{target.id}", target.entry())
        record.add(f"{target.id}: started")

    async def respond(
        target: standins.Target,
        request: standins.Request,
        writer: asyncio.StreamWriter,
    ) -> bool:
        await asyncio.sleep(0.02)
        is_bad = request.path == _BAD_PATH and standins.is_troubled()
        response = standins.response_bytes(
            200, target.answer_headers(request), bytes(4000)
        )
        if not is_bad:
            writer.write(response)
            return True
        if not _CRASHES_EARLY:
            writer.write(response[:1000])
            await writer.drain()
            await asyncio.sleep(0.01)
        record.add(f"{target.id}: crashes while it runs {request.id}")
        crashed_at.append(time.monotonic())
        target.crash()
        task = asyncio.ensure_future(come_back(target))
        returns.add(task)
        task.add_done_callback(returns.discard)
        return False

    async def respond_and_note(
        target: standins.Target,
        request: standins.Request,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if request.path == _BAD_PATH:
            arrived_at.append(time.monotonic())
        return await respond(target, request, writer)

    targets = [
        standins.Target(f"i-files{n}-1", "files", record, respond_and_note)
        for n in range(_TARGET_COUNT)
    ]
    store, [gateway] = await standins.start_system(
        record,
        folder,
        stack,
        targets,
        standins.configuration(3, [standins.route("file", "/file/", "safe")]),
    )
    ends_at = time.monotonic() + _RUN_S
    served: list[bool] = []

    async def call(path: bytes, pause_s: float) -> None:
        while time.monotonic() < ends_at:
            caller = standins.Caller(gateway.callers)
            request_id = standins.next_request_id()
            headers = {
                "Host": "l.example",
                "Request-Id": request_id,
                "Deadline-Ms": "2000",
            }
            answer = await caller.send(b"GET", path, headers)
            caller.close()
            record.add(
                f"caller: {request_id} {path.decode()} got {answer.status} "
                f"{answer.body[:60]!r}"
            )
            if path != _BAD_PATH:
                served.append(answer.status == 200)
            await asyncio.sleep(pause_s)

    await asyncio.gather(call(_BAD_PATH, _PAUSE_S), call(b"/file/good", 0.1))
    if True not in served:
        raise standins.CaseError("no request was served")
    late_count = 0
    if len(crashed_at) >= _CRASHES_UNTIL_KNOWN:
        known_at = crashed_at[_CRASHES_UNTIL_KNOWN - 1] + _STABILITY_WINDOW_S
        late_count = sum(arrival > known_at for arrival in arrived_at)
    record.conclude(
        f"{len(crashed_at)} crashes; {late_count} arrivals later than "
        f"{_STABILITY_WINDOW_S} s after the third, {_ALLOWED_RETRIES} are "
        f"allowed; {served.count(True)} of {len(served)} other requests were "
        "served"
    )
    return late_count <= _ALLOWED_RETRIES


if __name__ == "__main__":
    standins.run_case(_case, pathlib.Path(__file__).resolve().parent)
