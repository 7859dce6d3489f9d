"""The demo: one search, one lookup and one order through real processes."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import sys
import time
from typing import TYPE_CHECKING
from typing import Any
import uuid

from cassiahead_notes import api
from standins import fleet as fleet_lib

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["main", "uuid7"]


def uuid7() -> str:
    """Returns a UUID of version 7 made now."""
    milliseconds = int(time.time() * 1000)
    value = milliseconds << 80 | int.from_bytes(os.urandom(10))
    value &= ~(0xF << 76) & ~(0x3 << 62)
    return str(uuid.UUID(int=value | 0x7 << 76 | 0x2 << 62))


def main() -> int:
    """Runs the demo; returns 0 if every answer was right."""
    return asyncio.run(_demo())


async def _demo() -> int:
    # The stand-in's 404 for a base that is not published is no news.
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    started = time.monotonic()
    shape = fleet_lib.Shape()
    async with fleet_lib.running(shape) as fleet:
        _say("fleet is ready", seconds=round(time.monotonic() - started, 1))
        entry = fleet.entries[0]
        wrong = [
            await _check("search", fleet.search(entry), _is_whole_search),
            await _check("lookup", _lookup(fleet), _is_lookup),
            await _check("order", _order(fleet), _is_order),
        ]
        await fleet.book(
            title="new auditor",
            add=api.Items(accounts={"permits": api.Account(5, 2)}),
        )
        answer = await fleet.search(entry)
        request_id = answer.body["request_id"]
        explained = await fleet.get(
            f"http://{entry.operators}/explain/{request_id}"
        )
        _say("decisions of one search", **explained.body)
    _say("stopped", seconds=round(time.monotonic() - started, 1))
    return 1 if any(wrong) else 0


async def _lookup(fleet: fleet_lib.Fleet) -> fleet_lib.Answer:
    url = f"http://{fleet.entries[1].callers}/v1/snag?id=home-4711"
    return await fleet.get(url, Authorization="Bearer secret-misr")


async def _order(fleet: fleet_lib.Fleet) -> fleet_lib.Answer:
    # A key made before the ranges of keys were taken over is refused.
    await asyncio.sleep(2.5)
    return await fleet.call(
        "POST",
        f"http://{fleet.entries[0].callers}/v1/handover?id=home-4711",
        json.dumps({"ref": "home-4711", "state": "handed over"}).encode(),
        {"Authorization": "Bearer secret-misr", "Idempotency-Key": uuid7()},
    )


async def _check(
    name: str, call: Any, is_right: Callable[[fleet_lib.Answer], bool]
) -> bool:
    answer = await call
    _say(name, status=answer.status, **answer.body)
    right = is_right(answer)
    if not right:
        _say(f"{name} is wrong")
    return not right


def _is_whole_search(answer: fleet_lib.Answer) -> bool:
    body = answer.body
    return (
        answer.status == 200
        and body["shards_answered"] == body["shards_pinned"] == 10
        and len(body["result"]["hits"]) == 10
        and body["account"] == "misr"
    )


def _is_lookup(answer: fleet_lib.Answer) -> bool:
    return (
        answer.status == 200
        and answer.body["result"]["echo"]["id"] == "home-4711"
    )


def _is_order(answer: fleet_lib.Answer) -> bool:
    return answer.status == 200 and answer.body["outcome"] == "ran"


def _say(title: str, **fields: Any) -> None:
    sys.stdout.write(f"== {title}\n")
    if fields:
        sys.stdout.write(json.dumps(fields, indent=2) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
