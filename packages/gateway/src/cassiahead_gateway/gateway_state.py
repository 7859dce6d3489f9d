"""State that the components of one gateway share."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import cold_start
from cassiahead_decisions import fleet_load
from cassiahead_decisions import fleet_quota
from cassiahead_decisions import hedging
from cassiahead_decisions import peer_table
from cassiahead_decisions import poison
from cassiahead_decisions import record_freshness
from cassiahead_decisions import recovery_pace
from cassiahead_decisions import replicas
from cassiahead_decisions import reply_margin as reply_margin_lib
from cassiahead_decisions import target_sightings
from cassiahead_decisions import target_signals
from cassiahead_decisions import token_bucket
from cassiahead_decisions import traffic_split
from cassiahead_gateway import api
from cassiahead_gateway import attempt_sender as attempt_sender_lib
from cassiahead_gateway import capacity_queue as capacity_queue_lib
from cassiahead_gateway import catalogue as catalogue_lib
from cassiahead_gateway import connection_table
from cassiahead_gateway import crash_detector as crash_detector_lib
from cassiahead_gateway import destinations
from cassiahead_gateway import fleet_size as fleet_size_lib
from cassiahead_gateway import health_checker as health_checker_lib
from cassiahead_gateway import metrics as metrics_lib
from cassiahead_gateway import queue_refusals
from cassiahead_gateway import settings as settings_lib
from cassiahead_gateway import target_observer
from cassiahead_gateway import target_pacer as target_pacer_lib
from cassiahead_gateway import target_selection
from cassiahead_gateway import target_signal_reader
from cassiahead_wire import clock

if TYPE_CHECKING:
    from cassiahead_gateway import decoded_records

__all__ = ["GatewayState"]

# Fraction of the fleet's bound on hedges and retries that is used, since hosts
# know the size of the fleet only approximately.
_EXTRA_LOAD_FRACTION = 0.85
# Number of target crashes at which a request is refused.
_CRASH_THRESHOLD = 3
# Longest time without requests to a target that failed. Within about this time
# a crashed target has restarted, or its record has been deleted.
_MAX_EJECTION_S = 4.0
# The weight of a replica in the choice is its cost to the power of minus this.
# Of three replicas, one that costs 1.5 times as much as the others gets 1 in 50
# of the requests, enough to notice when it recovers.
_COST_EXPONENT = 8.0
# Latency added to the cost of a target in another failure domain: twice the
# network latency between failure domains of one region.
_CROSS_DOMAIN_PENALTY_S = 0.006
# Cost of a bad answer (a refusal, an invalid response or a lost connection), in
# seconds of latency: the latency objective of most searches, which a bad answer
# puts at risk.
_BAD_ANSWER_PENALTY_S = 0.1
# Quantile of a route's attempt latencies at which an early hedge is sent. The
# fraction of slower attempts equals the default bound on hedges and retries
# (``RetryBound.ratio``).
_HEDGE_QUANTILE = 0.8
# Delay of a late hedge, and longest delay of an early one, as a fraction of the
# latency objective, within which the answer must still arrive.
_LATE_HEDGE_DELAY_FRACTION = 0.35


@attrs.define(eq=False)
class GatewayState:
    """Identity, published records and decision state of one gateway process.

    Attributes:
        settings: Settings of this gateway.
        process_name: Name of this process, new at each start.
        started_at: When this process started, in seconds on its monotonic
            clock.
        rng: Random number generator for all decisions.
        catalogue: Configuration and targets known to this process.
        freshness: Last reads of the configuration service, by all processes.
        peers: Other processes of the fleet.
        fleet_size: Number of hosts to divide fleet-wide bounds by.
        quota: Fleet-wide token buckets of client accounts.
        load: Load and admission level of destinations, over the fleet.
        connections: Connections to targets.
        replica_chooser: Chooses among the replicas of a service.
        target_selector: Chooses targets that may get a request.
        sightings: Bad targets, as this process and its peers have seen them.
        signals: What targets have asked this process for in their responses.
        target_pacer: Paces targets that have started or recovered.
        attempt_sender: Sends attempts to targets.
        crash_detector: Detects requests that crash targets.
        cold_start_limiter: Limits requests to targets in cold start.
        reply_margin: How long before its objective a search is answered.
        metrics: Counters and histograms.
        capacity_queue: Requests that wait for targets with capacity.
    """

    settings: settings_lib.Settings
    process_name: str
    started_at: float
    rng: random.Random
    catalogue: catalogue_lib.Catalogue
    freshness: record_freshness.RecordFreshness
    peers: peer_table.PeerTable
    fleet_size: fleet_size_lib.FleetSize
    quota: fleet_quota.FleetQuota
    load: fleet_load.FleetLoad
    connections: connection_table.ConnectionTable
    replica_chooser: replicas.ReplicaChooser
    target_selector: target_selection.TargetSelector
    sightings: target_sightings.FleetSightings
    signals: target_signals.TargetSignals
    target_pacer: target_pacer_lib.TargetPacer
    attempt_sender: attempt_sender_lib.AttemptSender
    crash_detector: crash_detector_lib.CrashDetector
    cold_start_limiter: cold_start.ColdStartLimiter
    metrics: metrics_lib.Metrics
    capacity_queue: capacity_queue_lib.CapacityQueue
    reply_margin: reply_margin_lib.ReplyMargin = attrs.field(
        factory=reply_margin_lib.ReplyMargin
    )
    _budget_by_service: dict[str, hedging.ExtraLoadBudget] = attrs.field(
        factory=dict
    )
    _latency_window_by_route: dict[str, hedging.LatencyWindow] = attrs.field(
        factory=dict
    )
    _traffic_split_by_route: dict[str, traffic_split.TrafficSplit] = (
        attrs.field(factory=dict)
    )

    @classmethod
    def from_settings(
        cls,
        settings: settings_lib.Settings,
        decode: decoded_records.RecordDecoder,
        rng: random.Random,
    ) -> GatewayState:
        """Creates the state of a process that knows no records and no peers.

        Args:
            settings: Settings of this gateway.
            decode: Decodes the published records.
            rng: Random number generator for all decisions.
        """
        process_name = f"{settings.name}-{rng.getrandbits(48):012x}"
        connections = connection_table.ConnectionTable()
        replica_chooser = replicas.ReplicaChooser(
            settings.failure_domain,
            rng,
            _MAX_EJECTION_S,
            replicas.WeightedRandom(
                _COST_EXPONENT, _CROSS_DOMAIN_PENALTY_S, _BAD_ANSWER_PENALTY_S
            ),
        )
        quota = fleet_quota.FleetQuota()
        load = fleet_load.FleetLoad(clock.monotonic())
        sightings = target_sightings.FleetSightings.at_start(rng)
        signals = target_signals.TargetSignals(settings.target_drain_ms / 1000)
        pace = recovery_pace.RecoveryPace(rng, settings.ramp_up)
        cold_start_limiter = cold_start.ColdStartLimiter(settings.cold.slack)

        def on_configuration(configuration: api.Configuration) -> None:
            limits = {
                account.name: token_bucket.RateLimit(
                    account.rate_per_s, account.burst
                )
                for account in configuration.accounts.values()
            }
            now = clock.monotonic()
            quota.set_limits(limits, now)
            if settings.fleet_admission:
                load.set_priorities(
                    destinations.priorities_by_digest(configuration), now
                )
            capacity_queue.set_configuration(configuration)

        def on_target_gone(target_id: str) -> None:
            connections.close_target(target_id)
            replica_chooser.forget_target(target_id)
            cold_start_limiter.forget_target(target_id)
            sightings.forget_target(target_id)
            signals.forget_target(target_id)
            health_checker.forget_target(target_id)
            pace.forget_target(target_id)

        catalogue = catalogue_lib.Catalogue(
            decode, on_configuration, on_target_gone
        )
        metrics = metrics_lib.Metrics()
        health_checker = health_checker_lib.HealthChecker(
            settings.headers, connections, catalogue, signals, metrics
        )
        crash_detector = crash_detector_lib.CrashDetector(
            connections,
            poison.PoisonTable(_CRASH_THRESHOLD),
            health_checker.record_crash,
        )
        target_pacer = target_pacer_lib.TargetPacer(pace, catalogue, signals)
        catalogue.on_target_started = target_pacer.begin
        peers = peer_table.PeerTable(settings.peers, clock.monotonic())
        fleet_size = fleet_size_lib.FleetSize(peers)
        target_selector = target_selection.TargetSelector(
            settings.regions,
            catalogue,
            peers,
            connections,
            replica_chooser,
            cold_start_limiter,
            sightings,
            signals,
            pace,
            fleet_size.recent_size,
        )
        capacity_queue = capacity_queue_lib.CapacityQueue(
            target_selector,
            catalogue,
            metrics,
            queue_refusals.QueueRefusals(metrics),
        )
        connections.on_freed = capacity_queue.record_connection_freed
        catalogue.on_change = capacity_queue.record_targets_changed
        return cls(
            settings=settings,
            process_name=process_name,
            started_at=clock.monotonic(),
            rng=rng,
            catalogue=catalogue,
            freshness=record_freshness.RecordFreshness(),
            peers=peers,
            fleet_size=fleet_size,
            quota=quota,
            load=load,
            connections=connections,
            replica_chooser=replica_chooser,
            target_selector=target_selector,
            sightings=sightings,
            signals=signals,
            target_pacer=target_pacer,
            attempt_sender=attempt_sender_lib.AttemptSender(
                settings.headers,
                connections,
                replica_chooser,
                crash_detector,
                target_observer.TargetObserver(
                    sightings, health_checker.record_suspicion
                ),
                target_signal_reader.TargetSignalReader(
                    settings.headers, catalogue, signals
                ),
                target_pacer,
            ),
            crash_detector=crash_detector,
            cold_start_limiter=cold_start_limiter,
            metrics=metrics,
            capacity_queue=capacity_queue,
        )

    def confirm_records(self, now: float) -> None:
        """Updates the age of the records after reports of reads.

        Args:
            now: Time in seconds on this process's monotonic clock.
        """
        position = self.catalogue.position
        age_s = now - self.freshness.last_read_at(position)
        self.catalogue.confirm(position, age_s, now)

    def budget_for(self, service: str) -> hedging.ExtraLoadBudget:
        """Returns the budget for hedges and retries of a service.

        Its maximum credit is updated to the recent size of the fleet.
        """
        bound = self.settings.retries
        now = clock.monotonic()
        max_credit = (
            _EXTRA_LOAD_FRACTION
            * bound.slack
            / self.fleet_size.recent_size(now)
        )
        budget = self._budget_by_service.get(service)
        if budget is None:
            create = (
                hedging.ExtraLoadBudget.for_new_service
                if now - self.started_at > bound.window_s
                else hedging.ExtraLoadBudget.at_start
            )
            budget = create(_EXTRA_LOAD_FRACTION * bound.ratio, max_credit)
            self._budget_by_service[service] = budget
        budget.max_credit = max_credit
        return budget

    def latency_window_for(self, route: str) -> hedging.LatencyWindow:
        """Returns the recent latencies of a route's attempts.

        Includes failed attempts, and cancelled ones with the time until their
        cancellation.
        """
        window = self._latency_window_by_route.get(route)
        if window is None:
            window = hedging.LatencyWindow(_HEDGE_QUANTILE)
            self._latency_window_by_route[route] = window
        return window

    def hedge_delays(self, route: api.Route) -> tuple[float, float]:
        """Returns the delays after which a request is hedged.

        Args:
            route: Route of the request.

        Returns:
            The delay of early hedges, which must leave most of the budget's
            credit, and the delay of late hedges, which is at least as long;
            both in seconds since the first attempts.
        """
        late_delay_s = _LATE_HEDGE_DELAY_FRACTION * route.latency_objective_s
        return min(
            self.latency_window_for(route.name).hedge_delay_s, late_delay_s
        ), late_delay_s

    def traffic_split_for(self, route: str) -> traffic_split.TrafficSplit:
        """Returns the state of a route's split between weighted services."""
        return self._traffic_split_by_route.setdefault(
            route, traffic_split.TrafficSplit()
        )
