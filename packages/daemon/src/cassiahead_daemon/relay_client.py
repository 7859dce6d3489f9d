"""Sends scatter messages to relays and receives their streamed answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_daemon import daemon_state as daemon_state_lib
from cassiahead_daemon import relay as relay_lib
from cassiahead_decisions import home_map
from cassiahead_decisions import target_state
from cassiahead_protocol import api
from cassiahead_protocol import codec
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection as connection_lib

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterable

__all__ = ["RelayClient"]

# Added to the time that a relay has to answer, for the transfer of an answer
# that the relay sends at its deadline.
_TRANSFER_MARGIN_S = 0.01


@attrs.define
class RelayClient:
    """Finds the relays that own targets and sends them sub-requests."""

    _daemon_state: daemon_state_lib.DaemonState
    _owner_map: home_map.HomeMap = attrs.field(
        factory=lambda: home_map.HomeMap({})
    )
    _owner_map_version: object = None

    def owner_address(self, target: str) -> str | None:
        """Returns the address of the relay that owns a target.

        The owner is derived from this entry's view of the live relays.

        Args:
            target: Name of the target.

        Returns:
            The address; None if no relay is known to be alive, or the target
            is not configured.
        """
        configuration = self._daemon_state.configuration()
        relays = self._daemon_state.peering.members.alive_processes(
            "relay", clock.monotonic()
        )
        owner_map_version = (
            self._daemon_state.peering.note_log.configuration_serial,
            tuple(p.address for p in relays),
        )
        if owner_map_version != self._owner_map_version:
            self._owner_map = home_map.HomeMap.for_relays(configuration, relays)
            self._owner_map_version = owner_map_version
        return self._owner_map.home_of(target_state.target_resource(target))

    def find_relays(
        self, candidates: Iterable[str], response_timeout_s: float
    ) -> dict[str, str]:
        """Finds the relays that own some targets.

        Args:
            candidates: Names of the targets.
            response_timeout_s: Seconds within which a relay must send some
                message after a request; otherwise the relay counts as
                unresponsive.

        Returns:
            Address of the owning relay by name of the target. Targets without
            an owner are left out, and so are targets of unresponsive relays,
            unless all the relays found are unresponsive.
        """
        relay_address_by_target = {
            t: relay_address
            for t in candidates
            if (relay_address := self.owner_address(t))
        }
        monitor = self._daemon_state.relay_monitor
        relay_addresses = set(relay_address_by_target.values())
        for relay_address in monitor.find_newly_unresponsive(
            relay_addresses, response_timeout_s, clock.monotonic()
        ):
            events.log(
                events.Event.RELAY_QUIET,
                relay=relay_address,
                patience=round(response_timeout_s, 3),
            )
        responsive_relay_address_by_target = {
            t: address
            for t, address in relay_address_by_target.items()
            if not monitor.is_unresponsive(address)
        }
        return responsive_relay_address_by_target or relay_address_by_target

    async def send(
        self,
        relay_address: str,
        request: api.ScatterRequest,
        answers: asyncio.Queue[api.SubAnswer],
    ) -> None:
        """Sends one message and queues an answer for each sub-request in it.

        Args:
            relay_address: Address of the relay.
            request: The message.
            answers: Receives the answers as they arrive, and at the end a
                failure for each sub-request that the relay has not answered;
                its outcome is ``NOT_RUN`` if the message was certainly not
                sent or the relay refused it.
        """
        unanswered_sub_requests = {
            (s.shard, s.target): s for s in request.items
        }
        buffer = bytearray()

        def on_data(chunk: bytes) -> None:
            self._daemon_state.record_peer_response(relay_address)
            buffer.extend(chunk)
            *lines, partial_line = buffer.split(b"\n")
            buffer[:] = partial_line
            for line in lines:
                answer = codec.decode(bytes(line), api.SubAnswer)
                if unanswered_sub_requests.pop(
                    (answer.shard, answer.target), None
                ):
                    answers.put_nowait(answer)

        self._daemon_state.relay_monitor.record_request(
            relay_address, clock.monotonic()
        )
        may_have_been_sent = True
        try:
            response = await self._daemon_state.connection_pool(
                relay_address
            ).post(
                relay_lib.SCATTER_PATH,
                codec.encode(request),
                request.remaining + _TRANSFER_MARGIN_S,
                on_data,
            )
            may_have_been_sent = response.status == 200
        except connection_lib.TransportError as error:
            may_have_been_sent = error.may_have_been_sent
            if error.kind is not connection_lib.FailureKind.TIMEOUT:
                self._daemon_state.peering.members.suspect(relay_address)
                events.log(
                    events.Event.PEER_SUSPECTED,
                    peer=relay_address,
                    use="scatter",
                    fault=error.kind,
                )
        outcome = (
            api.Outcome.UNKNOWN if may_have_been_sent else api.Outcome.NOT_RUN
        )
        for sub_request in unanswered_sub_requests.values():
            answers.put_nowait(
                api.SubAnswer(
                    sub_request.shard,
                    sub_request.target,
                    api.SubStatus.FAILED,
                    outcome,
                )
            )
