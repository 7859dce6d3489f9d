"""A stand-in for targets: one process that serves many of them.

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

_ANSWERS_UNTIL_WARM = 20


@attrs.define(eq=False)
class TargetStandin:
    """One target on a loopback port, with faults that tests switch on.

    The names of the public attributes are keys of ``/control``.

    Attributes:
        port: TCP port on 127.0.0.1.
        slots: Requests that the target may run at once.
        delay: Seconds from a request to its answer.
        straggle: Probability, 0 to 1, that ``straggle_delay`` replaces
            ``delay``.
        straggle_delay: Seconds from a request to its answer if it straggles.
        generation: Layout generation put into answers.
        versions: Index versions that the target can search.
        silent: Whether the target accepts requests and answers none.
        shed: Whether the target answers each request with status 503.
        crossed: Whether answers carry the id of another request.
        truncated: Whether the connection closes after half of each answer.
        crash_on: Text that makes the target crash if it is part of a request
            body; empty for none.
        cold_limit: Requests that the target may run at once while cold.
        cold: Whether the target is in cold start, which ends after
            ``_ANSWERS_UNTIL_WARM`` requests.
        incarnation: Id that changes with each restart.
        in_flight: Requests begun and not ended.
        most_in_flight: Highest value of ``in_flight`` so far.
        over_slots: Requests that began beyond ``slots``.
        over_cold: Requests that began beyond ``cold_limit`` while cold.
        connections: Always 0; connections are not counted.
        answered: Requests ended since the last restart, answered or not.
        began: Requests begun.
        crashes: Requests that made the target crash.
        key_seen: Requests that carried a caller's key or its header.
        last_began: Time of the event loop at which the last request began, in
            seconds.
        ran: Ids of the requests that ran, in order.
        orders: References of the orders that ran, in order.
        violations: Requests in flight together whenever ``over_cold`` grew,
            with whether their connections had been closed.
        reset_after_run: Whether the connection closes, without an answer, once
            a request ran.
    """

    port: int
    slots: int = 2
    delay: float = 0.002
    straggle: float = 0.0
    straggle_delay: float = 0.08
    generation: int = 1
    versions: tuple[int, ...] = (1,)
    silent: bool = False
    shed: bool = False
    crossed: bool = False
    truncated: bool = False
    crash_on: str = ""
    cold_limit: int = 1
    cold: bool = True
    incarnation: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    in_flight: int = 0
    most_in_flight: int = 0
    over_slots: int = 0
    over_cold: int = 0
    connections: int = 0
    answered: int = 0
    began: int = 0
    crashes: int = 0
    key_seen: int = 0
    last_began: float = 0.0
    ran: list[str] = attrs.field(factory=list)
    orders: list[str] = attrs.field(factory=list)
    violations: list[str] = attrs.field(factory=list)
    reset_after_run: bool = False
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
        """Counts a request as begun, and records it if it exceeds a limit."""
        self._running_handlers.append(handler)
        self.in_flight += 1
        self.began += 1
        self.last_began = asyncio.get_running_loop().time()
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        if self.in_flight > self.slots:
            self.over_slots += 1
        if self.cold and self.in_flight > self.cold_limit:
            self.over_cold += 1
            self.violations.append(
                " with ".join(map(str, self._running_handlers))
            )

    def record_end(self, handler: _TargetHandler) -> None:
        """Counts a request as ended; enough of them end cold start."""
        self._running_handlers.remove(handler)
        self.in_flight -= 1
        self.answered += 1
        if self.answered >= _ANSWERS_UNTIL_WARM:
            self.cold = False

    def restart(self) -> None:
        """Enters cold start under a new incarnation."""
        self.incarnation = uuid.uuid4().hex
        self.cold = True
        self.answered = 0


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
        """Waits as long as the client stays connected.

        Returns:
            False as soon as the client closes the connection, True if it is
            still open after ``duration_s`` seconds.
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
            target.key_seen += 1
        deadline_s = int(self.request.headers["X-Deadline-Ms"]) / 1000
        if target.crash_on and target.crash_on in body_text:
            target.crashes += 1
            target.restart()
            self.request.connection.stream.close()
            return
        if target.silent:
            await self.wait_while_connected(30.0)
            return
        delay_s = target.delay
        if target.straggle and random.random() < target.straggle:
            delay_s = target.straggle_delay
        if (
            not await self.wait_while_connected(min(delay_s, deadline_s))
            or delay_s > deadline_s
        ):
            return
        if target.shed:
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
        target.ran.append(self.request.headers["X-Request-Id"])
        if "order" in json.loads(body_text):
            target.orders.append(json.loads(body_text)["order"]["ref"])
        if target.reset_after_run:
            self.request.connection.stream.close()
            return
        answer_text = json.dumps(
            self._build_answer(target, shard, version, body_text)
        )
        if target.truncated:
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
            "request_id": "someone-else" if target.crossed else request_id,
            "shard": shard,
            "generation": target.generation,
            "version": version,
            "versions": list(target.versions),
            "incarnation": target.incarnation,
            "cold": target.cold,
            "result": {
                "hits": [hit],
                "account": self.request.headers["X-Account"],
                "echo": json.loads(body_text),
            },
        }


class _HealthHandler(_TargetHandler):
    async def get(self) -> None:
        if self._target.silent:
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
    """Serves one target per port until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--ports", required=True, help="such as 9001-9030")
    parser.add_argument("--slots", type=int, default=2)
    arguments = parser.parse_args()
    first, last = (int(part) for part in arguments.ports.split("-"))
    asyncio.run(_serve(list(range(first, last + 1)), arguments.slots))


if __name__ == "__main__":
    main()
