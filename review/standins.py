"""Stand-ins for the platform, searchers and clients of a small deployment.

Each stand-in follows the users' pages: the platform's store with its range and
watch calls, searchers with slots, receipts and status checks, and clients that
send one request after the other over kept connections. Gateways are started as
processes with the command and the settings template of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import tempfile
import time
import tomllib
from typing import TYPE_CHECKING
from typing import Any
from urllib import parse

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
_HISTORY_S = 20.0
# Longer values are cut off in the record.
_SHOWN_CHARACTERS = 1500
_STARTED_AT = time.monotonic()


def elapsed_s() -> float:
    """Returns the seconds since the script started."""
    return time.monotonic() - _STARTED_AT


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Starts an empty record in a case's folder."""
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, line: str) -> None:
        """Adds a line with the time since the start."""
        self._file.write(f"{elapsed_s():8.3f} {line}\n")
        self._file.flush()


def free_port(ip: str) -> int:
    """Returns a port of a loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


class Message:
    """An HTTP request or response.

    ``start`` is the first line; header names are in lower case.
    """

    def __init__(
        self, start: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Creates a complete message."""
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split()[1])


async def read_message(
    reader: asyncio.StreamReader, until_close: bool = False
) -> Message | None:
    """Reads an HTTP message; returns None if the connection has ended.

    Args:
        reader: Where to read.
        until_close: Whether a body without a length ends with the connection.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, separator, value = line.partition(":")
            if separator:
                headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        elif until_close and "content-length" not in headers:
            body = await reader.read()
        else:
            length = int(headers.get("content-length", "0"))
            body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Message(lines[0], headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]


def response_bytes(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Server:
    """A TCP server that can be stopped at once, as by a kill."""

    def __init__(
        self,
        handle: Callable[
            [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
        ],
        ip: str = "127.0.0.1",
    ) -> None:
        """Creates a server that doesn't listen yet."""
        self._handle = handle
        self._ip = ip
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Address as ``IP:port``."""
        return f"{self._ip}:{self.port}"

    async def start(self) -> None:
        """Listens; after a stop, on the same port again."""
        self._server = await asyncio.start_server(
            self._serve, self._ip, self.port, backlog=256
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def kill(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._handle(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store."""

    def __init__(self, record: Record) -> None:
        """Creates an empty store."""
        self._record = record
        self._revision = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._event_times: list[float] = []
        self._history_begins_after = 0
        self._changed = asyncio.Event()
        self.is_silent = False
        self.server = Server(self._handle)

    def put(self, key: str, value: object) -> None:
        """Writes an item and acknowledges it to its writer."""
        self._revision += 1
        text = json.dumps(value)
        item = {
            "key": key,
            "value": base64.b64encode(text.encode()).decode(),
            "revision": self._revision,
            "created": self._revision,
            "lease": 0,
        }
        self._items[key] = item
        self._publish(item)
        self._record.write(
            f"store acknowledges {key} {text[:_SHOWN_CHARACTERS]}"
        )

    def delete(self, key: str) -> None:
        """Deletes an item."""
        self._revision += 1
        del self._items[key]
        self._publish({"key": key, "revision": self._revision, "deleted": True})
        self._record.write(f"store deletes {key}")

    def _publish(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._event_times.append(time.monotonic())
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while request := await read_message(reader):
            url = parse.urlsplit(request.start.split()[1])
            query = {k: v[0] for k, v in parse.parse_qs(url.query).items()}
            if url.path == "/-/kv-range":
                document = self._range(query)
            elif url.path == "/-/kv-watch":
                self._drop_history()
                if int(query["after"]) < self._history_begins_after:
                    writer.write(response_bytes(410, {}))
                    continue
                document = await self._watch(query)
            else:
                writer.write(response_bytes(404, {}))
                continue
            if self.is_silent:
                await asyncio.Event().wait()
            body = json.dumps(document).encode()
            headers = {"Content-Type": "application/json"}
            writer.write(response_bytes(200, headers, body))

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            k for k in self._items if k.startswith(prefix) and k > after
        )
        return {
            "items": [self._items[k] for k in keys[:500]],
            "hasMore": len(keys) > 500,
            "at": self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        after = int(query["after"])
        wait_s = int(query.get("waitMs", "0")) / 1000
        changed = self._changed
        if not self._events_after(after):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await changed.wait()
        return {"events": self._events_after(after), "at": self._revision}

    def _drop_history(self) -> None:
        """Drops the changes that are older than ``historyS``."""
        begins_at = time.monotonic() - _HISTORY_S
        while self._event_times and self._event_times[0] < begins_at:
            del self._event_times[0]
            event = self._events.pop(0)
            self._history_begins_after = event["revision"]

    def _events_after(self, revision: int) -> list[dict[str, Any]]:
        return [e for e in self._events if e["revision"] > revision]


class Searcher:
    """A searcher: answers requests, and writes its entry to the store."""

    def __init__(
        self,
        record: Record,
        store: Store,
        searcher_id: str,
        service: str,
        *,
        zone: str = "z1",
        slots: int = 2,
        work_s: float = 0.03,
    ) -> None:
        """Creates a searcher that isn't started yet."""
        self._record = record
        self._store = store
        self.id = searcher_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.cold_until = 0.0
        self.born_ms = 0
        self.sequence = 0
        self.ran: list[tuple[float, str]] = []
        self.is_cold_at_arrival: list[tuple[float, bool]] = []
        self.on_cold_arrival: Callable[[], None] | None = None
        self._free_slots = asyncio.Semaphore(slots)
        self.server = Server(self._handle)

    async def start(self) -> None:
        """Starts a new lifetime under the same id."""
        self.born_ms = int(time.time() * 1000)
        self._free_slots = asyncio.Semaphore(self.slots)
        await self.server.start()
        self._record.write(f"searcher {self.id} starts")
        self.write_entry()

    def kill(self) -> None:
        """Ends the lifetime at once."""
        self._record.write(f"searcher {self.id} is killed")
        self.server.kill()

    @property
    def cold_remaining_ms(self) -> int:
        """Milliseconds for which the searcher stays cold."""
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def entry(self) -> dict[str, Any]:
        """Returns the searcher's entry."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": self.cold_remaining_ms,
            "sequence": self.sequence,
            "born": self.born_ms,
        }

    def write_entry(self) -> None:
        """Writes the entry, if the store is up."""
        if not self._store.is_silent:
            self._store.put(f"servers/{self.id}", self.entry())

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while request := await read_message(reader):
            await self._answer(request, writer)

    async def _answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        path = request.start.split()[1]
        if path == "/healthz":
            headers = {"Instance-Id": self.id}
            if self.cold_remaining_ms:
                headers["Cold-Ms"] = str(self.cold_remaining_ms)
            self._record.write(f"status check of {self.id}: {headers}")
            writer.write(response_bytes(200, headers))
            return
        request_id = request.headers.get("request-id", "")
        echo = {"Request-Id": request_id}
        if request.headers.get("expected-instance", self.id) != self.id:
            writer.write(response_bytes(421, echo | {"Not-Executed": "1"}))
            return
        self._record.write(
            f"arrives at {self.id} ({self.service}, "
            f"cold {self.cold_remaining_ms} ms): {request_id} "
            f"{request.start} tenant {request.headers.get('tenant-id')}"
        )
        now = time.monotonic()
        self.is_cold_at_arrival.append((now, self.cold_remaining_ms > 0))
        if self.cold_remaining_ms and self.on_cold_arrival is not None:
            self.on_cold_arrival()
        async with self._free_slots:
            self.ran.append((time.monotonic(), request_id))
            self._record.write(f"runs at {self.id}: {request_id}")
            await asyncio.sleep(self.work_s)
        stamp = f"{self.id}.{request_id}"
        body = f"{self.service} served {request_id}\n".encode()
        writer.write(response_bytes(200, echo | {"Server-Stamp": stamp}, body))


class Answer:
    """What a client got: a status, or None if the connection ended."""

    def __init__(self, request_id: str, message: Message | None) -> None:
        """Creates the result of one request."""
        self.request_id = request_id
        self.message = message

    @property
    def status(self) -> int | None:
        """Status; None if there was no complete answer."""
        return self.message.status if self.message else None


class Client:
    """Sends requests one after the other over a kept connection."""

    def __init__(self, record: Record, address: str, name: str) -> None:
        """Creates a client that isn't connected yet."""
        self._record = record
        self._address = address
        self.name = name
        self._count = 0
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def send(
        self,
        host: str,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 2000,
    ) -> Answer:
        """Sends a request and waits for its answer."""
        self._count += 1
        request_id = f"{self.name}-{self._count}"
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n"
            f"Authorization: Bearer key-a\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._record.write(
            f"sent to {self._address}: {request_id} {method} {host}{path}"
        )
        message = None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                reader, writer = await self._connect()
                writer.write(head.encode("latin-1") + body)
                message = await read_message(reader)
        except (OSError, TimeoutError):
            pass
        is_last = message is None or (
            message.headers.get("connection", "").lower() == "close"
        )
        if is_last:
            self.close()
        answer = Answer(request_id, message)
        text = message.body[:80] if message else b""
        self._record.write(f"answered: {request_id} {answer.status} {text!r}")
        return answer

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is None:
            ip, port = self._address.split(":")
            self._streams = await asyncio.open_connection(ip, int(port))
        return self._streams


class Gateway:
    """A gateway process, started as the deploy file says."""

    def __init__(
        self, record: Record, store: Store, number: int, folder: pathlib.Path
    ) -> None:
        """Chooses the ports of a gateway that isn't started yet."""
        self._record = record
        self._folder = folder
        # The metrics port is the same for all gateways, so each has an address
        # of its own, also beside other scripts.
        script, block = os.getpid() % 250 + 1, os.getpid() // 250 % 250 + 1
        self._ip = f"127.{block}.{script}.{10 + number}"
        self.name = f"front-{number}"
        self.callers = f"{self._ip}:{free_port(self._ip)}"
        self.readiness = f"{self._ip}:{free_port(self._ip)}"
        self.control = f"{self._ip}:{free_port(self._ip)}"
        self._store_address = store.server.address
        self.seeds: list[str] = []
        self.process: asyncio.subprocess.Process | None = None

    def _fields(self) -> dict[str, Any]:
        return {
            "nodeName": self.name,
            "ip": self._ip,
            "zone": "z1",
            "zones": {"z1": "r1", "z2": "r1"},
            "listenAddrs": {
                "front": self.callers,
                "ready": self.readiness,
                "control": self.control,
            },
            "seeds": self.seeds,
            "bounds": {
                "graceS": 6,
                "retryBudgetRatio": 0.2,
                "retryBudgetSlack": 54,
                "coldOverage": 1.5,
                "coldSlack": 5,
                "quotaOverage": 0.25,
                "quotaSlack": 20,
            },
            "platform": {"address": self._store_address},
        }

    def _write_settings(self, template: pathlib.Path) -> pathlib.Path:
        fields = self._fields()

        def fill(match: re.Match[str]) -> str:
            value: Any = fields
            for name in match[1].split("."):
                # The platform fills in null for what a deployment lacks.
                value = None if value is None else value.get(name)
            return json.dumps(value) if match[2] else str(value)

        text = template.read_text(encoding="utf-8")
        text = re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text)
        path = self._folder / f"{self.name}.json"
        path.write_text(text, encoding="utf-8")
        return path

    async def start(self) -> None:
        """Starts the process; doesn't wait until it is ready."""
        deploy = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        )
        role = deploy["roles"]["gateway"]
        settings = self._write_settings(ROOT / role["template"])
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CASSIAHEAD_CONFIG"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.write(f"{self.name} starts, pid {self.process.pid}")

    def signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self._record.write(f"{signal_number.name} to {self.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal_number)

    async def is_ready(self) -> bool:
        """Asks the readiness address, as the platform does."""
        ip, port = self.readiness.split(":")
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                message = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return message is not None and message.status == 200

    async def is_reading(self) -> bool:
        """Returns whether the process reads the store, by its metrics."""
        reader, writer = await asyncio.open_connection(self._ip, 9464)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        message = await read_message(reader)
        writer.close()
        assert message is not None
        pattern = rb"^cassiahead_reading(\{.*\})? 1\.0$"
        return re.search(pattern, message.body, re.MULTILINE) is not None

    async def wait_ready(self) -> None:
        """Waits until the process says that it is ready.

        Raises:
            TimeoutError: If it doesn't in 20 s.
        """
        async with asyncio.timeout(20):
            while not await self.is_ready():
                await asyncio.sleep(0.05)
        self._record.write(f"{self.name} is ready")

    async def end(self) -> None:
        """Ends the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[str],
    cold_per_s: float = 0.0,
) -> dict[str, Any]:
    """Returns a configuration with one tenant, whose key is ``key-a``."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthCheckPath": "/healthz",
                "maxConnections": 100,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 3.0,
                "coldPerS": cold_per_s,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": "acme",
                "apiKeys": ["key-a"],
                "priority": 1,
                "ratePerS": 0,
                "burst": 0,
            }
        ],
    }


def route(
    host: str, prefix: str, service: str, **changes: object
) -> dict[str, Any]:
    """Returns a route of type ``safe`` to one service."""
    return {
        "name": f"r-{service}",
        "host": host,
        "prefix": prefix,
        "routeType": "safe",
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        "public": False,
    } | changes


def run(
    folder: pathlib.Path,
    case: Callable[[Record, pathlib.Path], Awaitable[bool]],
) -> int:
    """Runs a case and returns the exit status of its script.

    Args:
        folder: Folder of the case, for ``record.txt``.
        case: Returns whether the rule was broken.
    """
    # A gateway would inherit an ignored SIGHUP, for instance from nohup. The
    # platform starts it with the default action.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    record = Record(folder)
    record.write(f"trouble: {TROUBLE}")

    async def main() -> bool:
        with tempfile.TemporaryDirectory() as temporary_folder:
            async with asyncio.timeout(110):
                return await case(record, pathlib.Path(temporary_folder))

    try:
        is_broken = asyncio.run(main())
    except Exception as error:
        record.write(f"the case couldn't run: {type(error).__name__}: {error}")
        return COULD_NOT_RUN
    record.write("the rule was broken" if is_broken else "the rule held")
    return BROKEN if is_broken else HELD
