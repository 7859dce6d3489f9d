"""Attempts in flight: requests to one target each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from cassiahead_gateway import api
from cassiahead_gateway import attempt_outcomes
from cassiahead_gateway import attempt_sender
from cassiahead_gateway import connection_table
from cassiahead_gateway import outgoing_request
from cassiahead_gateway import passed_on_body
from cassiahead_wire import connection as connection_lib

__all__ = ["Attempt"]


@attrs.define(eq=False)
class Attempt:
    """An attempt in flight.

    Attributes:
        target: Target of the attempt.
        started_at: When the attempt was started, in seconds on this process's
            monotonic clock.
        is_sent: Whether bytes of the request may have reached the target.
    """

    _sender: attempt_sender.AttemptSender
    target: api.Target
    _request: outgoing_request.OutgoingRequest
    started_at: float
    _checkout: connection_table.Checkout
    _on_outcome: Callable[[Attempt, attempt_outcomes.AttemptOutcome], None]
    is_sent: bool = False
    _connect_task: asyncio.Task[None] | None = None
    _is_ended: bool = False
    _is_overdue: bool = False
    _passed_on: passed_on_body.PassedOnBody | None = None

    @property
    def is_answer_arriving(self) -> bool:
        """Whether bytes of the response, or a close, wait to be handled."""
        connection = self._checkout.connection
        return connection is not None and connection.is_response_arriving

    def start(self) -> None:
        """Sends the request, after a connect if there is no connection."""
        connection = self._checkout.connection
        if connection is not None:
            self._send_on(connection)
            return
        self._connect_task = asyncio.ensure_future(self._connect())
        # A task that is cancelled before its first step never connects.
        self._connect_task.add_done_callback(
            lambda _: self._checkout.release_unused()
        )

    def observe_wait(self) -> None:
        """Records the target as slow if the attempt is overdue, once."""
        if not self._is_overdue:
            self._is_overdue = self._sender.observe_overdue(
                self.target, self._request, self.started_at
            )

    def cancel(self) -> None:
        """Ends the attempt without an outcome."""
        if self._is_ended:
            return
        self._is_ended = True
        if self._passed_on is not None:
            # ``_end_early`` gives the response up.
            return
        self._sender.record_abandoned(
            self.target,
            self._request,
            self._checkout,
            self.started_at,
            self._is_overdue,
        )
        if self._connect_task is not None:
            self._connect_task.cancel()

    async def _connect(self) -> None:
        try:
            connection = await self._checkout.connect()
        except connection_lib.TransportError as error:
            self._handle_error(error)
            return
        self._send_on(connection)

    def _send_on(self, connection: connection_lib.Connection) -> None:
        if self._is_ended:
            return
        self.is_sent = True
        try:
            connection.start(
                self._request.method,
                self._request.path,
                self._request.body,
                self._sender.attempt_headers(self.target, self._request),
                self._on_response_end,
                on_long_body=self._on_long_body,
            )
        except connection_lib.TransportError as error:
            # The starter of the attempt doesn't expect the outcome yet.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._handle_error, error)

    def _on_long_body(self, response: connection_lib.Response) -> bool:
        """Ends the attempt with a response whose body has not arrived yet.

        Returns:
            Whether the response is passed on.
        """
        if (
            self._is_ended
            or response.stream is None
            or not self._sender.can_pass_on(self._request, response)
        ):
            return False
        self._passed_on = passed_on_body.PassedOnBody.start(
            response.stream,
            self._checkout,
            self._request.deadline,
            self._on_passed_on_error,
        )
        # The connection is still reading.
        asyncio.get_running_loop().call_soon(self._end_early, response)
        return True

    def _on_passed_on_error(self, error: connection_lib.TransportError) -> None:
        if error.has_peer_closed:
            self._sender.check_for_crash(self.target, self._request)

    def _end_early(self, response: connection_lib.Response) -> None:
        assert response.stream is not None
        outcome = self._sender.handle_passed_on_response(
            self.target, self._request, response, self.started_at
        )
        if self._is_ended:
            response.stream.release()
        else:
            self._end(outcome)

    def _on_response_end(self) -> None:
        connection = self._checkout.connection
        assert connection is not None
        if self._passed_on is not None:
            self._passed_on.handle_end()
            return
        if self._is_ended:
            return
        try:
            response = connection.take_response()
        except connection_lib.TransportError as error:
            self._handle_error(error)
            return
        self._end(
            self._sender.handle_response(
                self.target,
                self._request,
                self._checkout,
                response,
                self.started_at,
            )
        )

    def _handle_error(self, error: connection_lib.TransportError) -> None:
        if not self._is_ended:
            self._end(
                self._sender.handle_transport_error(
                    self.target, self._request, self._checkout, error
                )
            )

    def _end(self, outcome: attempt_outcomes.AttemptOutcome) -> None:
        self._is_ended = True
        self._on_outcome(self, outcome)
