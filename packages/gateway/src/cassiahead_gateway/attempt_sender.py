"""Sends attempts to targets and records how each target performs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import replicas
from cassiahead_gateway import api
from cassiahead_gateway import attempt_outcomes
from cassiahead_gateway import attempts
from cassiahead_gateway import connection_table
from cassiahead_gateway import crash_detector
from cassiahead_gateway import headers as headers_lib
from cassiahead_gateway import outgoing_request
from cassiahead_gateway import target_observer
from cassiahead_gateway import target_pacer
from cassiahead_gateway import target_signal_reader
from cassiahead_wire import clock
from cassiahead_wire import connection as connection_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado import httputil

__all__ = ["AttemptSender"]

_MISDIRECTED_REQUEST_STATUS = 421
_MIN_SERVER_ERROR_STATUS = 500
_UNAVAILABLE_STATUS = 503


@attrs.define(eq=False)
class AttemptSender:
    """Sends requests to targets and records how each target performs."""

    _header_names: headers_lib.HeaderNames
    _connections: connection_table.ConnectionTable
    _replica_chooser: replicas.ReplicaChooser
    _crash_detector: crash_detector.CrashDetector
    _observer: target_observer.TargetObserver
    _signal_reader: target_signal_reader.TargetSignalReader
    _pacer: target_pacer.TargetPacer

    def send(
        self,
        target: api.Target,
        request: outgoing_request.OutgoingRequest,
        on_outcome: Callable[
            [attempts.Attempt, attempt_outcomes.AttemptOutcome], None
        ],
    ) -> attempts.Attempt:
        """Starts an attempt at a target.

        Before this method returns, a connection is reserved and the attempt is
        recorded, so that the next choice of a replica takes the attempt into
        account. On an idle connection, the request has been sent.

        Args:
            target: Target to send the request to.
            request: Request to send.
            on_outcome: Called with the outcome from the event loop, unless the
                attempt is cancelled before. The attempt has no timeout of its
                own.
        """
        now = clock.monotonic()
        checkout = self._connections.check_out(target.id, target.address)
        self._replica_chooser.record_sent(target.id, now)
        self._pacer.pace.record_sent(target.id)
        attempt = attempts.Attempt(
            self, target, request, now, checkout, on_outcome
        )
        attempt.start()
        return attempt

    def record_abandoned(
        self,
        target: api.Target,
        request: outgoing_request.OutgoingRequest,
        checkout: connection_table.Checkout,
        started_at: float,
        is_overdue: bool,
    ) -> None:
        """Records a cancelled attempt and waits briefly for a late answer.

        If no answer arrives, the connection is closed to make the target stop.
        The latency of a late answer still counts for the choice of replicas,
        and so do the target's signals in it. An attempt whose connection was
        not open yet counts as a timeout. If the target closes the connection
        first, it is checked for a crash.

        Args:
            target: Target of the attempt.
            request: Request that was sent.
            checkout: Connection of the attempt.
            started_at: When the attempt was started.
            is_overdue: Whether ``observe_overdue`` has recorded the attempt.
        """
        now = clock.monotonic()
        self._observer.observe_wait(
            target.id, now - started_at, request.latencies, now, is_overdue
        )
        is_late = self._pacer.observe_abandoned(
            target, now - started_at, request.latencies, now
        )
        if checkout.connection is None:
            self._replica_chooser.record_timeout(
                target.id, now - started_at, now
            )
            return
        self._replica_chooser.record_inconclusive(target.id, now)

        def on_end(
            result: connection_lib.Response | connection_lib.TransportError,
        ) -> None:
            ended_at = clock.monotonic()
            if isinstance(result, connection_lib.Response):
                self._signal_reader.read(target, request, result, ended_at)
                self._replica_chooser.record_late_answer(
                    target.id, ended_at - started_at, ended_at
                )
                if not is_late:
                    self._pacer.observe_late_answer(
                        target,
                        ended_at - started_at,
                        request.latencies,
                        ended_at,
                    )
                return
            self._replica_chooser.record_silence(
                target.id, started_at, ended_at
            )
            self._pacer.observe_silence(target, started_at, ended_at)
            if result.has_peer_closed:
                self.check_for_crash(target, request)

        self._connections.abandon(checkout, on_end)

    def observe_overdue(
        self,
        target: api.Target,
        request: outgoing_request.OutgoingRequest,
        started_at: float,
    ) -> bool:
        """Records an attempt in flight if it already counts as slow.

        Returns:
            Whether it does.
        """
        now = clock.monotonic()
        return self._observer.observe_overdue(
            target.id, now - started_at, request.latencies, now
        )

    def attempt_headers(
        self, target: api.Target, request: outgoing_request.OutgoingRequest
    ) -> httputil.HTTPHeaders:
        """Returns the request's headers with those of one attempt set.

        A copy for each attempt would be as expensive as the choice of its
        target. The attempt must be sent before the next one sets its headers.
        """
        remaining_ms = max(
            1, int((request.deadline - clock.monotonic()) * 1000)
        )
        request.headers[self._header_names.deadline_ms] = str(remaining_ms)
        request.headers[self._header_names.expected_target] = target.id
        return request.headers

    def handle_transport_error(
        self,
        target: api.Target,
        request: outgoing_request.OutgoingRequest,
        checkout: connection_table.Checkout,
        error: connection_lib.TransportError,
    ) -> attempt_outcomes.AttemptOutcome:
        """Records an attempt without a complete response.

        Returns:
            The outcome of the attempt.
        """
        now = clock.monotonic()
        checkout.drop(error.kind)
        self._pacer.pace.record_ended(target.id)
        match error.kind:
            case connection_lib.FailureKind.CONNECT:
                self._replica_chooser.record_failure(target.id, now)
                self._observer.observe_no_connection(target.id, now)
                self._pacer.observe_failure(target, now)
            case (
                connection_lib.FailureKind.CLOSED
                | connection_lib.FailureKind.MALFORMED
            ):
                self._record_bad_answer(target, request, now)
                self._observer.observe_failure(target.id, now)
        if not error.may_have_been_sent:
            return attempt_outcomes.NotRun(
                f"no connection: {error.kind}", was_received=False
            )
        if error.has_peer_closed:
            self.check_for_crash(target, request)
        return attempt_outcomes.OutcomeUnknown(error.kind.value)

    def check_for_crash(
        self, target: api.Target, request: outgoing_request.OutgoingRequest
    ) -> None:
        """Checks a target that closed the connection of a request."""
        self._crash_detector.check_for_crash(
            target, request.fingerprint, request.request_id
        )

    def handle_response(
        self,
        target: api.Target,
        request: outgoing_request.OutgoingRequest,
        checkout: connection_table.Checkout,
        response: connection_lib.Response,
        started_at: float,
    ) -> attempt_outcomes.AttemptOutcome:
        """Records a complete response and returns the connection.

        Returns:
            The outcome of the attempt.
        """
        now = clock.monotonic()
        header_names = self._header_names
        self._signal_reader.read(target, request, response, now)
        self._pacer.pace.record_ended(target.id)
        invalid_reason = self._invalid_response_reason(request, response)
        if invalid_reason is not None:
            checkout.drop()
            self._record_bad_answer(target, request, now)
            self._observer.observe_failure(target.id, now)
            return attempt_outcomes.OutcomeUnknown(invalid_reason)
        checkout.put_back()
        if header_names.not_run in response.headers:
            self._record_bad_answer(target, request, now)
            return attempt_outcomes.NotRun(
                f"target said {response.status}",
                was_received=True,
                is_overload=response.status == _UNAVAILABLE_STATUS,
            )
        if response.status == _MISDIRECTED_REQUEST_STATUS:
            self._record_bad_answer(target, request, now)
            return attempt_outcomes.NotRun(
                "the address is another target's", was_received=True
            )
        return self._record_answer(target, request, response, started_at)

    def handle_passed_on_response(
        self,
        target: api.Target,
        request: outgoing_request.OutgoingRequest,
        response: connection_lib.Response,
        started_at: float,
    ) -> attempt_outcomes.AttemptOutcome:
        """Records a response whose body is passed on as it arrives.

        Returns:
            The outcome of the attempt.
        """
        self._signal_reader.read(target, request, response, clock.monotonic())
        self._pacer.pace.record_ended(target.id)
        return self._record_answer(target, request, response, started_at)

    def can_pass_on(
        self,
        request: outgoing_request.OutgoingRequest,
        response: connection_lib.Response,
    ) -> bool:
        """Returns whether the body of a response may be passed on early.

        Only the body of a success is, whose length is announced: any other
        outcome may lead to another attempt, a body without a length may be
        endless, and the response of a search is merged with others.

        Args:
            request: Request that was sent.
            response: The response without its body.
        """
        header_names = self._header_names
        return (
            not request.is_part
            and 200 <= response.status < 300
            and "Content-Length" in response.headers
            and bool(response.headers.get(header_names.stamp))
            and header_names.not_run not in response.headers
            and self._invalid_response_reason(request, response) is None
        )

    def _record_answer(
        self,
        target: api.Target,
        request: outgoing_request.OutgoingRequest,
        response: connection_lib.Response,
        started_at: float,
    ) -> attempt_outcomes.AttemptOutcome:
        """Records a response of a target that has run the request."""
        now = clock.monotonic()
        if response.status >= _MIN_SERVER_ERROR_STATUS:
            self._record_bad_answer(target, request, now)
            self._observer.observe_failure(target.id, now)
        else:
            self._pacer.observe_answer(
                target, now - started_at, request.latencies, now
            )
            self._observer.observe_answer(
                target.id, now - started_at, request.latencies, now
            )
            self._replica_chooser.record_answer(
                target.id, now - started_at, now
            )
            self._crash_detector.poison_table.record_success(
                request.fingerprint
            )
        return attempt_outcomes.Answered(
            response, response.headers.get(self._header_names.stamp, "")
        )

    def _record_bad_answer(
        self,
        target: api.Target,
        request: outgoing_request.OutgoingRequest,
        now: float,
    ) -> None:
        self._replica_chooser.record_bad_answer(target.id, now)
        self._pacer.observe_bad_answer(target, request.latencies, now)

    def _invalid_response_reason(
        self,
        request: outgoing_request.OutgoingRequest,
        response: connection_lib.Response,
    ) -> str | None:
        """Returns why a response is not valid for a request; None if it is.

        Args:
            request: Request that was sent.
            response: Response read from the same connection.
        """
        if not self._header_names.answers_request(
            response.headers, request.request_id
        ):
            return "answer to another request"
        header_names = self._header_names
        if (
            not request.is_part
            and header_names.stamp in response.headers
            and header_names.request_id not in response.headers
        ):
            # It may be late, and belong to the request before.
            return "signed answer that names no request"
        if "Content-Encoding" in response.headers:
            return "answer with an encoding that was not asked for"
        return None
