"""Reads release notes and the list of daemons from the platform.

The platform is read over the HTTP interface of Consul: the notes in the
key-value store, with blocking queries, and the list of daemons at the health
endpoint of a service. Nothing is written there.
"""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any
import urllib.parse

import attrs

from cassiahead_daemon import daemon_state as daemon_state_lib
from cassiahead_notes import codec
from cassiahead_notes import errors
from cassiahead_notes import kv_records
from cassiahead_notes import ledger
from cassiahead_telemetry import events
from cassiahead_wire import addresses
from cassiahead_wire import clock
from cassiahead_wire import connection as connection_lib

__all__ = ["PlatformReader"]

_BLOCKING_QUERY_WAIT_S = 1.0
_REQUEST_TIMEOUT_S = 2.0
# Pause after a failed or stale read; also the timeout for opening a connection.
_RETRY_INTERVAL_S = 0.3
_DAEMON_LIST_INTERVAL_S = 1.0


@attrs.define
class PlatformReader:
    """Watches the release notes and polls the list of daemons.

    The notes and the list are read over separate connections.
    """

    _daemon_state: daemon_state_lib.DaemonState
    _last_read_index: int = 0
    _was_readable: bool = True
    _unusable_daemon_count: int = 0
    _connections: dict[str, connection_lib.Connection] = attrs.field(
        factory=dict
    )

    async def watch_notes(self) -> None:
        """Reads new release notes until cancelled."""
        await self._poll(self._read_base_ledger_and_notes, 0.0)

    async def poll_daemon_list(self) -> None:
        """Reads the list of daemons at intervals until cancelled."""
        await self._poll(self._read_daemon_list, _DAEMON_LIST_INTERVAL_S)

    def close(self) -> None:
        """Closes the connections to the configuration service."""
        for connection in self._connections.values():
            connection.close()

    async def _poll(self, read: Any, interval_s: float) -> None:  # noqa: ANN401
        while True:
            try:
                await read()
                self._record_readability(True, "")
                await asyncio.sleep(interval_s)
            # The reading goes on, whatever the service sends.
            except Exception as error:
                self._record_readability(
                    False, f"{type(error).__name__}: {error}"
                )
                await asyncio.sleep(_RETRY_INTERVAL_S)

    def _record_readability(self, is_readable: bool, detail: str) -> None:
        if self._was_readable and not is_readable:
            events.log(events.Event.SERVICE_UNREADABLE, detail=detail)
        self._was_readable = is_readable

    async def _read_base_ledger_and_notes(self) -> None:
        if self._daemon_state.peering.note_log.revision == 0:
            await self._read_base_ledger()
        prefix = self._daemon_state.settings.notes_prefix
        started_at = clock.monotonic()
        index, items = await self._get(
            "notes",
            f"/v1/kv/{prefix}/notes/",
            {
                "recurse": "true",
                "index": str(self._last_read_index),
                "wait": f"{_BLOCKING_QUERY_WAIT_S:g}s",
            },
        )
        if index < self._last_read_index:
            events.log(
                events.Event.SERVICE_STALE,
                index=index,
                seen=self._last_read_index,
            )
            await asyncio.sleep(_RETRY_INTERVAL_S)
            return
        self._last_read_index = index
        verdicts = self._daemon_state.peering.note_log.apply_records(
            kv_records.parse_records(items)
        )
        self._daemon_state.log_verdicts(verdicts)
        self._daemon_state.peering.record_service_read(started_at)
        # Applies a configuration that has newly come into force.
        self._daemon_state.configuration()

    async def _read_base_ledger(self) -> None:
        prefix = self._daemon_state.settings.notes_prefix
        _, items = await self._get("notes", f"/v1/kv/{prefix}/base", {})
        for item in items:
            encoded_base = base64.b64decode(item["Value"])
            try:
                base = codec.decode(encoded_base, ledger.Ledger)
            except errors.NoteError as error:
                raise ValueError(f"malformed base ledger: {error}") from error
            if self._daemon_state.peering.note_log.adopt_base(base):
                events.log(events.Event.BASE_TAKEN, number=base.number)

    async def _read_daemon_list(self) -> None:
        service_name = self._daemon_state.settings.peers_service
        index, items = await self._get(
            "daemons", f"/v1/health/service/{service_name}", {}
        )
        role_by_address = {}
        unusable_count = 0
        for item in items:
            try:
                address, role = _parse_daemon(item)
            except (ValueError, LookupError, TypeError):
                unusable_count += 1
            else:
                role_by_address[address] = role
        if unusable_count != self._unusable_daemon_count:
            self._unusable_daemon_count = unusable_count
            events.log(
                events.Event.RECORD_UNUSABLE,
                key=service_name,
                revision=index,
                reason=f"{unusable_count} daemons without address or role",
            )
        self._daemon_state.peering.members.set_host_list(role_by_address)

    async def _get(
        self, purpose: str, path: str, query: dict[str, str]
    ) -> tuple[int, list[dict[str, Any]]]:
        """Reads a JSON list from the configuration service.

        Args:
            purpose: ``notes`` or ``daemons``; each has its own connection.
            path: Path of the resource.
            query: Query parameters of the URL.

        Returns:
            The index of the resource, which grows with each change and is 0 if
            the service sends none, and the list, which is empty if the
            resource does not exist.

        Raises:
            connection_lib.TransportError: If no complete answer arrives in
                time.
            ValueError: If the answer is an error or is no JSON list.
            RecursionError: If the answer is too deeply nested.
        """
        connection = self._connections.get(purpose)
        if connection is None or not connection.is_usable:
            connection = await connection_lib.Connection.open(
                self._daemon_state.settings.platform, _RETRY_INTERVAL_S
            )
            self._connections[purpose] = connection
        path_with_query = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            response = await connection.request(
                "GET", path_with_query, b"", _REQUEST_TIMEOUT_S
            )
        except BaseException:
            connection.close()
            del self._connections[purpose]
            raise
        if response.status == 404:
            items = []
        elif response.status == 200:
            items = json.loads(response.body)
        else:
            raise ValueError(
                f"the configuration service answered status {response.status}"
            )
        if not isinstance(items, list):
            raise ValueError("the configuration service sent no list")
        return int(response.headers.get("X-Consul-Index", "0")), items


def _parse_daemon(item: dict[str, Any]) -> tuple[str, str]:
    """Returns the address and the role of a daemon in the list.

    Raises:
        ValueError: If the address is not an IP address with a port.
        LookupError: If a field is missing.
        TypeError: If a field has another type.
    """
    service_instance = item["Service"]
    address = f"{service_instance['Address']}:{service_instance['Port']}"
    addresses.split_address(address)
    role = service_instance["Tags"][0]
    if not isinstance(role, str):
        raise TypeError("the role is not a string")
    return address, role
