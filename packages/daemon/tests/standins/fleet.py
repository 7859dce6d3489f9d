"""Starts a fleet of real processes on loopback for tests and the demo."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING
from typing import Any
import urllib.error
import urllib.parse
import urllib.request

import attrs

from cassiahead_notes import api
from cassiahead_notes import codec
from standins import ports
from standins import service as service_lib

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ["Answer", "Daemon", "Fleet", "Shape", "running"]

_READY_LIMIT_S = 20.0
_TESTS = pathlib.Path(__file__).parent.parent
_DOMAINS = ("cairo-a", "cairo-b", "cairo-c", "cairo-d")


@attrs.frozen
class Shape:
    """Size of a fleet."""

    entries: int = 2
    relays: int = 2
    shards: int = 10
    replicas: int = 3
    slots: int = 2
    ceiling: int | None = None
    domains: int = 3
    route: str = "board"
    min_coverage: float = 0.9
    deadline_ms: int = 1000


@attrs.frozen
class Answer:
    """An HTTP answer with its JSON body."""

    status: int
    body: dict[str, Any]
    seconds: float


@attrs.define(eq=False)
class Daemon:
    """One daemon process and its addresses."""

    role: str
    inner: str
    operators: str
    callers: str | None
    command: list[str]
    log: pathlib.Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, stderr=log, stdout=log
            )

    def send(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def end(self, number: int = signal.SIGKILL, limit: float = 15.0) -> int:
        """Ends the process and returns its exit code."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(number)
        return self.process.wait(limit)

    def events(self, name: str) -> list[dict[str, Any]]:
        """Returns the logged events of a name."""
        return [line for line in self.lines() if line["name"] == name]

    def lines(self) -> list[dict[str, Any]]:
        """Returns all logged events, in order."""
        return [json.loads(text) for text in self.log.read_text().splitlines()]


@attrs.define(eq=False)
class Fleet:
    """Stand-ins and daemons of one test."""

    shape: Shape
    folder: pathlib.Path
    service: service_lib.Service
    platform: str
    daemons: list[Daemon] = attrs.field(factory=list)
    target_ports: list[int] = attrs.field(factory=list)
    notes: list[api.Note] = attrs.field(factory=list)
    _targets: list[subprocess.Popen[bytes]] = attrs.field(factory=list)

    @property
    def entries(self) -> list[Daemon]:
        """The entry daemons."""
        return [d for d in self.daemons if d.role == "entry"]

    @property
    def relays(self) -> list[Daemon]:
        """The relay daemons."""
        return [d for d in self.daemons if d.role == "relay"]

    async def book(self, **parts: Any) -> api.Note:
        """Publishes the next note with the parts given."""
        head = codec.digest(self.notes[-1]) if self.notes else ""
        parts.setdefault("effective", time.time())
        note = api.Note(
            number=len(self.notes) + 1,
            predecessor=head,
            title=parts.pop("title", "test"),
            **parts,
        )
        self.notes.append(note)
        await self.service.publish(note)
        return note

    def start_targets(self, processes: int = 2) -> None:
        """Starts the target processes."""
        count = len(self.target_ports)
        size = -(-count // processes)
        for first in range(0, count, size):
            ports = self.target_ports[first : first + size]
            command = [
                sys.executable, "-m", "standins.target",
                "--ports", f"{ports[0]}-{ports[-1]}",
                "--slots", str(self.shape.slots),
            ]  # fmt: skip
            environment = {**os.environ, "PYTHONPATH": str(_TESTS)}
            self._targets.append(subprocess.Popen(command, env=environment))

    def add_daemon(self, role: str, domain: str) -> Daemon:
        """Prepares a daemon and lists it as a host."""
        inner, operators, callers = (
            f"127.0.0.1:{port}" for port in ports.free_ports(3)
        )
        number = len(self.daemons)
        settings = {
            "role": role,
            "failure_domain": domain,
            "inner": inner,
            "operators": operators,
            "platform": self.platform,
            "balancer_wait_s": 0.3,
        }
        if role == "entry":
            settings["callers"] = callers
        path = self.folder / f"{role}-{number}.json"
        path.write_text(json.dumps(settings))
        program = pathlib.Path(sys.executable).parent / "cassiahead"
        daemon = Daemon(
            role, inner, operators, callers if role == "entry" else None,
            [str(program), "--settings", str(path)],
            self.folder / f"{role}-{number}.log",
        )  # fmt: skip
        self.daemons.append(daemon)
        self.service.hosts[inner] = role
        return daemon

    async def until_ready(self, limit: float = _READY_LIMIT_S) -> None:
        """Waits until all daemons are ready and all targets are owned."""
        until = time.monotonic() + limit
        for daemon in self.daemons:
            await self._until_daemon_ready(daemon, until)
        await self._until_owned(until)

    async def get(self, url: str, **headers: str) -> Answer:
        """Sends a GET request."""
        return await self.call("GET", url, None, headers)

    async def call(
        self,
        method: str,
        url: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout: float = 10.0,
    ) -> Answer:
        """Sends a request from a thread of its own."""
        return await asyncio.to_thread(
            _call, method, url, body, headers, timeout
        )

    async def search(
        self, entry: Daemon, secret: str = "secret-misr", **query: str
    ) -> Answer:
        """Searches the shape's route through an entry."""
        query.setdefault("q", "handover")
        url = f"http://{entry.callers}/v1/{self.shape.route}?"
        url += urllib.parse.urlencode(query)
        return await self.get(url, Authorization=f"Bearer {secret}")

    async def control(self, port: int, **settings: Any) -> dict[str, Any]:
        """Sets a target's behaviour and returns its state."""
        url = f"http://127.0.0.1:{port}/control"
        if settings:
            await self.call("POST", url, json.dumps(settings).encode(), {})
        return (await self.get(url)).body

    async def target_states(self) -> list[dict[str, Any]]:
        """Returns the state of every target, in the order of their ports."""
        return [await self.control(port) for port in self.target_ports]

    async def order(
        self, entry: Daemon, ref: str, key: str | None = None
    ) -> Answer:
        """Sends an order through an entry."""
        headers = {"Authorization": "Bearer secret-misr"}
        if key is not None:
            headers["Idempotency-Key"] = key
        return await self.call(
            "POST",
            f"http://{entry.callers}/v1/handover?id={ref}",
            json.dumps({"ref": ref}).encode(),
            headers,
        )

    def close(self) -> None:
        """Ends all processes that were started."""
        for daemon in self.daemons:
            if daemon.process is not None:
                daemon.end()
        for target in self._targets:
            target.kill()
            target.wait()

    async def _until_daemon_ready(self, daemon: Daemon, until: float) -> None:
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                answer = await self.get(f"http://{daemon.operators}/readyz")
                if answer.status == 200:
                    return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{daemon.role} {daemon.inner} is not ready")

    async def _until_owned(self, until: float) -> None:
        wanted = {
            *(f"target:{name}" for name in self.target_names()),
            "account:misr",
        }
        while time.monotonic() < until:
            held: set[str] = set()
            for daemon in self.daemons:
                url = f"http://{daemon.operators}/inforce"
                held.update((await self.get(url)).body["homes"])
            if wanted <= held:
                return
            await asyncio.sleep(0.05)
        raise TimeoutError("some targets have no owner")

    def target_names(self) -> list[str]:
        """Returns the names of all targets."""
        return [
            f"s{shard:02}r{replica}"
            for shard in range(self.shape.shards)
            for replica in range(self.shape.replicas)
        ]

    def first_note(self) -> dict[str, Any]:
        """Returns the parts of the note that describes the whole fleet."""
        shape = self.shape
        names = self.target_names()
        domains = _DOMAINS[: shape.domains]
        targets = {
            name: api.Target(
                address=f"127.0.0.1:{self.target_ports[i]}",
                failure_domain=domains[i % shape.replicas % len(domains)],
                slots=shape.slots,
                connections=25,
            )
            for i, name in enumerate(names)
        }
        shards = {
            f"s{shard:02}": tuple(
                f"s{shard:02}r{replica}" for replica in range(shape.replicas)
            )
            for shard in range(shape.shards)
        }
        return {
            "title": "liaison-desk goes live",
            "add": api.Items(
                failure_domains={d: api.FailureDomain() for d in domains},
                accounts={
                    "misr": api.Account(rate_per_s=2000, burst=400),
                    "audit": api.Account(rate_per_s=20, burst=5),
                },
                keys={
                    _digest("secret-misr"): api.Key("misr"),
                    _digest("secret-audit"): api.Key("audit"),
                },
                targets=targets,
                layouts={"desk": api.Layout(1, shards)},
                routes=self._routes(),
            ),
            "change": api.Items(
                fleet=api.Fleet(
                    entry_ceiling=shape.ceiling or shape.entries,
                    relay_ceiling=shape.ceiling or shape.relays,
                )
            ),
        }

    def _routes(self) -> dict[str, api.Route]:
        shape = self.shape
        search, lookup, order = (
            api.RouteKind.SEARCH,
            api.RouteKind.LOOKUP,
            api.RouteKind.ORDER,
        )
        deadline = shape.deadline_ms
        return {
            shape.route: api.Route(
                search, "desk", deadline, min_coverage=shape.min_coverage
            ),
            "snag": api.Route(lookup, "desk", deadline),
            "handover": api.Route(order, "desk", deadline),
            "open-board": api.Route(
                search, "desk", deadline, min_coverage=0.5, open=True
            ),
        }


@contextlib.asynccontextmanager
async def running(shape: Shape) -> AsyncIterator[Fleet]:
    """Runs a fleet for the duration of a block."""
    with tempfile.TemporaryDirectory() as name:
        fleet = _prepare(shape, pathlib.Path(name))
        try:
            fleet.start_targets()
            await fleet.book(**fleet.first_note())
            for daemon in fleet.daemons:
                daemon.start()
            await fleet.until_ready()
            yield fleet
        finally:
            fleet.close()
            await fleet.service.close()


def _prepare(shape: Shape, folder: pathlib.Path) -> Fleet:
    service = service_lib.Service()
    port = ports.free_port()
    service.listen(port)
    fleet = Fleet(shape, folder, service, f"127.0.0.1:{port}")
    fleet.target_ports = ports.free_ports(shape.shards * shape.replicas)
    domains = _DOMAINS[: shape.domains]
    for number in range(shape.entries):
        fleet.add_daemon("entry", domains[number % len(domains)])
    for number in range(shape.relays):
        fleet.add_daemon("relay", domains[number % len(domains)])
    return fleet


def _digest(secret: str) -> str:
    return hashlib.sha256(secret.encode()).hexdigest()


def _call(
    method: str,
    url: str,
    body: bytes | None,
    headers: dict[str, str],
    timeout: float,
) -> Answer:
    request = urllib.request.Request(
        url, data=body, method=method, headers=headers
    )
    started = time.monotonic()
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            status, text = response.status, response.read()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read()
    seconds = time.monotonic() - started
    return Answer(status, json.loads(text or b"{}"), seconds)
