"""Reads the signals of targets from the headers of their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import target_signals
from cassiahead_gateway import api
from cassiahead_gateway import catalogue as catalogue_lib
from cassiahead_gateway import headers as headers_lib
from cassiahead_gateway import outgoing_request
from cassiahead_telemetry import events

if TYPE_CHECKING:
    from cassiahead_wire import connection as connection_lib

__all__ = ["TargetSignalReader"]

_LEAVING_VALUE = "1"
_UNAVAILABLE_STATUS = 503


@attrs.frozen(eq=False)
class TargetSignalReader:
    """Records what targets ask for in their responses, and logs it."""

    _header_names: headers_lib.HeaderNames
    _catalogue: catalogue_lib.Catalogue
    _signals: target_signals.TargetSignals

    def read(
        self,
        target: api.Target,
        request: outgoing_request.OutgoingRequest,
        response: connection_lib.Response,
        now: float,
    ) -> None:
        """Records the signals of a complete response of any status.

        A response to another request has no effect, nor has one of a target
        that was replaced or has gone in the meantime.

        Args:
            target: Target that the request was sent to.
            request: Request that was sent.
            response: Response read from the same connection.
            now: Time in seconds on this process's monotonic clock.
        """
        names = self._header_names
        if names.leaving not in response.headers and (
            names.retry_after not in response.headers
        ):
            return
        if not names.answers_request(response.headers, request.request_id):
            return
        if not self._catalogue.knows_incarnation(target):
            return
        if _LEAVING_VALUE in response.headers.get_list(names.leaving):
            self._record_leaving(target, now)
        if response.status == _UNAVAILABLE_STATUS:
            for value in response.headers.get_list(names.retry_after):
                self._record_retry_after(target, value, now)

    def _record_leaving(self, target: api.Target, now: float) -> None:
        if self._signals.record_leaving(target.id, now):
            events.log(
                events.Event.TARGET_ANNOUNCED_LEAVING,
                target=target.id,
                service=target.service,
                drain_s=self._signals.drain_s,
            )

    def _record_retry_after(
        self, target: api.Target, value: str, now: float
    ) -> None:
        delay_s = target_signals.parse_retry_after(value)
        if delay_s is not None and self._signals.record_retry_after(
            target.id, delay_s, now
        ):
            events.log(
                events.Event.TARGET_SENT_RETRY_AFTER,
                ordinary=True,
                target=target.id,
                service=target.service,
                silent_s=delay_s,
            )
