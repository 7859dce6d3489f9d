"""Asks the homes of client accounts for admissions, in batches."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

import attrs

from cassiahead_daemon import errors
from cassiahead_daemon import node as node_lib
from cassiahead_decisions import membership
from cassiahead_decisions import rate_limiter as limiter_lib
from cassiahead_protocol import api
from cassiahead_protocol import codec
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection as wire

if TYPE_CHECKING:
    from cassiahead_notes import api as notes

__all__ = ["ADMIT_PATH", "Admitter"]

ADMIT_PATH = "/inner/admit"
_TIMEOUT_S = 0.08
_REPEAT_S = 0.04
_NO_HOME = limiter_lib.Admission(0, 1.0, settling=True)


@attrs.define
class _Batch:
    waiting: dict[str, collections.deque[asyncio.Future[limiter_lib.Admission]]]


@attrs.define
class Admitter:
    """Admits requests at the homes of their client accounts.

    Requests that arrive while a batch is under way to a home form the next
    batch, so a busy client account adds to a count and not to the messages.
    """

    _node: node_lib.Node
    limiter: limiter_lib.AccountRateLimiter
    _batches: dict[str, _Batch] = attrs.field(factory=dict)
    _busy: set[str] = attrs.field(factory=set)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    @classmethod
    def from_node(cls, node: node_lib.Node) -> Admitter:
        """Creates the admitter of an entry."""
        limiter = limiter_lib.AccountRateLimiter(
            node.peering.borrower, node.peering.ceiling
        )
        admitter = cls(node, limiter)
        node.listeners.append(admitter.configure)
        return admitter

    def configure(self, configuration: notes.Configuration) -> None:
        """Takes over the limits of a configuration now in force."""
        self.limiter.configure(configuration.accounts, clock.monotonic())

    async def admit(self, account: str, request_id: str) -> None:
        """Admits one request.

        While the account changes its home, an ask that is denied is repeated
        for a short time, so that the move refuses nobody inside its rate.

        Raises:
            errors.RequestError: If it is over the rate, or the home does not
                answer; the request has not run.
        """
        give_up = clock.monotonic() + limiter_lib.SETTLING_S
        while True:
            asked_at = clock.monotonic()
            home = self._home(account)
            verdict = await self._ask(home, account)
            late = (
                clock.monotonic() - asked_at > limiter_lib.ADMISSION_LIFETIME_S
            )
            if verdict.granted and not late:
                break
            if clock.monotonic() >= give_up or not (verdict.settling or late):
                raise _refusal(verdict)
            await asyncio.sleep(_REPEAT_S)
        self._node.telemetry.decisions.add(
            request_id, {"event": "ADMITTED", "home": home, "account": account}
        )

    def answer(self, body: bytes) -> bytes:
        """Answers a batch of another entry.

        Raises:
            codec.ProtocolError: If the body is no such request.
        """
        request = codec.decode(body, api.AdmitRequest)
        now = clock.monotonic()
        self._node.configuration()
        isolated = (
            self._node.peering.standing(now) is membership.Standing.ISOLATED
        )
        admissions = [
            self.limiter.admit(item.account, 0 if isolated else item.count, now)
            for item in request.items
        ]
        return codec.encode(
            api.AdmitReply(
                tuple(a.granted for a in admissions),
                tuple(a.retry_after_s for a in admissions),
                tuple(a.settling for a in admissions),
            )
        )

    def _home(self, account: str) -> str | None:
        homes = self._node.peering.home_map(
            self._node.configuration(), clock.monotonic()
        )
        return homes.home_of(limiter_lib.account_resource(account))

    async def _ask(
        self, home: str | None, account: str
    ) -> limiter_lib.Admission:
        if home is None:
            return _NO_HOME
        if home == self._node.process.address:
            return self.limiter.admit(account, 1, clock.monotonic())
        batch = self._batches.setdefault(home, _Batch({}))
        future: asyncio.Future[limiter_lib.Admission] = (
            asyncio.get_running_loop().create_future()
        )
        batch.waiting.setdefault(account, collections.deque()).append(future)
        if home not in self._busy:
            self._busy.add(home)
            task = asyncio.ensure_future(self._send_batches(home))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return await future

    async def _send_batches(self, home: str) -> None:
        try:
            while batch := self._batches.pop(home, None):
                await self._send_batch(home, batch)
        finally:
            self._busy.discard(home)

    async def _send_batch(self, home: str, batch: _Batch) -> None:
        accounts = list(batch.waiting)
        request = api.AdmitRequest(
            self._node.process,
            tuple(
                api.AdmitItem(name, len(batch.waiting[name]))
                for name in accounts
            ),
        )
        try:
            response = await self._node.pool(home).post(
                ADMIT_PATH, codec.encode(request), _TIMEOUT_S
            )
            reply = codec.decode(response.body, api.AdmitReply)
            for index, name in enumerate(accounts):
                _settle(
                    batch.waiting[name],
                    limiter_lib.Admission(
                        reply.granted[index],
                        reply.retry_after[index],
                        reply.settling[index],
                    ),
                )
        except (wire.TransportError, codec.ProtocolError, IndexError):
            self._node.peering.members.suspect(home)
            events.log(events.Event.PEER_SUSPECTED, peer=home, use="admission")
        finally:
            _fail_rest(batch)


def _settle(
    waiting: collections.deque[asyncio.Future[limiter_lib.Admission]],
    admission: limiter_lib.Admission,
) -> None:
    granted = admission.granted
    for _ in range(len(waiting)):
        future = waiting.popleft()
        if future.done():
            continue
        future.set_result(attrs.evolve(admission, granted=min(1, granted)))
        granted = max(0, granted - 1)


def _fail_rest(batch: _Batch) -> None:
    for waiting in batch.waiting.values():
        for future in waiting:
            if not future.done():
                future.set_result(_NO_HOME)


def _refusal(verdict: limiter_lib.Admission) -> errors.RequestError:
    if verdict is _NO_HOME or verdict.granted:
        return errors.RequestError(
            errors.Code.LIMITER_UNREACHABLE,
            api.Outcome.NOT_RUN,
            "the home of the client account did not answer in time",
            verdict.retry_after_s,
        )
    return errors.RequestError(
        errors.Code.RATE_EXCEEDED,
        api.Outcome.NOT_RUN,
        "the client account is over its rate and burst",
        verdict.retry_after_s,
    )
