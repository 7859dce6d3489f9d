"""Stand-ins of the platform, the targets and the callers, for review cases.

Only the standard library is used. The gateways are separate processes, started
with the command of the deploy file and with settings that are filled in from
its template; everything else runs in the event loop of the case.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from typing import Any
from urllib import parse

__all__ = [
    "Answer",
    "Caller",
    "CaseError",
    "Gateway",
    "Record",
    "Request",
    "Store",
    "Target",
    "configuration",
    "is_troubled",
    "route",
    "run_case",
    "start_system",
    "wait_until",
]

ROOT = pathlib.Path(__file__).resolve().parent.parent
CASE_TIMEOUT_S = 110.0
STABILITY_WINDOW_S = 4.0
_EXIT_HELD = 0
_EXIT_BROKEN = 1
_EXIT_NOT_RUN = 2
_ITEMS_PER_PAGE = 50
_READY_TIMEOUT_S = 40.0
_REQUEST_NUMBERS = itertools.count(1)
_PLACEHOLDER = re.compile(r"\{\{([a-zA-Z0-9.]+)(\|json)?\}\}")


class CaseError(Exception):
    """The case could not run."""


def is_troubled() -> bool:
    """Returns whether the case brings its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


@dataclasses.dataclass
class Record:
    """Writes what happened to ``record.txt``, with times since the start."""

    path: pathlib.Path
    lines: list[str] = dataclasses.field(default_factory=list)
    started_at: float = dataclasses.field(default_factory=time.monotonic)

    def add(self, text: str) -> None:
        """Adds a line."""
        elapsed_s = time.monotonic() - self.started_at
        self.lines.append(f"{elapsed_s:8.3f} {text}")

    def conclude(self, text: str) -> None:
        """Adds a line that is also printed."""
        self.add(text)
        print(text, flush=True)

    def save(self) -> None:
        """Writes the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


@dataclasses.dataclass
class Request:
    """A request as received."""

    method: str
    path: bytes
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Returns the id that the caller gave to the request."""
        return self.headers.get("request-id", "")


@dataclasses.dataclass
class Answer:
    """An answer as received; ``status`` is 0 if there was none."""

    status: int
    headers: dict[str, str]
    body: bytes


def free_ip() -> str:
    """Returns a loopback address that hardly any other test uses."""
    rng = random.SystemRandom()
    return (
        f"127.{rng.randint(1, 250)}.{rng.randint(1, 250)}.{rng.randint(2, 250)}"
    )


def free_port(ip: str) -> int:
    """Returns a port that is free at an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        port: int = sock.getsockname()[1]
        return port


async def wait_until(
    condition: Callable[[], bool | Awaitable[bool]], what: str, timeout_s: float
) -> None:
    """Waits until a condition holds.

    Raises:
        CaseError: If it does not hold in time.
    """
    ends_at = time.monotonic() + timeout_s
    while True:
        result = condition()
        if isinstance(result, Awaitable):
            result = await result
        if result:
            return
        if time.monotonic() > ends_at:
            raise CaseError(f"not within {timeout_s} s: {what}")
        await asyncio.sleep(0.05)


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[bytes, dict[str, str]]:
    """Reads a start line and headers; names are in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head[:-4].split(b"\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return start_line, headers


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Reads a request with a length or none."""
    start_line, headers = await read_head(reader)
    method, path, _ = start_line.split(b" ")
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method.decode(), path, headers, body)


def response_bytes(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
    writer.transport.abort()


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """What a store held at one moment."""

    revision: int
    items: dict[str, dict[str, Any]]
    events: list[dict[str, Any]]


@dataclasses.dataclass(eq=False)
class Store:
    """The platform's metadata store, as the pages describe its reads.

    Attributes:
        era: Number of times that it came back from a copy; sent in all answers
            after the first time.
        is_away: Whether it resets all connections and calls.
    """

    record: Record
    revision: int = 1
    address: str = ""
    era: int = 0
    is_away: bool = False
    _items: dict[str, dict[str, Any]] = dataclasses.field(default_factory=dict)
    _events: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    _changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def put(self, key: str, value: object) -> None:
        """Writes an item; the return acknowledges it."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self._items[key] = item
        self._publish(item)

    def delete(self, key: str) -> None:
        """Deletes an item."""
        self.revision += 1
        del self._items[key]
        self._publish({"key": key, "revision": self.revision, "deleted": True})

    def publish_configuration(self, document: dict[str, Any]) -> None:
        """Publishes a configuration, as the operator does."""
        self.put("op/config", document)
        self.record.add(
            f"store: acknowledged configuration {document['version']}"
        )

    def copy(self) -> StoreCopy:
        """Returns a copy of what the store holds now."""
        return StoreCopy(self.revision, dict(self._items), list(self._events))

    def go_away(self) -> None:
        """Resets all connections, and new calls until the return."""
        self.is_away = True
        for writer in list(self._writers):
            reset(writer)
        self.record.add("store: away")

    def return_from(self, copy: StoreCopy) -> None:
        """Comes back from a copy: what was written since is lost."""
        self.era += 1
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._events = list(copy.events)
        self.is_away = False
        self.record.add(f"store: back, era {self.era}")

    def _publish(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while not self.is_away:
                request = await read_request(reader)
                path, _, query = request.path.decode().partition("?")
                fields = dict(parse.parse_qsl(query, keep_blank_values=True))
                status, document = await self._call(path, fields)
                if self.is_away:
                    break
                headers = {"Content-Type": "application/json"}
                if self.era:
                    headers["Store-Era"] = str(self.era)
                body = json.dumps(document).encode()
                writer.write(response_bytes(status, headers, body))
                await writer.drain()
        self._writers.discard(writer)
        if self.is_away:
            reset(writer)
        writer.close()

    async def _call(
        self, path: str, fields: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        await asyncio.sleep(0.004)
        if path == "/-/kv-range":
            return 200, self._page(fields)
        if path == "/-/kv-watch":
            if int(fields["after"]) > self.revision:
                return 410, {}
            return 200, await self._watch(fields)
        if path == "/-/kv-key" and fields.get("key") in self._items:
            return 200, self._items[fields["key"]]
        return 404, {}

    def _page(self, fields: dict[str, str]) -> dict[str, Any]:
        prefix, after = fields.get("prefix", ""), fields.get("after", "")
        keys = sorted(
            k for k in self._items if k.startswith(prefix) and k > after
        )
        return {
            "items": [self._items[k] for k in keys[:_ITEMS_PER_PAGE]],
            "hasMore": len(keys) > _ITEMS_PER_PAGE,
            "at": self.revision,
        }

    async def _watch(self, fields: dict[str, str]) -> dict[str, Any]:
        after, prefix = int(fields["after"]), fields.get("prefix", "")
        ends_at = time.monotonic() + int(fields.get("waitMs", "0")) / 1000
        while True:
            events = [
                e
                for e in self._events
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()


Responder = Callable[["Target", Request, asyncio.StreamWriter], Awaitable[bool]]


@dataclasses.dataclass(eq=False)
class Target:
    """A searcher: runs a request for a time, and answers with its stamp.

    Attributes:
        respond: Answers a request that is for this searcher, after it was
            counted as run; returns whether the connection is kept.
        refuses: Returns whether a request is turned away without running it.
        runs: Ids of the requests that it has begun to run.
    """

    id: str
    service: str
    record: Record
    respond: Responder
    slots: int = 2
    max_connections: int = 40
    address: str = ""
    born: int = dataclasses.field(
        default_factory=lambda: int(time.time()) * 1000
    )
    runs: list[Request] = dataclasses.field(default_factory=list)
    _port: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)

    async def start(self) -> None:
        """Listens, on the same port after a crash."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port, reuse_address=True
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self._port}"

    def crash(self) -> None:
        """Ends as a killed process does: all connections are reset."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    def entry(self) -> dict[str, Any]:
        """Returns the entry that the searcher writes to the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if len(self._writers) > self.max_connections:
                    reset(writer)
                    return
                while await self._handle(await read_request(reader), writer):
                    await writer.drain()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bool:
        if request.path == b"/healthz":
            writer.write(response_bytes(200, {"Instance-Id": self.id}))
            return True
        if request.headers.get("expected-instance", self.id) != self.id:
            writer.write(response_bytes(421, {"Not-Executed": "1"}))
            return True
        self.runs.append(request)
        self.record.add(f"{self.id}: runs {request.id}")
        return await self.respond(self, request, writer)

    def stamp(self, request: Request) -> str:
        """Returns the receipt of this searcher for a request."""
        return f"{self.id}.{request.id}"

    def answer_headers(self, request: Request) -> dict[str, str]:
        """Returns the headers of a correct answer."""
        return {"Request-Id": request.id, "Server-Stamp": self.stamp(request)}


@dataclasses.dataclass(eq=False)
class Gateway:
    """A process of the system, started with the command of the deploy file."""

    name: str
    store: Store
    record: Record
    folder: pathlib.Path
    seeds: list[str] = dataclasses.field(default_factory=list)
    changes: dict[str, Any] = dataclasses.field(default_factory=dict)
    ip: str = dataclasses.field(default_factory=free_ip)
    process: asyncio.subprocess.Process | None = None

    def __post_init__(self) -> None:
        """Chooses the addresses."""
        self.callers = f"{self.ip}:{free_port(self.ip)}"
        self.readiness = f"{self.ip}:{free_port(self.ip)}"
        self.peers = f"{self.ip}:{free_port(self.ip)}"

    async def start(self) -> None:
        """Fills in the settings template and starts the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        [role] = deploy["roles"].values()
        template = (ROOT / role["template"]).read_text()
        settings = json.loads(_fill_in(template, self._fields()))
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        program, *arguments = shlex.split(role["run"])
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable if program == "python3" else program,
                *arguments,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "CASSIAHEAD_CONFIG": str(path),
                },
            )
        self.record.add(f"{self.name}: started")

    async def wait_ready(self) -> None:
        """Waits until the readiness check is answered with 200."""

        async def is_ready() -> bool:
            answer = await Caller(self.readiness).send(
                b"GET", b"/-/readyz", {"Host": "x"}, timeout_s=1.0
            )
            return answer.status == 200

        await wait_until(is_ready, f"{self.name} is ready", _READY_TIMEOUT_S)
        self.record.add(f"{self.name}: ready")

    async def stop(self) -> None:
        """Kills the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def log_lines(self) -> list[str]:
        """Returns what the process has logged."""
        path = self.folder / f"{self.name}.log"
        return path.read_text().splitlines() if path.exists() else []

    def _fields(self) -> dict[str, Any]:
        fields: dict[str, Any] = {
            "nodeName": self.name,
            "ip": self.ip,
            "zone": "z1",
            "zones": {"z1": "r1"},
            "listenAddrs": {
                "front": self.callers,
                "ready": self.readiness,
                "control": self.peers,
            },
            "seeds": self.seeds or [self.peers],
            "limits": {"memoryMb": 300, "maxFds": 4100},
            "bounds": {
                "graceS": 6,
                "retryBudgetRatio": 0.2,
                "retryBudgetSlack": 54,
                "budgetWindowS": 10,
                "drainMs": 3000,
                "coldOverage": 1.5,
                "coldSlack": 5,
            },
            "platform": {"address": self.store.address},
        }
        return fields | self.changes


@dataclasses.dataclass(eq=False)
class Caller:
    """A client with one connection, which is kept while it is usable."""

    address: str
    _streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self,
        method: bytes,
        path: bytes,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 5.0,
    ) -> Answer:
        """Sends a request; the status of the answer is 0 if none came."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(method, path, headers, body)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
            return Answer(0, {}, b"")

    async def _exchange(
        self, method: bytes, path: bytes, headers: dict[str, str], body: bytes
    ) -> Answer:
        if self._streams is None:
            ip, _, port = self.address.rpartition(":")
            self._streams = await asyncio.open_connection(ip, int(port))
        reader, writer = self._streams
        lines = [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode("latin-1")
        writer.write(
            method + b" " + path + b" HTTP/1.1\r\n" + head + b"\r\n\r\n" + body
        )
        await writer.drain()
        start_line, answer_headers = await read_head(reader)
        length = int(answer_headers.get("content-length", "0"))
        answer_body = await reader.readexactly(length)
        if answer_headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(start_line.split()[1]), answer_headers, answer_body)

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def next_request_id() -> str:
    """Returns an id that no other request has."""
    return f"q{next(_REQUEST_NUMBERS):06d}"


def route(name: str, prefix: str, kind: str, **fields: Any) -> dict[str, Any]:  # noqa: ANN401
    """Returns a route to one service with usual figures."""
    return {
        "name": name,
        "host": "l.example",
        "prefix": prefix,
        "routeType": kind,
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": "files",
        "maxAttempts": 2,
        "public": True,
    } | fields


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    **fields: Any,  # noqa: ANN401
) -> dict[str, Any]:
    """Returns a configuration with the service ``files``."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "files",
                "healthCheckPath": "/healthz",
                "maxConnections": 40,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 3,
                "coldPerS": 0,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    } | fields


Case = Callable[
    [Record, pathlib.Path, contextlib.AsyncExitStack], Awaitable[bool]
]


async def start_system(
    record: Record,
    folder: pathlib.Path,
    stack: contextlib.AsyncExitStack,
    targets: list[Target],
    first_configuration: dict[str, Any],
    gateway_count: int = 1,
) -> tuple[Store, list[Gateway]]:
    """Starts a store, searchers and gateways, and waits until all are ready.

    Args:
        record: Record of the case.
        folder: Folder for settings and logs.
        stack: Ends the gateways.
        targets: The searchers, not started yet.
        first_configuration: Configuration that is published first.
        gateway_count: Number of gateways.
    """
    store = Store(record)
    await store.start()
    store.publish_configuration(first_configuration)
    for target in targets:
        await target.start()
        store.put(f"servers/{target.id}", target.entry())
    gateways = [
        Gateway(f"g{number}", store, record, folder)
        for number in range(1, gateway_count + 1)
    ]
    seeds = [g.peers for g in gateways][:3]
    for gateway in gateways:
        gateway.seeds = seeds
        stack.push_async_callback(gateway.stop)
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    # The gateways are in touch after the stability window.
    await asyncio.sleep(STABILITY_WINDOW_S)
    return store, gateways


def run_case(case: Case, folder: pathlib.Path) -> None:
    """Runs a case, writes its record and exits with its status.

    Args:
        case: Returns whether the rule held. What it enters into the exit stack
            ends with it.
        folder: Folder of the case.
    """
    record = Record(folder / "record.txt")

    async def run() -> bool:
        with tempfile.TemporaryDirectory() as temporary:
            async with contextlib.AsyncExitStack() as stack:
                async with asyncio.timeout(CASE_TIMEOUT_S):
                    return await case(record, pathlib.Path(temporary), stack)

    async def run_and_exit() -> None:
        try:
            status = _EXIT_HELD if await run() else _EXIT_BROKEN
        except Exception as error:
            record.conclude(f"could not run: {type(error).__name__}: {error}")
            status = _EXIT_NOT_RUN
        record.add(f"exit status {status}, trouble {is_troubled()}")
        record.save()
        sys.stdout.flush()
        # The stand-ins' connections need no orderly end.
        os._exit(status)

    asyncio.run(run_and_exit())


def _fill_in(template: str, fields: dict[str, Any]) -> str:
    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for name in match[1].split("."):
            found = found[name]
        return json.dumps(found) if match[2] else str(found)

    return _PLACEHOLDER.sub(value, template)
