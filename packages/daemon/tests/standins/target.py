"""A stand-in for targets; one process serves many of them.

Run as ``python -m standins.target --ports 9001-9030``. ``POST /control`` with a
JSON object sets attributes of a ``TargetStandin``; ``GET /control`` returns all
of its public attributes.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
from typing import Any
import uuid

import attrs
from tornado import httpserver
from tornado import web

__all__ = ["TargetStandin"]

_REQUESTS_UNTIL_WARM = 20


@attrs.define(eq=False)
class TargetStandin:
    """One target on a loopback port, with faults that tests can enable.

    The names of the public attributes are keys of ``/control``.

    Attributes:
        port: Loopback port that the target listens on.
        slots: Number of requests that the target may run at once.
        delay_s: Seconds from a request to its answer.
        straggle_probability: Probability, 0 to 1, that ``straggle_delay_s``
            replaces ``delay_s``.
        straggle_delay_s: Seconds from a request to its answer if it straggles.
        generation: Layout generation put into answers.
        versions: Index versions that the target can search.
        is_silent: Whether the target accepts requests and answers none.
        is_shedding: Whether the target answers each request with status 503.
        has_wrong_request_id: Whether answers carry a wrong request id.
        is_truncating: Whether the connection closes after half of each answer.
        crash_text: Text that makes the target crash if a request body contains
            it; empty for none.
        cold_slots: Number of requests that the target may run at once while
            cold.
        is_cold: Whether the target is in cold start, which ends once
            ``_REQUESTS_UNTIL_WARM`` requests have ended.
        incarnation: Id that changes with each restart.
        in_flight_count: Number of requests begun but not ended.
        max_in_flight_count: Highest value of ``in_flight_count`` so far.
        over_slots_count: Number of requests that began while all ``slots`` were
            in use.
        over_cold_slots_count: Number of requests that began while all
            ``cold_slots`` were in use and the target was cold.
        connections: Unused; always 0.
        ended_since_restart_count: Number of requests ended since the last
            restart, answered or not.
        begun_count: Number of requests begun.
        crash_count: Number of requests that made the target crash.
        leaked_key_count: Number of requests with a caller's key or an
            ``Authorization`` header, which the daemons must not pass on.
        last_begun_at: Time of the event loop at which the last request began,
            in seconds.
        run_request_ids: Ids of the requests that ran, in order.
        run_order_refs: References of the orders that ran, in order.
        cold_slots_violations: For each increase of ``over_cold_slots_count``,
            the ids of the requests in flight, and whether their connections
            had been closed.
        closes_after_run: Whether the connection closes, without an answer, once
            a request has run.
    """

    port: int
    slots: int = 2
    delay_s: float = 0.002
    straggle_probability: float = 0.0
    straggle_delay_s: float = 0.08
    generation: int = 1
    versions: tuple[int, ...] = (1,)
    is_silent: bool = False
    is_shedding: bool = False
    has_wrong_request_id: bool = False
    is_truncating: bool = False
    crash_text: str = ""
    cold_slots: int = 1
    is_cold: bool = True
    incarnation: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    in_flight_count: int = 0
    max_in_flight_count: int = 0
    over_slots_count: int = 0
    over_cold_slots_count: int = 0
    connections: int = 0
    ended_since_restart_count: int = 0
    begun_count: int = 0
    crash_count: int = 0
    leaked_key_count: int = 0
    last_begun_at: float = 0.0
    run_request_ids: list[str] = attrs.field(factory=list)
    run_order_refs: list[str] = attrs.field(factory=list)
    cold_slots_violations: list[str] = attrs.field(factory=list)
    closes_after_run: bool = False
    _server: httpserver.HTTPServer | None = None
    _running_handlers: list[_TargetHandler] = attrs.field(factory=list)

    def listen(self) -> None:
        """Serves on the target's port."""
        routes = [
            (r"/v1/shards/([^/]+)/([^/]+)", _ShardHandler, {"target": self}),
            (r"/health", _HealthHandler, {"target": self}),
            (r"/control", _ControlHandler, {"target": self}),
        ]
        self._server = httpserver.HTTPServer(web.Application(routes))
        self._server.listen(self.port, "127.0.0.1")

    def record_begin(self, handler: _TargetHandler) -> None:
        """Counts a request as begun, and records whether it exceeds a limit."""
        self._running_handlers.append(handler)
        self.in_flight_count += 1
        self.begun_count += 1
        self.last_begun_at = asyncio.get_running_loop().time()
        self.max_in_flight_count = max(
            self.max_in_flight_count, self.in_flight_count
        )
        if self.in_flight_count > self.slots:
            self.over_slots_count += 1
        if self.is_cold and self.in_flight_count > self.cold_slots:
            self.over_cold_slots_count += 1
            self.cold_slots_violations.append(
                " with ".join(map(str, self._running_handlers))
            )

    def record_end(self, handler: _TargetHandler) -> None:
        """Counts a request as ended; cold start ends after enough of them."""
        self._running_handlers.remove(handler)
        self.in_flight_count -= 1
        self.ended_since_restart_count += 1
        if self.ended_since_restart_count >= _REQUESTS_UNTIL_WARM:
            self.is_cold = False

    def restart(self) -> None:
        """Enters cold start under a new incarnation."""
        self.incarnation = uuid.uuid4().hex
        self.is_cold = True
        self.ended_since_restart_count = 0


class _TargetHandler(web.RequestHandler):
    def initialize(self, target: TargetStandin) -> None:
        self._target = target
        self._connection_closed = asyncio.Event()

    def __str__(self) -> str:
        request_id = self.request.headers.get("X-Request-Id")
        return f"{request_id} (cancelled: {self._connection_closed.is_set()})"

    def on_connection_close(self) -> None:
        self._connection_closed.set()

    async def wait_while_connected(self, duration_s: float) -> bool:
        """Waits for a time, or until the client closes the connection.

        Returns:
            Whether the connection is still open after ``duration_s`` seconds;
            False is returned as soon as it closes.
        """
        try:
            await asyncio.wait_for(self._connection_closed.wait(), duration_s)
        except TimeoutError:
            return True
        return False


class _ShardHandler(_TargetHandler):
    async def post(self, shard: str, _: str) -> None:
        target = self._target
        target.record_begin(self)
        try:
            await self._run_request(target, shard)
        finally:
            target.record_end(self)

    async def _run_request(self, target: TargetStandin, shard: str) -> None:
        body_text = self.request.body.decode()
        request_text = str(self.request.headers) + body_text + self.request.uri
        if "secret-" in request_text or "Authorization" in request_text:
            target.leaked_key_count += 1
        deadline_s = int(self.request.headers["X-Deadline-Ms"]) / 1000
        if target.crash_text and target.crash_text in body_text:
            target.crash_count += 1
            target.restart()
            self.request.connection.stream.close()
            return
        if target.is_silent:
            await self.wait_while_connected(30.0)
            return
        delay_s = target.delay_s
        if (
            target.straggle_probability
            and random.random() < target.straggle_probability
        ):
            delay_s = target.straggle_delay_s
        if (
            not await self.wait_while_connected(min(delay_s, deadline_s))
            or delay_s > deadline_s
        ):
            return
        if target.is_shedding:
            self.set_status(503)
            return
        requested_version = self.request.headers.get("X-Index-Version")
        version = (
            int(requested_version)
            if requested_version
            else max(target.versions)
        )
        if version not in target.versions:
            self.set_status(409)
            self.write({"versions": list(target.versions)})
            return
        target.run_request_ids.append(self.request.headers["X-Request-Id"])
        if "order" in json.loads(body_text):
            target.run_order_refs.append(json.loads(body_text)["order"]["ref"])
        if target.closes_after_run:
            self.request.connection.stream.close()
            return
        answer_text = json.dumps(
            self._build_answer(target, shard, version, body_text)
        )
        if target.is_truncating:
            self.set_header("Content-Length", str(len(answer_text)))
            self.write(answer_text[: len(answer_text) // 2])
            await self.flush()
            self.request.connection.stream.close()
            return
        self.write(answer_text)

    def _build_answer(
        self, target: TargetStandin, shard: str, version: int, body_text: str
    ) -> dict[str, Any]:
        request_id = self.request.headers["X-Request-Id"]
        score = random.Random(f"{shard}/{version}").random()
        hit = {"id": f"{shard}-v{version}", "score": score, "shard": shard}
        return {
            "request_id": "someone-else"
            if target.has_wrong_request_id
            else request_id,
            "shard": shard,
            "generation": target.generation,
            "version": version,
            "versions": list(target.versions),
            "incarnation": target.incarnation,
            "cold": target.is_cold,
            "result": {
                "hits": [hit],
                "account": self.request.headers["X-Account"],
                "echo": json.loads(body_text),
            },
        }


class _HealthHandler(_TargetHandler):
    async def get(self) -> None:
        if self._target.is_silent:
            await self.wait_while_connected(30.0)
            return
        self.write({"incarnation": self._target.incarnation})


class _ControlHandler(_TargetHandler):
    def get(self) -> None:
        state = attrs.asdict(
            self._target,
            filter=lambda attribute, _: not attribute.name.startswith("_"),
        )
        self.write(json.dumps(state))

    def post(self) -> None:
        for name, value in json.loads(self.request.body).items():
            if name == "restart":
                self._target.restart()
            else:
                setattr(self._target, name, value)
        self.write({})


async def _serve(ports: list[int], slots: int) -> None:
    for port in ports:
        TargetStandin(port, slots=slots).listen()
    await asyncio.Event().wait()


def main() -> None:
    """Serves one target per port until the process is terminated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--ports", required=True, help="such as 9001-9030")
    parser.add_argument("--slots", type=int, default=2)
    arguments = parser.parse_args()
    first_port, last_port = (int(part) for part in arguments.ports.split("-"))
    asyncio.run(_serve(list(range(first_port, last_port + 1)), arguments.slots))


if __name__ == "__main__":
    main()
