"""Runs non-idempotent requests (orders) at most once.

An order is sent to one target and never retried. If the caller gave an
idempotency key, the home of the key decides whether the attempt may run.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from cassiahead_daemon import daemon_state as daemon_state_lib
from cassiahead_daemon import errors
from cassiahead_daemon import relay_client as relay_client_lib
from cassiahead_decisions import idempotency_keys
from cassiahead_decisions import replicas
from cassiahead_protocol import api
from cassiahead_protocol import codec
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection as connection_lib

if TYPE_CHECKING:
    from cassiahead_daemon import request_context

__all__ = ["BEGIN_PATH", "FINISH_PATH", "IdempotencyKeyHome", "OrderRunner"]

BEGIN_PATH = "/inner/begin"
FINISH_PATH = "/inner/finish"
_KEY_MESSAGE_TIMEOUT_S = 0.15
# Reserved before the caller's deadline for sending the answer.
_REPLY_MARGIN_S = 0.004
# A relay that has sent nothing for this long after a request counts as
# unresponsive. An order then goes to a target of another relay, if there is
# one.
_RELAY_RESPONSE_TIMEOUT_S = 0.1


@attrs.define
class IdempotencyKeyHome:
    """Decides on the idempotency keys whose home is this process.

    Keys are divided into ranges. This process decides on the keys of a range
    while it holds more than half of the rights to the range, so that two
    processes never decide on the same key at once.
    """

    _daemon_state: daemon_state_lib.DaemonState
    _decider: idempotency_keys.IdempotencyKeyDecider = attrs.field(
        factory=idempotency_keys.IdempotencyKeyDecider
    )
    _checked_at_by_resource: dict[str, float] = attrs.field(factory=dict)

    def begin(self, request: api.BeginRequest) -> api.KeyState:
        """Decides whether an attempt may run."""
        self.update_range(
            idempotency_keys.key_range_resource(request.account, request.key)
        )
        return self._decider.begin(
            request.account, request.key, request.attempt, clock.wall_time()
        )

    def finish(self, request: api.FinishRequest) -> bool:
        """Records the outcome of an attempt.

        Returns:
            Whether the attempt was known as the one allowed to run.
        """
        return self._decider.finish(
            request.account, request.key, request.attempt, request.outcome
        )

    def update_range(self, resource: str) -> None:
        """Takes over or gives up a range according to the rights held.

        Gives up the range if half or fewer of its rights have been held without
        a gap since the previous check, because another process may have decided
        on its keys meanwhile. Then takes over the range if more than half of
        its rights are held now; no effect if the range was kept.

        Args:
            resource: Resource name of the range.
        """
        now = clock.monotonic()
        borrower = self._daemon_state.peering.borrower
        # Each resource has as many rights as the ceiling of the role.
        total_right_count = self._daemon_state.peering.ceiling.effective_value(
            now
        )
        previously_checked_at = self._checked_at_by_resource.get(resource, now)
        self._checked_at_by_resource[resource] = now
        if (
            2
            * borrower.held_right_count_since(
                resource, previously_checked_at, now
            )
            <= total_right_count
        ):
            self._decider.forget_range(resource)
        if 2 * borrower.held_right_count(resource, now) > total_right_count:
            self._decider.take_over_range(resource, clock.wall_time())

    def do_housekeeping(self) -> None:
        """Updates all ranges and drops expired keys."""
        for range_number in range(idempotency_keys.KEY_RANGE_COUNT):
            self.update_range(f"keys:{range_number}")
        self._decider.forget_expired(clock.wall_time())


@attrs.define
class OrderRunner:
    """Sends an order to one target once, and reports whether it ran."""

    _daemon_state: daemon_state_lib.DaemonState
    _relay_client: relay_client_lib.RelayClient
    _idempotency_key_home: IdempotencyKeyHome
    _replica_chooser: replicas.ReplicaChooser

    async def run(
        self,
        context: request_context.RequestContext,
        shard: str,
        idempotency_key: str | None,
    ) -> api.SubAnswer:
        """Runs an order on one shard.

        Args:
            context: The request.
            shard: Name of the shard that the order's record belongs to.
            idempotency_key: Key under which the order runs at most once; None
                if the caller gave none.

        Returns:
            The successful answer of the target.

        Raises:
            errors.RequestError: If the key is refused or no target answers
                successfully; the outcome in the error says whether a target
                may have run the order.
        """
        if idempotency_key is not None:
            await self._begin(context, idempotency_key)
        try:
            answer = await self._send(context, shard)
        except BaseException:
            await self._finish(context, idempotency_key, api.Outcome.UNKNOWN)
            raise
        await self._finish(context, idempotency_key, answer.outcome)
        if answer.status is api.SubStatus.OK:
            return answer
        if answer.status is api.SubStatus.CRASHED:
            self._daemon_state.peering.poison_table.record_crash(
                context.fingerprint, clock.monotonic()
            )
        if answer.outcome is api.Outcome.NOT_RUN:
            raise errors.RequestError(
                errors.ErrorCode.NO_TARGET,
                api.Outcome.NOT_RUN,
                f"no target could run the order: {answer.status.value}",
                1.0,
            )
        raise errors.RequestError(
            errors.ErrorCode.OUTCOME_UNKNOWN,
            api.Outcome.UNKNOWN,
            f"a target may have run the order: {answer.status.value}",
        )

    async def _send(
        self, context: request_context.RequestContext, shard: str
    ) -> api.SubAnswer:
        assignment = self._assign_target(context, shard)
        if assignment is None:
            return _no_slot_answer(shard)
        target, relay_address = assignment
        request = context.build_scatter_request(
            self._daemon_state.process,
            (api.SubRequest(shard, target),),
            None,
            context.remaining_s() - _REPLY_MARGIN_S,
        )
        self._daemon_state.telemetry.record_decision(
            events.Event.ROUTED,
            context.request_id,
            relay=relay_address,
            targets={shard: target},
        )
        self._daemon_state.telemetry.metrics.sub_requests.add(
            1, {"kind": "first"}
        )
        answers: asyncio.Queue[api.SubAnswer] = asyncio.Queue()
        self._replica_chooser.record_sent(target, clock.monotonic())
        await self._relay_client.send(relay_address, request, answers)
        answer = answers.get_nowait()
        now = clock.monotonic()
        if answer.status is api.SubStatus.OK:
            total_latency_s = answer.latency + answer.queued
            self._replica_chooser.record_answer(target, total_latency_s, now)
        else:
            self._replica_chooser.record_failure(target, now)
        if answer.status is api.SubStatus.OK and (
            answer.generation != context.layout.generation
        ):
            return attrs.evolve(
                answer,
                status=api.SubStatus.VERSION_MISMATCH,
                outcome=api.Outcome.UNKNOWN,
            )
        return answer

    def _assign_target(
        self, context: request_context.RequestContext, shard: str
    ) -> tuple[str, str] | None:
        usable_targets = replicas.usable_replicas(
            context.configuration, context.layout, shard
        )
        relay_address_by_target = self._relay_client.find_relays(
            usable_targets, _RELAY_RESPONSE_TIMEOUT_S
        )
        target = self._replica_chooser.choose(
            relay_address_by_target, context.configuration, clock.monotonic()
        )
        if target is None:
            return None
        return target, relay_address_by_target[target]

    async def _begin(
        self, context: request_context.RequestContext, idempotency_key: str
    ) -> None:
        request = api.BeginRequest(
            self._daemon_state.process,
            context.account,
            idempotency_key,
            context.request_id,
        )
        state = await self._request_verdict(request)
        self._daemon_state.telemetry.record_decision(
            events.Event.KEY_DECIDED, context.request_id, state=state.value
        )
        if state is not api.KeyState.GO:
            raise _key_refusal(state)

    async def _request_verdict(self, request: api.BeginRequest) -> api.KeyState:
        """Asks the home of a key whether an attempt may run.

        If the verdict is missing or late, the attempt does not run. The home
        may still have allowed the attempt, and is therefore told that the
        attempt has not run, which frees the key for another attempt. If this
        message is lost as well, the key stays in progress at the home.
        """
        home_address = self._home_address(request.account, request.key)
        if home_address is None:
            return api.KeyState.NOT_HOME
        if home_address == self._daemon_state.process.address:
            return self._idempotency_key_home.begin(request)
        asked_at = clock.monotonic()
        try:
            response = await self._daemon_state.connection_pool(
                home_address
            ).post(BEGIN_PATH, codec.encode(request), _KEY_MESSAGE_TIMEOUT_S)
            state = codec.decode(response.body, api.BeginReply).state
        except (connection_lib.TransportError, codec.ProtocolError):
            state = api.KeyState.NOT_HOME
        is_late = clock.monotonic() - asked_at > _KEY_MESSAGE_TIMEOUT_S
        if not is_late and state is not api.KeyState.NOT_HOME:
            return state
        await self._send_outcome(
            home_address,
            api.FinishRequest(
                request.account,
                request.key,
                request.attempt,
                api.Outcome.NOT_RUN,
            ),
        )
        return api.KeyState.NOT_HOME

    def _home_address(self, account: str, idempotency_key: str) -> str | None:
        homes = self._daemon_state.peering.home_map(
            self._daemon_state.configuration(), clock.monotonic()
        )
        return homes.home_of(
            idempotency_keys.key_range_resource(account, idempotency_key)
        )

    async def _finish(
        self,
        context: request_context.RequestContext,
        idempotency_key: str | None,
        outcome: api.Outcome,
    ) -> None:
        if idempotency_key is None:
            return
        home_address = self._home_address(context.account, idempotency_key)
        request = api.FinishRequest(
            context.account, idempotency_key, context.request_id, outcome
        )
        if home_address is not None:
            await self._send_outcome(home_address, request)

    async def _send_outcome(
        self, home_address: str, request: api.FinishRequest
    ) -> None:
        if home_address == self._daemon_state.process.address:
            self._idempotency_key_home.finish(request)
            return
        try:
            await self._daemon_state.connection_pool(home_address).post(
                FINISH_PATH, codec.encode(request), _KEY_MESSAGE_TIMEOUT_S
            )
        except connection_lib.TransportError as error:
            events.log(
                events.Event.PEER_SUSPECTED,
                peer=home_address,
                use="finish",
                fault=error.kind,
            )


def _no_slot_answer(shard: str) -> api.SubAnswer:
    return api.SubAnswer(shard, "", api.SubStatus.NO_SLOT, api.Outcome.NOT_RUN)


def _key_refusal(state: api.KeyState) -> errors.RequestError:
    key_outcome: api.Outcome | None = None
    match state:
        case api.KeyState.RAN:
            code = errors.ErrorCode.ALREADY_RUN
            key_outcome = api.Outcome.RAN
            detail = "an attempt with this key has run"
        case api.KeyState.IN_PROGRESS:
            code = errors.ErrorCode.KEY_IN_PROGRESS
            key_outcome = api.Outcome.UNKNOWN
            detail = "an attempt with this key is in progress"
        case api.KeyState.UNKNOWN:
            code = errors.ErrorCode.KEY_UNKNOWN
            key_outcome = api.Outcome.UNKNOWN
            detail = "an earlier attempt with this key may have run"
        case api.KeyState.EXPIRED:
            code = errors.ErrorCode.KEY_EXPIRED
            detail = (
                "the key is not a UUID of version 7, or its time is in the "
                "future"
            )
        case _:
            code = errors.ErrorCode.DECIDER_UNREACHABLE
            detail = "no entry can decide on this key at present"
    return errors.RequestError(
        code, api.Outcome.NOT_RUN, detail, key_outcome=key_outcome
    )
