"""Passes the outcomes of attempts to the ramp-up of targets, and logs it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import hedging
from cassiahead_decisions import recovery_pace
from cassiahead_decisions import target_signals
from cassiahead_gateway import api
from cassiahead_gateway import catalogue as catalogue_lib
from cassiahead_gateway import metrics as metrics_lib
from cassiahead_telemetry import events
from cassiahead_wire import clock

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["TargetPacer"]


@attrs.define(eq=False)
class TargetPacer:
    """Records what attempts show about targets that may be ramping up.

    Outcomes of attempts at a target that was replaced or has gone have no
    effect. All times are seconds on this process's monotonic clock.

    Attributes:
        pace: Ramp-ups of this process.
    """

    pace: recovery_pace.RecoveryPace
    _catalogue: catalogue_lib.Catalogue
    _signals: target_signals.TargetSignals
    # Ramping targets of which a bad answer has been logged.
    _halved_targets: set[str] = attrs.field(factory=set)

    def begin(self, target_id: str, starts_at: float) -> None:
        """Begins the ramp-up of a target that has started.

        Args:
            target_id: Id of the target.
            starts_at: When its cold start ends or has ended.
        """
        is_cold = starts_at > clock.monotonic()
        if self.pace.begin(target_id, starts_at, is_cold):
            self._log_begun(target_id, "started")

    def observe_answer(
        self,
        target: api.Target,
        latency_s: float,
        latencies: hedging.LatencyWindow,
        now: float,
    ) -> None:
        """Records a good answer, which may have come late.

        Args:
            target: Target of the attempt.
            latency_s: Seconds since the request was sent.
            latencies: Recent latencies of attempts on the same route.
            now: Current time.
        """
        if not self._catalogue.knows_incarnation(target):
            return
        usual_s = latencies.median_s
        share = self.pace.share(target.id, now)
        if self.pace.record_answer(target.id, latency_s, usual_s, now):
            self._log_begun(target.id, "recovered")
        self._log_halved(target.id, share, now)

    def observe_bad_answer(
        self, target: api.Target, latencies: hedging.LatencyWindow, now: float
    ) -> None:
        """Records a refusal, or a lost, invalid or bad answer."""
        self._record_bad(target, 0.0, latencies.median_s, now)

    def observe_failure(self, target: api.Target, now: float) -> None:
        """Records that a target could not be connected to."""
        if not self._catalogue.knows_incarnation(target):
            return
        share = self.pace.share(target.id, now)
        if self.pace.record_failure(target.id, now):
            self._log_begun(target.id, "failed")
        self._log_halved(target.id, share, now)

    def observe_abandoned(
        self,
        target: api.Target,
        elapsed_s: float,
        latencies: hedging.LatencyWindow,
        now: float,
    ) -> bool:
        """Records an attempt that was given up without an answer.

        Returns:
            Whether it has already taken so long that it counts as bad.
        """
        self.pace.record_ended(target.id)
        is_late = recovery_pace.is_bad_latency(elapsed_s, latencies.median_s)
        if is_late:
            self._record_bad(target, elapsed_s, latencies.median_s, now)
        return is_late

    def observe_late_answer(
        self,
        target: api.Target,
        latency_s: float,
        latencies: hedging.LatencyWindow,
        now: float,
    ) -> None:
        """Records an answer to an abandoned attempt if it took too long.

        Its status is not examined, so that it never counts as good.
        """
        if recovery_pace.is_bad_latency(latency_s, latencies.median_s):
            self._record_bad(target, latency_s, latencies.median_s, now)

    def observe_silence(
        self, target: api.Target, started_at: float, now: float
    ) -> None:
        """Records that an abandoned attempt was never answered."""
        if not self._catalogue.knows_incarnation(target):
            return
        if self.pace.record_silence(target.id, started_at, now):
            self._log_begun(target.id, "failed")

    def update(self, bad_targets: Collection[str], now: float) -> None:
        """Records the fleet's sightings, and ends complete ramp-ups.

        Args:
            bad_targets: Ids of the targets that the fleet has seen to be bad.
            now: Current time.
        """
        for target_id in filter(self._catalogue.knows_target, bad_targets):
            self.pace.record_sighting(target_id, now)
        for target_id in self.pace.end_complete(now):
            events.log(
                events.Event.RAMP_UP_ENDED, ordinary=True, target=target_id
            )
        self._halved_targets = {
            t for t in self._halved_targets if self.pace.is_ramping(t)
        }

    def add_gauges(self, metrics: metrics_lib.Metrics) -> None:
        """Registers the metrics of the ramp-ups."""
        metrics.add_gauge(
            "cassiahead_ramping_targets",
            "Targets that have started or recovered and ramp up",
            lambda: self.pace.ramping_count,
        )
        metrics.add_gauge(
            "cassiahead_lowest_target_share",
            "Lowest share of the usual load of any target",
            lambda: self.pace.lowest_share(clock.monotonic()),
        )

    def _record_bad(
        self,
        target: api.Target,
        elapsed_s: float,
        usual_s: float | None,
        now: float,
    ) -> None:
        if not self._catalogue.knows_incarnation(target):
            return
        share = self.pace.share(target.id, now)
        if self.pace.record_bad(
            target.id,
            elapsed_s,
            usual_s,
            now,
            self._signals.silent_until(target.id, now),
        ):
            self._log_begun(target.id, "first answer was bad")
        self._log_halved(target.id, share, now)

    def _log_begun(self, target_id: str, reason: str) -> None:
        events.log(
            events.Event.RAMP_UP_BEGUN,
            ordinary=True,
            target=target_id,
            reason=reason,
        )

    def _log_halved(
        self, target_id: str, previous_share: float, now: float
    ) -> None:
        """Logs the first bad answer of a ramp-up."""
        share = self.pace.share(target_id, now)
        if share >= previous_share or target_id in self._halved_targets:
            return
        if self.pace.is_ramping(target_id):
            self._halved_targets.add(target_id)
            events.log(
                events.Event.RAMP_UP_HALVED,
                ordinary=True,
                target=target_id,
                share=round(share, 3),
            )
