"""Bounded open-loop load on loopback, and its percentiles."""

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

__all__ = ["Caller", "Result", "Sample", "offer"]

_MAX_OUTSTANDING = 400


@attrs.frozen
class Result:
    """The result of one call: its kind, and what came back."""

    kind: str
    coverage: float = 0.0
    body: dict[str, Any] = attrs.field(factory=dict)


@attrs.define
class Sample:
    """What a load run saw; latencies in seconds by kind of result."""

    latencies: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    finished_at: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    coverages: list[float] = attrs.field(factory=list)

    def count(self, kind: str) -> int:
        """Returns the number of results of a kind."""
        return len(self.latencies.get(kind, ()))

    @property
    def total(self) -> int:
        """Number of all results."""
        return sum(len(v) for v in self.latencies.values())

    def percentile(self, fraction: float, kind: str = "ok") -> float:
        """Returns a latency percentile in milliseconds."""
        ordered = sorted(self.latencies.get(kind, ()))
        if not ordered:
            return float("nan")
        index = min(len(ordered) - 1, int(fraction * len(ordered)))
        return ordered[index] * 1000


@attrs.define(eq=False)
class Caller:
    """A caller of one entry, over connections that it keeps."""

    address: str
    path: str
    secret: str = "secret-misr"
    limit: float = 3.0
    _idle: list[wire.Connection] = attrs.field(factory=list)

    async def call(self) -> Result:
        """Makes one call."""
        connection = None
        try:
            connection = self._idle.pop() if self._idle else None
            if connection is None or not connection.is_usable:
                connection = await wire.Connection.open(self.address, 1.0)
            response = await connection.request(
                "GET",
                self.path,
                b"",
                self.limit,
                {"Authorization": f"Bearer {self.secret}"},
            )
        except wire.TransportError as error:
            if connection is not None:
                connection.close()
            return Result(f"wire {error.kind.value}")
        if connection.is_usable:
            self._idle.append(connection)
        body = json.loads(response.body)
        if response.status == 200:
            return Result("ok", body["coverage"], body)
        return Result(body["error"]["name"], 0.0, body)

    def close(self) -> None:
        """Closes the idle connections."""
        for connection in self._idle:
            connection.close()


async def offer(
    call: Callable[[], Awaitable[Result]], rate: float, seconds: float
) -> Sample:
    """Offers calls at a steady rate, whatever the answers take.

    Args:
        call: Makes one call.
        rate: Calls per second.
        seconds: Duration.

    Returns:
        The results. Calls that exceed the bound on those outstanding count as
        ``not offered``.
    """
    sample = Sample()
    started = time.monotonic()
    running: set[asyncio.Task[None]] = set()
    for number in range(int(rate * seconds)):
        await asyncio.sleep(max(0, started + number / rate - time.monotonic()))
        if len(running) >= _MAX_OUTSTANDING:
            sample.latencies["not offered"].append(0.0)
            continue
        task = asyncio.ensure_future(_one(call, sample, started))
        running.add(task)
        task.add_done_callback(running.discard)
    if running:
        await asyncio.wait(running)
    return sample


async def _one(
    call: Callable[[], Awaitable[Result]], sample: Sample, started: float
) -> None:
    began = time.monotonic()
    result = await call()
    now = time.monotonic()
    sample.latencies[result.kind].append(now - began)
    sample.finished_at[result.kind].append(now - started)
    if result.kind == "ok":
        sample.coverages.append(result.coverage)
