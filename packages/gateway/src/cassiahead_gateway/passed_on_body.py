"""A connection to a target while the body of a long response is passed on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from cassiahead_gateway import connection_table
from cassiahead_wire import body_stream
from cassiahead_wire import clock
from cassiahead_wire import connection as connection_lib

__all__ = ["PassedOnBody"]


@attrs.define(eq=False)
class PassedOnBody:
    """Gives the connection back once the body is complete, or closes it.

    The connection is closed at the deadline of the request, or once the body's
    reader reads no more.
    """

    _stream: body_stream.BodyStream
    _checkout: connection_table.Checkout
    _on_error: Callable[[connection_lib.TransportError], None]
    _timer: asyncio.TimerHandle | None = None
    _has_ended: bool = False

    @classmethod
    def start(
        cls,
        stream: body_stream.BodyStream,
        checkout: connection_table.Checkout,
        deadline: float,
        on_error: Callable[[connection_lib.TransportError], None],
    ) -> PassedOnBody:
        """Takes over a connection on which a body is arriving.

        Args:
            stream: Stream of the body.
            checkout: The connection.
            deadline: When the body must be complete, in seconds on this
                process's monotonic clock.
            on_error: Called if the target doesn't send the whole body.
        """
        body = cls(stream, checkout, on_error)
        stream.on_release = body._close
        body._timer = asyncio.get_running_loop().call_later(
            max(0.0, deadline - clock.monotonic()), body._cut_off
        )
        return body

    def handle_end(self) -> None:
        """Handles the end of the response; called by the connection."""
        connection = self._checkout.connection
        if self._has_ended or connection is None:
            return
        self._end()
        try:
            connection.take_response()
        except connection_lib.TransportError as error:
            self._stream.cut_off()
            self._checkout.drop(error.kind)
            self._on_error(error)
        else:
            self._stream.finish()
            self._checkout.put_back()

    def _cut_off(self) -> None:
        self._stream.cut_off()
        self._close()

    def _close(self) -> None:
        if not self._has_ended:
            self._end()
            self._checkout.drop()

    def _end(self) -> None:
        self._has_ended = True
        if self._timer is not None:
            self._timer.cancel()
