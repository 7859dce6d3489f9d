"""A stand-in for the configuration service and the list of daemons.

The stand-in serves the part of Consul's HTTP interface that daemons read. Tests
can make it answer with errors or with a stale state.
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

__all__ = ["ConfigurationServiceStandin"]

_POLL_INTERVAL_S = 0.02


@attrs.define(eq=False)
class ConfigurationServiceStandin:
    """Release notes and the daemon list that a test sets and daemons read.

    Attributes:
        index: Number of the last change, sent as ``X-Consul-Index``.
        kv_items: Each note as an item of Consul's key-value store, by key.
        role_by_address: Role of each daemon, by the address of its server for
            other daemons.
        is_down: Whether each request is answered with status 500.
        frozen_state: Index and items of the state that is served instead of
            the current one; None to serve the current one.
        request_count: Number of requests received.
    """

    index: int = 1
    kv_items: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    role_by_address: dict[str, str] = attrs.field(factory=dict)
    is_down: bool = False
    frozen_state: tuple[int, list[dict[str, Any]]] | None = None
    request_count: int = 0
    _server: httpserver.HTTPServer | None = None
    _is_closing: bool = False

    def listen(self, port: int) -> None:
        """Serves on a loopback port."""
        routes = [
            (r"/v1/kv/(.+)", _KvHandler, {"service": self}),
            (r"/v1/health/service/(.+)", _DaemonListHandler, {"service": self}),
        ]
        self._server = httpserver.HTTPServer(web.Application(routes))
        self._server.listen(port, "127.0.0.1")

    async def close(self) -> None:
        """Stops listening and gives pending requests time to be answered."""
        self._is_closing = True
        if self._server is not None:
            self._server.stop()
        await asyncio.sleep(2 * _POLL_INTERVAL_S)

    async def publish(self, note: api.Note) -> ledger.NoteRecord:
        """Publishes a note under a key made of its number and digest.

        Returns:
            The record that daemons make of the note.
        """
        self.index += 1
        digest = codec.digest(note)
        text = codec.encode(note)
        key = f"cassiahead/notes/{note.number:010}-{digest}"
        self.kv_items[key] = {
            "Key": key,
            "Value": base64.b64encode(text.encode()).decode(),
            "CreateIndex": self.index,
            "ModifyIndex": self.index,
        }
        return ledger.NoteRecord(self.index, digest, text)

    def freeze(self) -> None:
        """Serves the current state, without later changes, until unfrozen."""
        self.frozen_state = (self.index, list(self.kv_items.values()))

    def unfreeze(self) -> None:
        """Serves the newest state again."""
        self.frozen_state = None

    def read_prefix(self, prefix: str) -> tuple[int, list[dict[str, Any]]]:
        """Returns the index and the items whose keys begin with a prefix."""
        index, kv_items = self.frozen_state or (
            self.index,
            list(self.kv_items.values()),
        )
        return index, [i for i in kv_items if i["Key"].startswith(prefix)]

    async def wait_for_change(self, index: int, timeout_s: float) -> None:
        """Waits up to ``timeout_s`` seconds until the index exceeds ``index``.

        Does not wait while the state is frozen or the stand-in is closing.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while (
            self.index <= index
            and not self.frozen_state
            and loop.time() < deadline
        ):
            if self._is_closing:
                return
            await asyncio.sleep(_POLL_INTERVAL_S)


class _KvHandler(web.RequestHandler):
    def initialize(self, service: ConfigurationServiceStandin) -> None:
        self._service = service

    async def get(self, prefix: str) -> None:
        self._service.request_count += 1
        if self._service.is_down:
            self.send_error(500)
            return
        wait_text = self.get_query_argument("wait", "0s")
        index = int(self.get_query_argument("index", "0"))
        if index:
            await self._service.wait_for_change(
                index, float(wait_text.rstrip("s"))
            )
        current_index, kv_items = self._service.read_prefix(prefix)
        self.set_header("X-Consul-Index", str(current_index))
        if not kv_items:
            self.set_status(404)
            return
        self.write(json.dumps(kv_items))


class _DaemonListHandler(web.RequestHandler):
    def initialize(self, service: ConfigurationServiceStandin) -> None:
        self._service = service

    async def get(self, _: str) -> None:
        self._service.request_count += 1
        if self._service.is_down:
            self.send_error(500)
            return
        services = []
        for address, role in self._service.role_by_address.items():
            host, _, port = address.rpartition(":")
            services.append(
                {
                    "Service": {
                        "Address": host,
                        "Port": int(port),
                        "Tags": [role],
                    }
                }
            )
        self.write(json.dumps(services))
