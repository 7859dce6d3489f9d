"""Enforces the rate limits of client accounts across all entries.

The home of a client account decides on the account's admissions. Other entries
ask the home, in batches.
"""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

import attrs

from cassiahead_daemon import daemon_state as daemon_state_lib
from cassiahead_daemon import errors
from cassiahead_decisions import membership
from cassiahead_decisions import rate_limiter
from cassiahead_protocol import api
from cassiahead_protocol import codec
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection as connection_lib

if TYPE_CHECKING:
    from cassiahead_notes import api as notes

__all__ = ["ADMIT_PATH", "AdmissionController"]

ADMIT_PATH = "/inner/admit"
_ADMIT_TIMEOUT_S = 0.08
_RETRY_INTERVAL_S = 0.04
# Verdict while no home is known or the home does not answer. It is marked as
# settling, so that the admission is retried: the account may be moving to a new
# home.
_UNREACHABLE_HOME_VERDICT = rate_limiter.AdmissionVerdict(
    0, 1.0, is_settling=True
)


@attrs.define
class _Batch:
    """Requests whose admission is requested from a home in one message.

    Attributes:
        futures_by_account: Futures of the verdicts by client account, one for
            each request in the order of arrival.
    """

    futures_by_account: dict[
        str, collections.deque[asyncio.Future[rate_limiter.AdmissionVerdict]]
    ]


@attrs.define
class AdmissionController:
    """Admits requests at the homes of their client accounts.

    Requests that arrive while a batch is in flight to a home form the next
    batch. A busy client account therefore increases a count in the next
    message, not the number of messages.

    Attributes:
        limiter: Rate limits of the client accounts whose home is this process.
    """

    _daemon_state: daemon_state_lib.DaemonState
    limiter: rate_limiter.AccountRateLimiter
    _batch_by_home_address: dict[str, _Batch] = attrs.field(factory=dict)
    _home_addresses_with_batch_in_flight: set[str] = attrs.field(factory=set)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    @classmethod
    def from_daemon_state(
        cls, daemon_state: daemon_state_lib.DaemonState
    ) -> AdmissionController:
        """Creates the controller of an entry.

        The controller is notified of each configuration that comes into force.

        Args:
            daemon_state: State of the daemon.
        """
        limiter = rate_limiter.AccountRateLimiter(
            daemon_state.peering.borrower, daemon_state.peering.ceiling
        )
        controller = cls(daemon_state, limiter)
        daemon_state.configuration_listeners.append(controller.configure)
        return controller

    def configure(self, configuration: notes.Configuration) -> None:
        """Applies the limits of a configuration that has come into force."""
        self.limiter.configure(configuration.accounts, clock.monotonic())

    async def admit(self, account: str, request_id: str) -> None:
        """Waits until a request is admitted.

        While an account moves to a new home, which holds few of the rights at
        first, a denied admission is retried for up to
        ``rate_limiter.SETTLING_S``, so that no request within the account's
        rate is refused because of the move. A verdict that takes longer than
        ``rate_limiter.ADMISSION_LIFETIME_S`` is not used, and the admission is
        retried likewise.

        Args:
            account: Client account of the request.
            request_id: Identifier of the request.

        Raises:
            errors.RequestError: If the account is over its rate, or its home
                does not answer in time; the request has not run.
        """
        give_up_at = clock.monotonic() + rate_limiter.SETTLING_S
        while True:
            asked_at = clock.monotonic()
            home_address = self._home_address(account)
            admission = await self._request_admission(home_address, account)
            is_late = (
                clock.monotonic() - asked_at > rate_limiter.ADMISSION_LIFETIME_S
            )
            if admission.granted_count and not is_late:
                break
            if clock.monotonic() >= give_up_at or not (
                admission.is_settling or is_late
            ):
                raise _admission_error(admission)
            await asyncio.sleep(_RETRY_INTERVAL_S)
        self._daemon_state.telemetry.decisions.add(
            request_id,
            {"event": "ADMITTED", "home": home_address, "account": account},
        )

    def handle_batch(self, body: bytes) -> bytes:
        """Decides on a batch from another entry.

        Args:
            body: An encoded ``AdmitRequest``.

        Returns:
            The encoded ``AdmitReply``. No request is admitted while this
            process is isolated (``membership.Standing.ISOLATED``).

        Raises:
            codec.ProtocolError: If the body is malformed.
        """
        request = codec.decode(body, api.AdmitRequest)
        now = clock.monotonic()
        # Applies a configuration that has newly come into force.
        self._daemon_state.configuration()
        is_isolated = (
            self._daemon_state.peering.standing(now)
            is membership.Standing.ISOLATED
        )
        admissions = [
            self.limiter.admit(
                item.account, 0 if is_isolated else item.count, now
            )
            for item in request.items
        ]
        return codec.encode(
            api.AdmitReply(
                tuple(a.granted_count for a in admissions),
                tuple(a.retry_after_s for a in admissions),
                tuple(a.is_settling for a in admissions),
            )
        )

    def _home_address(self, account: str) -> str | None:
        homes = self._daemon_state.peering.home_map(
            self._daemon_state.configuration(), clock.monotonic()
        )
        return homes.home_of(rate_limiter.account_resource(account))

    async def _request_admission(
        self, home_address: str | None, account: str
    ) -> rate_limiter.AdmissionVerdict:
        if home_address is None:
            return _UNREACHABLE_HOME_VERDICT
        if home_address == self._daemon_state.process.address:
            return self.limiter.admit(account, 1, clock.monotonic())
        batch = self._batch_by_home_address.setdefault(home_address, _Batch({}))
        future: asyncio.Future[rate_limiter.AdmissionVerdict] = (
            asyncio.get_running_loop().create_future()
        )
        batch.futures_by_account.setdefault(
            account, collections.deque()
        ).append(future)
        if home_address not in self._home_addresses_with_batch_in_flight:
            self._home_addresses_with_batch_in_flight.add(home_address)
            task = asyncio.ensure_future(self._send_batches(home_address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return await future

    async def _send_batches(self, home_address: str) -> None:
        try:
            while batch := self._batch_by_home_address.pop(home_address, None):
                await self._send_batch(home_address, batch)
        finally:
            self._home_addresses_with_batch_in_flight.discard(home_address)

    async def _send_batch(self, home_address: str, batch: _Batch) -> None:
        accounts = list(batch.futures_by_account)
        request = api.AdmitRequest(
            self._daemon_state.process,
            tuple(
                api.AdmitItem(name, len(batch.futures_by_account[name]))
                for name in accounts
            ),
        )
        try:
            response = await self._daemon_state.connection_pool(
                home_address
            ).post(ADMIT_PATH, codec.encode(request), _ADMIT_TIMEOUT_S)
            reply = codec.decode(response.body, api.AdmitReply)
            for index, name in enumerate(accounts):
                _set_verdicts(
                    batch.futures_by_account[name],
                    rate_limiter.AdmissionVerdict(
                        reply.granted[index],
                        reply.retry_after[index],
                        reply.settling[index],
                    ),
                )
        except (connection_lib.TransportError, codec.ProtocolError, IndexError):
            self._daemon_state.peering.members.suspect(home_address)
            events.log(
                events.Event.PEER_SUSPECTED, peer=home_address, use="admission"
            )
        finally:
            _fail_unanswered(batch)


def _set_verdicts(
    futures: collections.deque[asyncio.Future[rate_limiter.AdmissionVerdict]],
    admission: rate_limiter.AdmissionVerdict,
) -> None:
    """Sets the verdicts of the requests of one client account in a batch.

    Grants as many requests as the home has admitted, in the order of arrival.
    """
    remaining_count = admission.granted_count
    for _ in range(len(futures)):
        future = futures.popleft()
        if future.done():
            continue
        future.set_result(
            attrs.evolve(admission, granted_count=min(1, remaining_count))
        )
        remaining_count = max(0, remaining_count - 1)


def _fail_unanswered(batch: _Batch) -> None:
    for futures in batch.futures_by_account.values():
        for future in futures:
            if not future.done():
                future.set_result(_UNREACHABLE_HOME_VERDICT)


def _admission_error(
    admission: rate_limiter.AdmissionVerdict,
) -> errors.RequestError:
    if admission is _UNREACHABLE_HOME_VERDICT or admission.granted_count:
        return errors.RequestError(
            errors.ErrorCode.LIMITER_UNREACHABLE,
            api.Outcome.NOT_RUN,
            "the home of the client account did not answer in time",
            admission.retry_after_s,
        )
    return errors.RequestError(
        errors.ErrorCode.RATE_EXCEEDED,
        api.Outcome.NOT_RUN,
        "the client account is over its rate and burst",
        admission.retry_after_s,
    )
