"""Chooses targets for the attempts of one search and sends them to relays."""

from __future__ import annotations

import asyncio
import collections
import enum

import attrs

from cassiahead_daemon import daemon_state as daemon_state_lib
from cassiahead_daemon import relay_client as relay_client_lib
from cassiahead_daemon import request_context
from cassiahead_daemon import search_state as search_state_lib
from cassiahead_daemon import shard_progress
from cassiahead_decisions import replicas
from cassiahead_protocol import api
from cassiahead_telemetry import events
from cassiahead_wire import clock

__all__ = ["MERGE_MARGIN_S", "Attempt", "AttemptKind", "AttemptSender"]

# Reserved before the caller's deadline for merging and sending the answer.
MERGE_MARGIN_S = 0.004


class AttemptKind(enum.StrEnum):
    """Why an attempt is made; the values are metric labels."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


_EVENT_BY_KIND = {
    AttemptKind.FIRST: events.Event.ROUTED,
    AttemptKind.HEDGE: events.Event.HEDGED,
    AttemptKind.RETRY: events.Event.RETRIED,
}


@attrs.frozen
class Attempt:
    """An attempt to be sent.

    Attributes:
        progress: Progress of the shard to ask.
        kind: Why the attempt is made.
    """

    progress: shard_progress.ShardProgress
    kind: AttemptKind


@attrs.define
class AttemptSender:
    """Sends the attempts of one search or lookup.

    Attributes:
        wanted_version: Index version to ask for; None for any.
        answers: Receives the answers to all attempts.
    """

    _daemon_state: daemon_state_lib.DaemonState
    _relay_client: relay_client_lib.RelayClient
    _search_state: search_state_lib.SearchState
    _context: request_context.RequestContext
    wanted_version: int | None
    answers: asyncio.Queue[api.SubAnswer] = attrs.field(factory=asyncio.Queue)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def send(self, attempts: list[Attempt]) -> None:
        """Sends attempts, in one message to each relay.

        An attempt for which no relay is known is left out.
        """
        sub_requests_by_address: dict[str, list[api.SubRequest]] = (
            collections.defaultdict(list)
        )
        kind_by_shard: dict[str, AttemptKind] = {}
        for attempt in attempts:
            assignment = self._assign_target(attempt.progress)
            if assignment is None:
                continue
            target, relay_address = assignment
            sub_requests_by_address[relay_address].append(
                api.SubRequest(attempt.progress.shard, target)
            )
            kind_by_shard[attempt.progress.shard] = attempt.kind
        for relay_address, sub_requests in sub_requests_by_address.items():
            self._send_message(
                relay_address, tuple(sub_requests), kind_by_shard
            )

    def cancel(self) -> None:
        """Cancels the attempts in flight.

        Cancelling an attempt closes the connection to the relay, which then
        cancels its sub-requests at the targets.
        """
        for task in self._tasks:
            task.cancel()

    def untried_targets(
        self, progress: shard_progress.ShardProgress
    ) -> list[str]:
        """Returns the targets that may be asked and have not been tried.

        Args:
            progress: Progress of the shard to ask.
        """
        return [
            t
            for t in self._candidate_targets(progress)
            if t not in progress.tried_targets
        ]

    def _candidate_targets(
        self, progress: shard_progress.ShardProgress
    ) -> list[str]:
        """Returns the usable targets that may hold the wanted version.

        If none may hold it, all usable targets are returned.
        """
        usable_targets = self._usable_targets(progress)
        holding_targets = [
            target
            for target in usable_targets
            if self._search_state.version_tracker.may_hold(
                target, self.wanted_version, clock.monotonic()
            )
        ]
        return holding_targets or usable_targets

    def _usable_targets(
        self, progress: shard_progress.ShardProgress
    ) -> list[str]:
        return replicas.usable_replicas(
            self._context.configuration, self._context.layout, progress.shard
        )

    def _assign_target(
        self, progress: shard_progress.ShardProgress
    ) -> tuple[str, str] | None:
        """Chooses the target of the next attempt and records the attempt.

        Prefers targets that have not been tried for the shard.

        Returns:
            The target and the address of the relay that owns the target; None
            if no relay is known for any of the candidates.
        """
        now = clock.monotonic()
        candidates = self.untried_targets(progress) or self._candidate_targets(
            progress
        )
        if set(candidates) <= set(progress.tried_targets):
            candidates = self._usable_targets(progress)
        latency_window = self._search_state.latency_window(
            self._context.route_name, progress.shard
        )
        relay_address_by_target = self._relay_client.find_relays(
            candidates, latency_window.overdue_delay_s
        )
        target = self._search_state.replica_chooser.choose(
            relay_address_by_target, self._context.configuration, now
        )
        if target is None:
            return None
        progress.tried_targets.append(target)
        progress.outstanding_targets.add(target)
        progress.latest_attempt_at = now
        progress.hedge_at = now + latency_window.hedge_delay_s
        self._search_state.replica_chooser.record_sent(target, now)
        return target, relay_address_by_target[target]

    def _send_message(
        self,
        relay_address: str,
        sub_requests: tuple[api.SubRequest, ...],
        kind_by_shard: dict[str, AttemptKind],
    ) -> None:
        for kind, event in _EVENT_BY_KIND.items():
            target_by_shard = {
                s.shard: s.target
                for s in sub_requests
                if kind_by_shard[s.shard] == kind
            }
            if target_by_shard:
                self._daemon_state.telemetry.metrics.sub_requests.add(
                    len(target_by_shard), {"kind": kind.value}
                )
                self._daemon_state.telemetry.record_decision(
                    event,
                    self._context.request_id,
                    relay=relay_address,
                    version=self.wanted_version,
                    targets=target_by_shard,
                )
        request = self._context.build_scatter_request(
            self._daemon_state.process,
            sub_requests,
            self.wanted_version,
            self._context.remaining_s() - MERGE_MARGIN_S,
        )
        task = asyncio.ensure_future(
            self._relay_client.send(relay_address, request, self.answers)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
