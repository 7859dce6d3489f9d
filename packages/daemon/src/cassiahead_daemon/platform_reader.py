"""Reads the configuration service and the list of hosts.

Both are met by the published HTTP interface of Consul: the key-value store
with blocking queries, and the health endpoint of a service. Nothing is ever
written there.
"""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any
import urllib.parse

import attrs

from cassiahead_daemon import node as node_lib
from cassiahead_notes import codec
from cassiahead_notes import errors
from cassiahead_notes import kv_records
from cassiahead_notes import ledger
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection as wire

__all__ = ["PlatformReader"]

_WATCH_WAIT_S = 1.0
_WATCH_TIMEOUT_S = 2.0
_RETRY_S = 0.3
_LIST_INTERVAL_S = 1.0


@attrs.define
class PlatformReader:
    """Watches the notes and polls the host list, each on one connection."""

    _node: node_lib.Node
    _index: int = 0
    _readable: bool = True
    _connections: dict[str, wire.Connection] = attrs.field(factory=dict)

    async def watch_notes(self) -> None:
        """Reads notes until cancelled."""
        await self._repeat(self._read_base_and_notes, 0.0)

    async def watch_hosts(self) -> None:
        """Reads the host list until cancelled."""
        await self._repeat(self._read_hosts, _LIST_INTERVAL_S)

    def close(self) -> None:
        """Closes the connections to the service."""
        for connection in self._connections.values():
            connection.close()

    async def _repeat(self, read: Any, interval: float) -> None:  # noqa: ANN401
        while True:
            try:
                await read()
                self._note_readable(True, "")
                await asyncio.sleep(interval)
            except (
                wire.TransportError,
                ValueError,
                KeyError,
                TypeError,
            ) as error:
                self._note_readable(False, str(error) or repr(error))
                await asyncio.sleep(_RETRY_S)

    def _note_readable(self, readable: bool, detail: str) -> None:
        if self._readable and not readable:
            events.log(events.Event.SERVICE_UNREADABLE, detail=detail)
        self._readable = readable

    async def _read_base_and_notes(self) -> None:
        if self._node.peering.note_log.revision == 0:
            await self._read_base()
        prefix = self._node.settings.notes_prefix
        started = clock.monotonic()
        index, plain = await self._get(
            "notes",
            f"/v1/kv/{prefix}/notes/",
            {
                "recurse": "true",
                "index": str(self._index),
                "wait": f"{_WATCH_WAIT_S:g}s",
            },
        )
        if index < self._index:
            events.log(
                events.Event.SERVICE_STALE, index=index, seen=self._index
            )
            await asyncio.sleep(_RETRY_S)
            return
        self._index = index
        verdicts = self._node.peering.note_log.ingest(
            kv_records.parse_records(plain)
        )
        self._node.report_verdicts(verdicts)
        self._node.peering.record_service_read(started)
        self._node.configuration()

    async def _read_base(self) -> None:
        prefix = self._node.settings.notes_prefix
        _, plain = await self._get("notes", f"/v1/kv/{prefix}/base", {})
        for entry in plain:
            text = base64.b64decode(entry["Value"])
            try:
                base = codec.decode(text, ledger.Ledger)
            except errors.NoteError as error:
                raise ValueError(f"malformed base: {error}") from error
            if self._node.peering.note_log.adopt_base(base):
                events.log(events.Event.BASE_TAKEN, number=base.number)

    async def _read_hosts(self) -> None:
        service = self._node.settings.peers_service
        _, plain = await self._get("hosts", f"/v1/health/service/{service}", {})
        roles = {}
        for entry in plain:
            host = entry["Service"]
            address = f"{host['Address']}:{host['Port']}"
            roles[address] = host["Tags"][0]
        self._node.peering.members.set_listed(roles)

    async def _get(
        self, use: str, path: str, query: dict[str, str]
    ) -> tuple[int, list[dict[str, Any]]]:
        connection = self._connections.get(use)
        if connection is None or not connection.is_usable:
            connection = await wire.Connection.open(
                self._node.settings.platform, _RETRY_S
            )
            self._connections[use] = connection
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            response = await connection.request(
                "GET", target, b"", _WATCH_TIMEOUT_S
            )
        except BaseException:
            connection.close()
            del self._connections[use]
            raise
        if response.status == 404:
            plain = []
        elif response.status == 200:
            plain = json.loads(response.body)
        else:
            raise ValueError(f"the service answered {response.status}")
        return int(response.headers.get("X-Consul-Index", "0")), plain
