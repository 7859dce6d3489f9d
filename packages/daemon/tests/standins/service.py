"""A small stand-in for the configuration service and the host list.

It speaks the part of Consul's HTTP interface that the daemon reads, and can be
down or stale on request.
"""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any

import attrs
from tornado import httpserver
from tornado import web

from cassiahead_notes import api
from cassiahead_notes import codec
from cassiahead_notes import ledger

__all__ = ["Service"]

_POLL_S = 0.02


@attrs.define(eq=False)
class Service:
    """Published notes and hosts; tests change them, daemons only read."""

    index: int = 1
    entries: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    hosts: dict[str, str] = attrs.field(factory=dict)
    down: bool = False
    frozen: tuple[int, list[dict[str, Any]]] | None = None
    calls: int = 0
    _server: httpserver.HTTPServer | None = None
    _closing: bool = False

    def listen(self, port: int) -> None:
        """Serves on a loopback port."""
        routes = [
            (r"/v1/kv/(.+)", _KvHandler, {"service": self}),
            (r"/v1/health/service/(.+)", _HostsHandler, {"service": self}),
        ]
        self._server = httpserver.HTTPServer(web.Application(routes))
        self._server.listen(port, "127.0.0.1")

    async def close(self) -> None:
        """Stops listening and answers those that wait."""
        self._closing = True
        if self._server is not None:
            self._server.stop()
        await asyncio.sleep(2 * _POLL_S)

    async def publish(self, note: api.Note) -> ledger.NoteRecord:
        """Publishes a note under its number and digest."""
        self.index += 1
        digest = codec.digest(note)
        text = codec.encode(note)
        key = f"cassiahead/notes/{note.number:010}-{digest}"
        self.entries[key] = {
            "Key": key,
            "Value": base64.b64encode(text.encode()).decode(),
            "CreateIndex": self.index,
            "ModifyIndex": self.index,
        }
        return ledger.NoteRecord(self.index, digest, text)

    def freeze(self) -> None:
        """Answers with what is published now, whatever comes later."""
        self.frozen = (self.index, list(self.entries.values()))

    def thaw(self) -> None:
        """Answers with the newest state again."""
        self.frozen = None

    def read(self, prefix: str) -> tuple[int, list[dict[str, Any]]]:
        """Returns the index and the entries under a prefix."""
        index, entries = self.frozen or (
            self.index,
            list(self.entries.values()),
        )
        return index, [e for e in entries if e["Key"].startswith(prefix)]

    async def wait(self, index: int, seconds: float) -> None:
        """Waits until something newer than ``index`` is published."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while self.index <= index and not self.frozen and loop.time() < until:
            if self._closing:
                return
            await asyncio.sleep(_POLL_S)


class _KvHandler(web.RequestHandler):
    def initialize(self, service: Service) -> None:
        self._service = service

    async def get(self, key: str) -> None:
        self._service.calls += 1
        if self._service.down:
            self.send_error(500)
            return
        wait = self.get_query_argument("wait", "0s")
        index = int(self.get_query_argument("index", "0"))
        if index:
            await self._service.wait(index, float(wait.rstrip("s")))
        now, entries = self._service.read(key)
        self.set_header("X-Consul-Index", str(now))
        if not entries:
            self.set_status(404)
            return
        self.write(json.dumps(entries))


class _HostsHandler(web.RequestHandler):
    def initialize(self, service: Service) -> None:
        self._service = service

    async def get(self, _: str) -> None:
        self._service.calls += 1
        if self._service.down:
            self.send_error(500)
            return
        entries = []
        for address, role in self._service.hosts.items():
            host, _, port = address.rpartition(":")
            entries.append(
                {
                    "Service": {
                        "Address": host,
                        "Port": int(port),
                        "Tags": [role],
                    }
                }
            )
        self.write(json.dumps(entries))
