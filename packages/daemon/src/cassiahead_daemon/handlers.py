"""HTTP handlers for callers and for other daemons."""

from __future__ import annotations

import asyncio
import contextlib
from http import HTTPStatus
import json
from typing import Any

import cattrs
from tornado import http1connection
from tornado import iostream
from tornado import web

from cassiahead_daemon import admission
from cassiahead_daemon import caller_messages
from cassiahead_daemon import entry as entry_lib
from cassiahead_daemon import errors
from cassiahead_daemon import exchanger as exchanger_lib
from cassiahead_daemon import orders
from cassiahead_daemon import relay as relay_lib
from cassiahead_protocol import api
from cassiahead_protocol import codec
from cassiahead_telemetry import events
from cassiahead_wire import clock

__all__ = ["JsonHandler", "caller_routes", "inner_routes"]

_CONVERTER = cattrs.Converter()


def caller_routes(entry: entry_lib.Entry) -> list[Any]:
    """Returns the routes of the server for callers."""
    return [(r"/v1/([A-Za-z0-9_.-]+)", CallerHandler, {"entry": entry})]


def inner_routes(
    exchanger: exchanger_lib.Exchanger,
    entry: entry_lib.Entry | None,
    relay: relay_lib.Relay | None,
) -> list[Any]:
    """Returns the routes of the server for other daemons."""
    routes: list[Any] = [
        (
            exchanger_lib.EXCHANGE_PATH,
            ExchangeHandler,
            {"exchanger": exchanger},
        )
    ]
    if entry is not None:
        handler_arguments = {"entry": entry}
        routes += [
            (admission.ADMIT_PATH, AdmitHandler, handler_arguments),
            (orders.BEGIN_PATH, BeginHandler, handler_arguments),
            (orders.FINISH_PATH, FinishHandler, handler_arguments),
        ]
    if relay is not None:
        routes.append(
            (relay_lib.SCATTER_PATH, ScatterHandler, {"relay": relay})
        )
    return routes


class JsonHandler(web.RequestHandler):
    """Base class of handlers that send answers and errors as JSON."""

    def write_json(self, status: int, body: Any) -> None:  # noqa: ANN401
        """Sets the status and writes a JSON answer.

        Args:
            status: HTTP status.
            body: Any value that ``json.dumps`` accepts.
        """
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(body))

    def write_error(self, status_code: int, **_: Any) -> None:  # noqa: ANN401
        """Answers a request that tornado refused or a handler failed to serve.

        Args:
            status_code: HTTP status.
            **_: Further arguments from tornado, not used.
        """
        code = errors.ErrorCode.INTERNAL
        if status_code < HTTPStatus.INTERNAL_SERVER_ERROR:
            code = errors.ErrorCode.BAD_REQUEST
        self.write_json(
            status_code,
            {
                "error": {
                    "code": code.identifier,
                    "name": code.name,
                    "detail": HTTPStatus(status_code).phrase,
                },
                "outcome": "not_run" if status_code < 500 else "unknown",
            },
        )

    def log_exception(
        self,
        typ: type[BaseException] | None,
        value: BaseException | None,
        tb: Any,  # noqa: ANN401
    ) -> None:
        """Logs an error that a handler has not caught.

        HTTP errors and connections that the peer has closed are not logged.
        """
        if isinstance(value, web.HTTPError | iostream.StreamClosedError):
            return
        events.log(events.Event.INTERNAL_ERROR, exc_info=value)


class CallerHandler(JsonHandler):
    """Serves callers on the routes that the configuration defines."""

    def initialize(self, entry: entry_lib.Entry) -> None:
        """Sets the entry that serves the requests."""
        self._entry = entry
        self._task: asyncio.Task[caller_messages.CallerAnswer] | None = None

    async def get(self, route: str) -> None:
        """Serves a search or a lookup."""
        await self._serve(route)

    async def post(self, route: str) -> None:
        """Serves an order."""
        await self._serve(route)

    def on_connection_close(self) -> None:
        """Cancels a search or lookup whose caller has disconnected.

        An order runs on, since it is not idempotent.
        """
        if self._task is not None and self.request.method == "GET":
            self._task.cancel()

    async def _serve(self, route: str) -> None:
        try:
            request = self._parse_request(route)
            self._task = asyncio.ensure_future(self._entry.serve(request))
            answer = await self._task
        except errors.RequestError as error:
            self._write_request_error(error)
            return
        except asyncio.CancelledError:
            return
        self.write_json(HTTPStatus.OK, _CONVERTER.unstructure(answer))

    def _parse_request(self, route: str) -> caller_messages.CallerRequest:
        try:
            limit = int(self.get_query_argument("limit", "10"))
            body = self.request.body.decode()
        except ValueError:
            raise errors.RequestError(
                errors.ErrorCode.BAD_REQUEST,
                api.Outcome.NOT_RUN,
                "limit is not a number, or the body is not UTF-8",
            ) from None
        scheme, _, secret = self.request.headers.get(
            "Authorization", ""
        ).partition(" ")
        has_bearer_secret = scheme.lower() == "bearer" and secret
        return caller_messages.CallerRequest(
            route=route,
            method=self.request.method or "",
            secret=secret.strip() if has_bearer_secret else None,
            record_id=self.get_query_argument("id", ""),
            query=self.get_query_argument("q", ""),
            limit=limit,
            body=body,
            idempotency_key=self.request.headers.get("Idempotency-Key"),
        )

    def _write_request_error(self, error: errors.RequestError) -> None:
        if error.retry_after_s is not None:
            retry_after_s = max(1, round(error.retry_after_s + 0.5))
            self.set_header("Retry-After", str(retry_after_s))
        body: dict[str, Any] = {
            "error": {
                "code": error.code.identifier,
                "name": error.code.name,
                "detail": error.detail,
            },
            "outcome": error.outcome.value,
        }
        if error.key_outcome is not None:
            body["key_outcome"] = error.key_outcome.value
        self.write_json(error.code.status, body)


class _InnerHandler(JsonHandler):
    def write_malformed(self, error: codec.ProtocolError) -> None:
        """Logs a malformed message and answers with the error."""
        events.log(
            events.Event.INNER_MESSAGE_MALFORMED,
            peer=self.request.remote_ip,
            detail=str(error),
        )
        self.write_json(
            HTTPStatus.BAD_REQUEST,
            {"error": {"code": error.code, "detail": str(error)}},
        )

    def write_message(self, encoded_message: bytes) -> None:
        """Writes an encoded message of the inner protocol."""
        self.set_header("Content-Type", "application/json")
        self.write(encoded_message)


class ExchangeHandler(_InnerHandler):
    """Answers the exchanges that other daemons send."""

    def initialize(self, exchanger: exchanger_lib.Exchanger) -> None:
        """Sets the exchanger that answers."""
        self._exchanger = exchanger

    async def post(self) -> None:
        """Answers one exchange."""
        try:
            self.write_message(
                self._exchanger.handle_exchange(self.request.body)
            )
        except codec.ProtocolError as error:
            self.write_malformed(error)


class _EntryHandler(_InnerHandler):
    def initialize(self, entry: entry_lib.Entry) -> None:
        """Sets the entry that answers."""
        self._entry = entry

    async def post(self) -> None:
        """Answers a message, or reports that it is malformed."""
        try:
            self.write_message(self.reply())
        except codec.ProtocolError as error:
            self.write_malformed(error)

    def reply(self) -> bytes:
        """Returns the encoded reply to the message in the request body.

        Raises:
            codec.ProtocolError: If the message is malformed.
        """
        raise NotImplementedError


class AdmitHandler(_EntryHandler):
    """Admits requests of the client accounts whose home is this entry."""

    def reply(self) -> bytes:
        """Returns the encoded admissions."""
        return self._entry.admission_controller.handle_batch(self.request.body)


class BeginHandler(_EntryHandler):
    """Decides on the idempotency keys whose home is this entry."""

    def reply(self) -> bytes:
        """Returns the encoded verdict on an attempt."""
        request = codec.decode(self.request.body, api.BeginRequest)
        state = self._entry.idempotency_key_home.begin(request)
        return codec.encode(api.BeginReply(state))


class FinishHandler(_EntryHandler):
    """Records the outcomes of attempts with idempotency keys."""

    def reply(self) -> bytes:
        """Records the outcome and returns the encoded acknowledgement."""
        request = codec.decode(self.request.body, api.FinishRequest)
        is_recorded = self._entry.idempotency_key_home.finish(request)
        return codec.encode(api.FinishReply(is_recorded))


class ScatterHandler(_InnerHandler):
    """Runs sub-requests and streams their answers as JSON lines."""

    def initialize(self, relay: relay_lib.Relay) -> None:
        """Sets the relay that runs the sub-requests."""
        self._relay = relay
        self._task: asyncio.Task[None] | None = None

    async def post(self) -> None:
        """Runs the sub-requests of one message."""
        arrived_at = clock.monotonic()
        try:
            request = codec.decode(self.request.body, api.ScatterRequest)
        except codec.ProtocolError as error:
            self.write_malformed(error)
            return
        self._task = asyncio.ensure_future(self._stream(request, arrived_at))
        try:
            await self._task
        except (asyncio.CancelledError, iostream.StreamClosedError):
            return

    def on_connection_close(self) -> None:
        """Cancels the sub-requests when the entry has disconnected."""
        if self._task is not None:
            self._task.cancel()

    async def _stream(
        self, request: api.ScatterRequest, arrived_at: float
    ) -> None:
        self.set_header("Content-Type", "application/x-ndjson")
        # With Nagle's algorithm each line but the first would wait about 40 ms
        # for the delayed acknowledgement of the previous line.
        connection = self.request.connection
        if isinstance(connection, http1connection.HTTP1Connection):
            connection.stream.set_nodelay(True)
        answers = self._relay.serve(request, arrived_at)
        async with contextlib.aclosing(answers):
            async for answer in answers:
                self.write(codec.encode(answer) + b"\n")
                await self.flush()
