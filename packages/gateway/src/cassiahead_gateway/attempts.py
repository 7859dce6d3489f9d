"""One attempt: a request sent to one target, and what came of it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
from tornado import httputil

from cassiahead_decisions import replicas
from cassiahead_gateway import connection_table as links_lib
from cassiahead_gateway import crash_detector as crashes_lib
from cassiahead_gateway import headers as headers_lib
from cassiahead_wire import clock
from cassiahead_wire import connection as wire

if TYPE_CHECKING:
    from cassiahead_gateway import api

__all__ = ["Answered", "Lost", "NotRun", "Outcome", "OutgoingRequest", "Sender"]

_NOT_FOUND_HERE = 421
_SERVER_ERROR = 500


@attrs.frozen(eq=False)
class OutgoingRequest:
    """A request as targets get it, but for what is left of its time.

    Attributes:
        request_id: The caller's identifier of this attempt.
        method: HTTP method.
        path: Path with query, as the caller sent it.
        headers: Headers for any target.
        body: The body.
        deadline: When the caller's time has run, on this process's clock.
        fingerprint: Digest that stands for the request and its repetitions.
    """

    request_id: str
    method: str
    path: str
    headers: httputil.HTTPHeaders
    body: bytes
    deadline: float
    fingerprint: str


@attrs.frozen(eq=False)
class Answered:
    """A target's own whole answer, good or bad.

    Attributes:
        response: The answer.
        stamp: The target's signature; empty if it gave none.
    """

    response: wire.Response
    stamp: str

    @property
    def good(self) -> bool:
        """Whether the target ran the request and succeeded."""
        return 200 <= self.response.status < 300 and bool(self.stamp)


@attrs.frozen
class NotRun:
    """The target certainly did not run the request.

    Attributes:
        reason: Why, for the log.
        arrived: Whether the target saw the request.
    """

    reason: str
    arrived: bool


@attrs.frozen
class Lost:
    """No usable answer; the target may have run the request."""

    reason: str


Outcome = Answered | NotRun | Lost


@attrs.define(eq=False)
class Sender:
    """Sends requests to targets and keeps account of how they do."""

    _names: headers_lib.HeaderNames
    _links: links_lib.ConnectionTable
    _chooser: replicas.ReplicaChooser
    _crashes: crashes_lib.CrashDetector

    def send(
        self, target: api.Target, request: OutgoingRequest, timeout: float
    ) -> asyncio.Task[Outcome]:
        """Begins to send a request to a target.

        Its place at the target is taken at once, so that whoever chooses next
        sees it. If the task is cancelled, the target is made to stop.

        Args:
            target: The target.
            request: The request.
            timeout: Seconds until the answer must be complete.
        """
        started = clock.monotonic()
        checkout = self._links.check_out(target.id, target.address)
        self._chooser.record_sent(target.id, started)
        task = asyncio.ensure_future(
            self._attempt(target, request, checkout, started, timeout)
        )

        def on_done(task: asyncio.Task[Outcome]) -> None:
            if checkout.release_unused():
                self._chooser.record_inconclusive(target.id, clock.monotonic())

        task.add_done_callback(on_done)
        return task

    async def _attempt(
        self,
        target: api.Target,
        request: OutgoingRequest,
        checkout: links_lib.Checkout,
        started: float,
        timeout: float,
    ) -> Outcome:
        try:
            connection = await checkout.connect()
            response = await connection.request(
                request.method,
                request.path,
                request.body,
                started + timeout - clock.monotonic(),
                self._headers(target, request),
            )
        except wire.TransportError as error:
            return self._failed(target, request, checkout, error, started)
        except asyncio.CancelledError:
            self._leave(target, checkout, started)
            raise
        return self._received(target, request, checkout, response, started)

    def _leave(
        self,
        target: api.Target,
        checkout: links_lib.Checkout,
        started: float,
    ) -> None:
        """Gives an attempt up, but learns how long it would have taken."""
        now = clock.monotonic()
        if checkout.connection is None:
            self._chooser.record_timeout(target.id, now - started, now)
            return
        self._chooser.record_inconclusive(target.id, now)

        def on_end(answered: bool) -> None:
            ended = clock.monotonic()
            if answered:
                self._chooser.record_late_answer(
                    target.id, ended - started, ended
                )
            else:
                self._chooser.record_silence(target.id, started, ended)

        self._links.leave(checkout, on_end)

    def _headers(
        self, target: api.Target, request: OutgoingRequest
    ) -> httputil.HTTPHeaders:
        headers = request.headers.copy()
        left_ms = max(1, int((request.deadline - clock.monotonic()) * 1000))
        headers[self._names.deadline_ms] = str(left_ms)
        headers[self._names.expected_target] = target.id
        return headers

    def _failed(
        self,
        target: api.Target,
        request: OutgoingRequest,
        checkout: links_lib.Checkout,
        error: wire.TransportError,
        started: float,
    ) -> Outcome:
        now = clock.monotonic()
        checkout.drop(error.kind)
        match error.kind:
            case wire.FailureKind.TIMEOUT:
                self._chooser.record_timeout(target.id, now - started, now)
            case wire.FailureKind.CONNECT:
                self._chooser.record_failure(target.id, now)
            case wire.FailureKind.CLOSED | wire.FailureKind.MALFORMED:
                self._chooser.record_bad_answer(target.id, now)
        if not error.maybe_sent:
            return NotRun(f"no connection: {error.kind}", arrived=False)
        if error.kind is wire.FailureKind.CLOSED:
            self._crashes.suspect(
                target, request.fingerprint, request.request_id
            )
        return Lost(error.kind.value)

    def _received(
        self,
        target: api.Target,
        request: OutgoingRequest,
        checkout: links_lib.Checkout,
        response: wire.Response,
        started: float,
    ) -> Outcome:
        now = clock.monotonic()
        names = self._names
        fault = self._fault(request, response)
        if fault is not None:
            checkout.drop()
            self._chooser.record_bad_answer(target.id, now)
            return Lost(fault)
        checkout.put_back()
        if names.not_run in response.headers:
            self._chooser.record_bad_answer(target.id, now)
            return NotRun(f"target said {response.status}", arrived=True)
        if response.status == _NOT_FOUND_HERE:
            self._chooser.record_bad_answer(target.id, now)
            return NotRun("the address is another target's", arrived=True)
        if response.status >= _SERVER_ERROR:
            self._chooser.record_bad_answer(target.id, now)
        else:
            self._chooser.record_answer(target.id, now - started, now)
            self._crashes.table.record_success(request.fingerprint)
        return Answered(response, response.headers.get(names.stamp, ""))

    def _fault(
        self, request: OutgoingRequest, response: wire.Response
    ) -> str | None:
        """Returns why an answer is not one to this request, if so."""
        answered_id = response.headers.get(self._names.request_id)
        if answered_id is not None and answered_id != request.request_id:
            return "answer to another request"
        if "Content-Encoding" in response.headers:
            return "answer with an encoding that was not asked for"
        return None
