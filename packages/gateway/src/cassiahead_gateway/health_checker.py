"""Sends health checks to targets while the configuration service is away.

A health check response tells whether a target is in cold start, which its
record can't tell during an outage.
"""

from __future__ import annotations

import asyncio
import re

import attrs

from cassiahead_decisions import health_checks
from cassiahead_decisions import target_signals
from cassiahead_gateway import api
from cassiahead_gateway import catalogue as catalogue_lib
from cassiahead_gateway import connection_table
from cassiahead_gateway import headers as headers_lib
from cassiahead_gateway import metrics as metrics_lib
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection as connection_lib

__all__ = ["HealthChecker"]

_RESPONSE_TIMEOUT_S = 0.5
# At most about a day.
_MILLISECONDS_PATTERN = re.compile(r"[0-9]{1,8}(\.[0-9]{1,9})?")


@attrs.define(eq=False)
class HealthChecker:
    """Learns of cold starts by health checks and from crashes.

    Has no effect unless the records are old; see ``health_checks``. All times
    are seconds on this process's monotonic clock.
    """

    _header_names: headers_lib.HeaderNames
    _connections: connection_table.ConnectionTable
    _catalogue: catalogue_lib.Catalogue
    _signals: target_signals.TargetSignals
    _metrics: metrics_lib.Metrics
    _schedule: health_checks.HealthCheckSchedule = attrs.field(
        factory=health_checks.HealthCheckSchedule
    )
    _timer: asyncio.TimerHandle | None = None
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def record_suspicion(self, target_id: str, now: float) -> None:
        """Records a slow or failed response, and sends the checks that are due.

        Args:
            target_id: Id of the target.
            now: Current time.
        """
        self._schedule.record_suspicion(
            target_id, self._catalogue.age_s(now), now
        )
        if self._timer is None:
            self._send_due()

    def record_crash(self, target: api.Target, now: float) -> None:
        """Treats a crashed target as cold for the cold start of its service.

        Args:
            target: The target.
            now: Current time.
        """
        service = self._service_of(target)
        if service is not None and health_checks.are_records_old(
            self._catalogue.age_s(now)
        ):
            self._mark_cold(target, service.cold_start_s, "crash", now)

    def forget_target(self, target_id: str) -> None:
        """Drops the state of a target that is gone."""
        self._schedule.forget_target(target_id)

    def _send_due(self) -> None:
        self._timer = None
        now = clock.monotonic()
        target_id = self._schedule.take_due(self._catalogue.age_s(now), now)
        if target_id is not None:
            self._start_check(target_id)
        delay_s = self._schedule.next_due_in_s(now)
        if delay_s is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._send_due)

    def _start_check(self, target_id: str) -> None:
        target = self._catalogue.find_target(target_id)
        service = self._service_of(target) if target is not None else None
        if target is None or service is None or not service.health_check_path:
            return
        if not self._signals.may_send(target_id, clock.monotonic()):
            return
        task = asyncio.ensure_future(
            self._check(target, service.health_check_path)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, target: api.Target, path: str) -> None:
        try:
            response = await self._request(target, path)
        except connection_lib.TransportError as error:
            self._metrics.health_checks.add("failed")
            events.log(
                events.Event.TARGET_CHECKED,
                target=target.id,
                fault=error.kind.value,
            )
            return
        cold_s = self._cold_s(target, response)
        if cold_s is None:
            self._metrics.health_checks.add("unusable")
            events.log(
                events.Event.TARGET_CHECKED,
                target=target.id,
                fault="unusable response",
            )
            return
        self._metrics.health_checks.add("cold" if cold_s else "warm")
        events.log(events.Event.TARGET_CHECKED, target=target.id, cold_s=cold_s)
        self._mark_cold(target, cold_s, "health check", clock.monotonic())

    async def _request(
        self, target: api.Target, path: str
    ) -> connection_lib.Response:
        checkout = self._connections.check_out(target.id, target.address)
        connection = await checkout.connect()
        try:
            response = await connection.request(
                "GET", path, b"", _RESPONSE_TIMEOUT_S
            )
        except connection_lib.TransportError as error:
            checkout.drop(error.kind)
            raise
        except BaseException:
            checkout.drop()
            raise
        checkout.put_back()
        return response

    def _cold_s(
        self, target: api.Target, response: connection_lib.Response
    ) -> float | None:
        """Returns the seconds of cold start left; 0 for a warm target.

        Returns:
            None if the response is another target's or its time is malformed.
        """
        names = self._header_names
        # Another target may run at the address by now.
        if response.headers.get(names.instance) != target.id:
            return None
        text = response.headers.get(names.cold_ms, "0").strip()
        if not _MILLISECONDS_PATTERN.fullmatch(text):
            return None
        return float(text) / 1000

    def _mark_cold(
        self, target: api.Target, cold_s: float, reason: str, now: float
    ) -> None:
        if cold_s <= 0 or not self._catalogue.mark_cold(target, cold_s, now):
            return
        events.log(
            events.Event.TARGET_COLD,
            target=target.id,
            reason=reason,
            cold_s=round(cold_s, 2),
        )

    def _service_of(self, target: api.Target) -> api.Service | None:
        router = self._catalogue.router
        if router is None:
            return None
        return router.configuration.services.get(target.service)
