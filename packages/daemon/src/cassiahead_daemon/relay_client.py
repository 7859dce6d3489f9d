"""Sends scatter messages to relays and receives their streamed answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_daemon import node as node_lib
from cassiahead_daemon import relay as relay_lib
from cassiahead_decisions import home_map as homes_lib
from cassiahead_decisions import target_state
from cassiahead_protocol import api
from cassiahead_protocol import codec
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection as wire

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterable

__all__ = ["Scatterer"]

_REPLY_MARGIN_S = 0.01


@attrs.define
class Scatterer:
    """Knows which relay owns which target, and talks to it."""

    _node: node_lib.Node
    _owners: homes_lib.HomeMap = attrs.field(
        factory=lambda: homes_lib.HomeMap({})
    )
    _basis: object = None

    def owner(self, target: str) -> str | None:
        """Returns the relay believed to own a target, if there is one."""
        configuration = self._node.configuration()
        relays = self._node.peering.members.alive_processes(
            "relay", clock.monotonic()
        )
        basis = (
            self._node.peering.note_log.configuration_serial,
            tuple(p.address for p in relays),
        )
        if basis != self._basis:
            self._owners = homes_lib.HomeMap.for_relays(configuration, relays)
            self._basis = basis
        return self._owners.home_of(target_state.target_resource(target))

    def reachable(
        self, candidates: Iterable[str], patience: float
    ) -> dict[str, str]:
        """Finds the relays of some targets.

        Args:
            candidates: Names of the targets.
            patience: Seconds within which a relay that was asked is expected
                to be heard of.

        Returns:
            Relay by target. Targets without an owner are left out, and those
            of quiet relays as long as there are others.
        """
        owned = {t: relay for t in candidates if (relay := self.owner(t))}
        watch = self._node.relay_monitor
        relays = set(owned.values())
        for relay in watch.find_newly_quiet(
            relays, patience, clock.monotonic()
        ):
            events.log(
                events.Event.RELAY_QUIET,
                relay=relay,
                patience=round(patience, 3),
            )
        kept = {t: r for t, r in owned.items() if not watch.is_quiet(r)}
        return kept or owned

    async def send(
        self,
        relay: str,
        request: api.ScatterRequest,
        answers: asyncio.Queue[api.SubAnswer],
    ) -> None:
        """Sends one message and queues an answer for each of its items.

        Args:
            relay: Address of the relay.
            request: The message.
            answers: Receives the answers as they come; items without one
                get a failure.
        """
        waiting = {(item.shard, item.target): item for item in request.items}
        buffer = bytearray()

        def on_data(chunk: bytes) -> None:
            self._node.hear(relay)
            buffer.extend(chunk)
            *lines, rest = buffer.split(b"\n")
            buffer[:] = rest
            for line in lines:
                answer = codec.decode(bytes(line), api.SubAnswer)
                if waiting.pop((answer.shard, answer.target), None):
                    answers.put_nowait(answer)

        self._node.relay_monitor.record_request(relay, clock.monotonic())
        sent = True
        try:
            response = await self._node.pool(relay).post(
                relay_lib.SCATTER_PATH,
                codec.encode(request),
                request.remaining + _REPLY_MARGIN_S,
                on_data,
            )
            sent = response.status == 200
        except wire.TransportError as error:
            sent = error.maybe_sent
            if error.kind is not wire.FailureKind.TIMEOUT:
                self._node.peering.members.suspect(relay)
                events.log(
                    events.Event.PEER_SUSPECTED,
                    peer=relay,
                    use="scatter",
                    fault=error.kind,
                )
        outcome = api.Outcome.UNKNOWN if sent else api.Outcome.NOT_RUN
        for item in waiting.values():
            answers.put_nowait(
                api.SubAnswer(
                    item.shard, item.target, api.SubStatus.FAILED, outcome
                )
            )
