"""Generates open-loop load with bounded concurrency and collects latencies."""

from __future__ import annotations

import asyncio
import collections
import json
import time
from typing import TYPE_CHECKING
from typing import Any

import attrs

from cassiahead_wire import connection as wire

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

__all__ = ["Caller", "Result", "RunResults", "offer"]

_MAX_OUTSTANDING_CALLS = 400


@attrs.frozen
class Result:
    """The result of one call: a request and its response.

    Attributes:
        kind: ``ok`` for status 200; ``wire`` and the kind of failure if no
            complete response arrived; otherwise the name or HTTP status of the
            error.
        coverage: Fraction of shards that answered, 0 to 1; 0 unless ``ok``.
        body: Decoded body of the response; empty if there was none.
    """

    kind: str
    coverage: float = 0.0
    body: dict[str, Any] = attrs.field(factory=dict)


@attrs.define
class RunResults:
    """Results of one load run.

    Attributes:
        latencies_s: Latencies in seconds, by kind of result; 0 for each call
            that was not made.
        finished_at_s: Times of the results in seconds since the start of the
            run, by kind of result.
        coverages: Coverage of each result of kind ``ok``, 0 to 1.
    """

    latencies_s: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    finished_at_s: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    coverages: list[float] = attrs.field(factory=list)

    def count(self, kind: str) -> int:
        """Returns the number of results of a kind."""
        return len(self.latencies_s.get(kind, ()))

    @property
    def total_count(self) -> int:
        """Number of results of all kinds, including ``not offered``."""
        return sum(len(latencies) for latencies in self.latencies_s.values())

    def percentile_ms(self, fraction: float, kind: str = "ok") -> float:
        """Returns a latency percentile in milliseconds.

        Args:
            fraction: Percentile as a fraction, such as 0.99.
            kind: Kind of result.

        Returns:
            The percentile; NaN if there are no results of this kind.
        """
        sorted_latencies_s = sorted(self.latencies_s.get(kind, ()))
        if not sorted_latencies_s:
            return float("nan")
        index = min(
            len(sorted_latencies_s) - 1, int(fraction * len(sorted_latencies_s))
        )
        return sorted_latencies_s[index] * 1000


@attrs.define(eq=False)
class Caller:
    """A caller of one entry, with a pool of idle connections.

    Attributes:
        address: IP address and port to which requests are sent.
        path: Path and query of each request.
        secret: Bearer token of each request.
        timeout_s: Time allowed for a response, in seconds.
    """

    address: str
    path: str
    secret: str = "secret-misr"
    timeout_s: float = 3.0
    _idle_connections: list[wire.Connection] = attrs.field(factory=list)

    async def call(self) -> Result:
        """Sends one GET request and waits for its response."""
        connection = None
        try:
            connection = (
                self._idle_connections.pop() if self._idle_connections else None
            )
            if connection is None or not connection.is_usable:
                connection = await wire.Connection.open(self.address, 1.0)
            response = await connection.request(
                "GET",
                self.path,
                b"",
                self.timeout_s,
                {"Authorization": f"Bearer {self.secret}"},
            )
        except wire.TransportError as error:
            if connection is not None:
                connection.close()
            return Result(f"wire {error.kind.value}")
        if connection.is_usable:
            self._idle_connections.append(connection)
        body = json.loads(response.body)
        if response.status == 200:
            return Result("ok", body["coverage"], body)
        return Result(body["error"]["name"], 0.0, body)

    def close(self) -> None:
        """Closes the idle connections."""
        for connection in self._idle_connections:
            connection.close()


async def offer(
    call: Callable[[], Awaitable[Result]], rate_per_s: float, duration_s: float
) -> RunResults:
    """Makes calls at a steady rate, without waiting for their results.

    Args:
        call: Makes one call.
        rate_per_s: Calls per second.
        duration_s: Time over which calls are started, in seconds.

    Returns:
        The results. A call that is due while ``_MAX_OUTSTANDING_CALLS`` calls
        are outstanding is not made, and counts as ``not offered``.
    """
    results = RunResults()
    started_at = time.monotonic()
    outstanding_calls: set[asyncio.Task[None]] = set()
    for number in range(int(rate_per_s * duration_s)):
        await asyncio.sleep(
            max(0, started_at + number / rate_per_s - time.monotonic())
        )
        if len(outstanding_calls) >= _MAX_OUTSTANDING_CALLS:
            results.latencies_s["not offered"].append(0.0)
            continue
        task = asyncio.ensure_future(
            _call_and_record(call, results, started_at)
        )
        outstanding_calls.add(task)
        task.add_done_callback(outstanding_calls.discard)
    if outstanding_calls:
        await asyncio.wait(outstanding_calls)
    return results


async def _call_and_record(
    call: Callable[[], Awaitable[Result]],
    results: RunResults,
    run_started_at: float,
) -> None:
    call_started_at = time.monotonic()
    result = await call()
    finished_at = time.monotonic()
    results.latencies_s[result.kind].append(finished_at - call_started_at)
    results.finished_at_s[result.kind].append(finished_at - run_started_at)
    if result.kind == "ok":
        results.coverages.append(result.coverage)
