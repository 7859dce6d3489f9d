"""Demo: sends a search, a lookup and an order through daemon processes.

Run as ``python -m standins.demo``; prints the answers, and the decisions that
the entry made on one more search.
"""

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
    """Returns a random UUID of version 7 with the current time."""
    time_ms = int(time.time() * 1000)
    bits = time_ms << 80 | int.from_bytes(os.urandom(10))
    bits &= ~(0xF << 76) & ~(0x3 << 62)
    return str(uuid.UUID(int=bits | 0x7 << 76 | 0x2 << 62))


def main() -> int:
    """Runs the demo.

    Returns:
        Exit status: 0 if each answer was as expected, otherwise 1.
    """
    return asyncio.run(_run_demo())


async def _run_demo() -> int:
    # Daemons look for a base ledger, which the demo does not publish. Tornado
    # would log a warning for each 404 of the configuration service.
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    started_at = time.monotonic()
    spec = fleet_lib.FleetSpec()
    async with fleet_lib.running_fleet(spec) as fleet:
        _print_section(
            "fleet is ready", seconds=round(time.monotonic() - started_at, 1)
        )
        entry = fleet.entries[0]
        are_answers_wrong = [
            await _print_answer(
                "search", fleet.search(entry), _is_complete_search
            ),
            await _print_answer(
                "lookup", _send_lookup(fleet), _is_expected_lookup
            ),
            await _print_answer(
                "order", _send_order(fleet), _is_executed_order
            ),
        ]
        await fleet.publish_note(
            title="new auditor",
            add=api.Items(accounts={"permits": api.Account(5, 2)}),
        )
        search_answer = await fleet.search(entry)
        request_id = search_answer.body["request_id"]
        explanation = await fleet.get(
            f"http://{entry.operator_address}/explain/{request_id}"
        )
        _print_section("decisions of one search", **explanation.body)
    _print_section("stopped", seconds=round(time.monotonic() - started_at, 1))
    return 1 if any(are_answers_wrong) else 0


async def _send_lookup(fleet: fleet_lib.Fleet) -> fleet_lib.Answer:
    url = f"http://{fleet.entries[1].caller_address}/v1/snag?id=home-4711"
    return await fleet.get(url, Authorization="Bearer secret-misr")


async def _send_order(fleet: fleet_lib.Fleet) -> fleet_lib.Answer:
    # For MAX_CALLER_CLOCK_SKEW_S (2 s) after an entry takes over a range of
    # idempotency keys, it answers "unknown" to new keys in the range.
    await asyncio.sleep(2.5)
    return await fleet.send_request(
        "POST",
        f"http://{fleet.entries[0].caller_address}/v1/handover?id=home-4711",
        json.dumps({"ref": "home-4711", "state": "handed over"}).encode(),
        {"Authorization": "Bearer secret-misr", "Idempotency-Key": uuid7()},
    )


async def _print_answer(
    name: str,
    pending_answer: Any,
    is_expected_answer: Callable[[fleet_lib.Answer], bool],
) -> bool:
    """Prints the answer to a request and returns whether it is wrong."""
    answer = await pending_answer
    _print_section(name, status=answer.status, **answer.body)
    is_expected = is_expected_answer(answer)
    if not is_expected:
        _print_section(f"{name} is wrong")
    return not is_expected


def _is_complete_search(answer: fleet_lib.Answer) -> bool:
    body = answer.body
    return (
        answer.status == 200
        and body["shards_answered"] == body["shards_pinned"] == 10
        and len(body["result"]["hits"]) == 10
        and body["account"] == "misr"
    )


def _is_expected_lookup(answer: fleet_lib.Answer) -> bool:
    return (
        answer.status == 200
        and answer.body["result"]["echo"]["id"] == "home-4711"
    )


def _is_executed_order(answer: fleet_lib.Answer) -> bool:
    return answer.status == 200 and answer.body["outcome"] == "ran"


def _print_section(title: str, **content: Any) -> None:
    sys.stdout.write(f"== {title}\n")
    if content:
        sys.stdout.write(json.dumps(content, indent=2) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
