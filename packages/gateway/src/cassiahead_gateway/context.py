"""What the parts of one gateway share."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import cold_start
from cassiahead_decisions import fleet_quota
from cassiahead_decisions import hedging
from cassiahead_decisions import peer_table
from cassiahead_decisions import poison
from cassiahead_decisions import replicas
from cassiahead_decisions import traffic_split
from cassiahead_gateway import attempts
from cassiahead_gateway import catalogue as catalogue_lib
from cassiahead_gateway import connection_table
from cassiahead_gateway import crash_detector
from cassiahead_gateway import metrics as metrics_lib
from cassiahead_gateway import settings as settings_lib
from cassiahead_wire import clock

if TYPE_CHECKING:
    from collections.abc import Collection

    from cassiahead_gateway import api
    from cassiahead_gateway import decoded_records

__all__ = ["Context"]

# Part of the fleet's bound on extra requests that is used, since hosts do not
# know exactly how many they are.
_BUDGET_USED = 0.85
# Hosts assumed before any was heard.
_LEAST_FLEET = 4
# Crashes of targets after which a request is refused.
_MAX_CRASHES = 3
# A target that failed is asked again at least this often, in seconds: crashed
# ones are back, or their entries gone, within about that time.
_LONGEST_EJECTION_S = 4.0
# One replica of three that costs half as much again as the others gets 1 in 50
# of the requests, enough to see it recover.
_COST_POWER = 8.0
# Seconds of latency that traffic between failure domains is worth: twice what
# its way takes where they lie in one region.
_OTHER_DOMAIN_S = 0.006
# Seconds of latency that an attempt without an answer is worth: the target
# latency of most searches, which it puts at risk.
_FAULT_S = 0.1
# Part of a route's attempts that are answered before a second replica is
# asked; the rest is within the budget for extra requests.
_HEDGE_QUANTILE = 0.8
# Latest time for a hedge, as a part of the target latency: its answer must
# still come in time.
_LATEST_HEDGE = 0.35


@attrs.define(eq=False)
class Context:
    """One gateway: who it is, what it believes, and its decisions' state.

    Attributes:
        settings: The settings.
        process: Name of this process, new at each start.
        started_at: When it began, on its clock.
        rng: Random numbers for all decisions.
        catalogue: What is believed of configuration and targets.
        peers: The fleet's other processes.
        quota: Tokens of client accounts over the fleet.
        links: Connections to targets.
        chooser: Which replica is asked.
        sender: Sends attempts.
        crashes: Requests that crash targets.
        cold: What targets in cold start are given.
        metrics: Counters and histograms.
    """

    settings: settings_lib.Settings
    process: str
    started_at: float
    rng: random.Random
    catalogue: catalogue_lib.Catalogue
    peers: peer_table.PeerTable
    quota: fleet_quota.FleetQuota
    connections: connection_table.ConnectionTable
    chooser: replicas.ReplicaChooser
    sender: attempts.Sender
    crashes: crash_detector.CrashDetector
    cold: cold_start.ColdStartLimiter
    metrics: metrics_lib.Metrics
    _budgets: dict[str, hedging.ExtraLoadBudget] = attrs.field(factory=dict)
    _windows: dict[str, hedging.LatencyWindow] = attrs.field(factory=dict)
    _splits: dict[str, traffic_split.TrafficSplit] = attrs.field(factory=dict)

    @classmethod
    def from_settings(
        cls,
        settings: settings_lib.Settings,
        decode: decoded_records.RecordDecoder,
        rng: random.Random,
    ) -> Context:
        """Creates the state of a process that knows nothing yet."""
        process = f"{settings.name}-{rng.getrandbits(48):012x}"
        connections = connection_table.ConnectionTable()
        chooser = replicas.ReplicaChooser(
            settings.failure_domain,
            rng,
            _LONGEST_EJECTION_S,
            replicas.WeightedRandom(_COST_POWER, _OTHER_DOMAIN_S, _FAULT_S),
        )
        quota = fleet_quota.FleetQuota()
        crashes = crash_detector.CrashDetector(
            connections, poison.PoisonTable(_MAX_CRASHES)
        )
        guard = cold_start.ColdStartLimiter(settings.cold.slack, process)

        def on_configuration(configuration: api.Configuration) -> None:
            limits = {
                account.name: fleet_quota.RateLimit(
                    account.rate_per_s, account.burst
                )
                for account in configuration.accounts.values()
            }
            quota.set_limits(limits, clock.monotonic())

        def on_target_gone(target: str) -> None:
            connections.close_target(target)
            chooser.forget_target(target)
            guard.forget_target(target)

        return cls(
            settings=settings,
            process=process,
            started_at=clock.monotonic(),
            rng=rng,
            catalogue=catalogue_lib.Catalogue(
                decode, on_configuration, on_target_gone
            ),
            peers=peer_table.PeerTable(process, settings.peers),
            quota=quota,
            connections=connections,
            chooser=chooser,
            sender=attempts.Sender(
                settings.headers, connections, chooser, crashes
            ),
            crashes=crashes,
            cold=guard,
            metrics=metrics_lib.Metrics(),
        )

    def fleet_size(self) -> int:
        """Returns the number of hosts to divide the fleet's bounds by."""
        return max(_LEAST_FLEET, self.peers.fleet_size())

    def budget(self, service: str) -> hedging.ExtraLoadBudget:
        """Returns the budget for extra requests to a service."""
        bound = self.settings.retries
        reserve = _BUDGET_USED * bound.slack / self.fleet_size()
        budget = self._budgets.get(service)
        if budget is None:
            budget = hedging.ExtraLoadBudget.at_start(
                _BUDGET_USED * bound.ratio, reserve
            )
            self._budgets[service] = budget
        budget.max_credit = reserve
        return budget

    def window(self, route: str) -> hedging.LatencyWindow:
        """Returns the recent latencies of a route's attempts."""
        window = self._windows.get(route)
        if window is None:
            window = hedging.LatencyWindow(_HEDGE_QUANTILE)
            self._windows[route] = window
        return window

    def hedge_delays(self, route: api.Route) -> tuple[float, float]:
        """Returns when a second replica is asked, in seconds.

        Returns:
            The time from which it is asked if there is credit to spare, and
            the one from which it is asked at any rate.
        """
        latest = _LATEST_HEDGE * route.latency_objective_s
        return min(self.window(route.name).hedge_delay_s, latest), latest

    def split(self, route: str) -> traffic_split.TrafficSplit:
        """Returns the running split of a route."""
        return self._splits.setdefault(route, traffic_split.TrafficSplit())

    def choose(
        self, service: str, tried: Collection[str], homes: Collection[str]
    ) -> api.Target | None:
        """Chooses the target of a service that is asked next.

        Args:
            service: The service.
            tried: Targets that this request was sent to already.
            homes: Regions whose targets may run it; empty for all.

        Returns:
            The target; None if none may be asked now.
        """
        now = clock.monotonic()
        usable = self._usable(service, homes)
        fresh = [t for t in usable if t.id not in tried]
        warm = [t for t in fresh if not self.catalogue.is_cold(t.id, now)]
        if warm:
            return self._best(warm, now)
        others = [p.process for p in self.peers.reachable_peers(now)]
        for target in fresh:
            if self.cold.try_admit(target.id, others, now):
                return target
        return None

    def has_targets(self, service: str, homes: Collection[str]) -> bool:
        """Returns whether a service has a target that may well answer.

        Targets that were found dead are asked again when they are no longer
        avoided; until then a request need not wait for them.
        """
        now = clock.monotonic()
        candidates = self._allowed(service, homes)
        if self.chooser.in_panic_mode(now):
            return bool(candidates)
        return any(not self.chooser.is_ejected(t.id, now) for t in candidates)

    def has_room(self, service: str, homes: Collection[str]) -> bool:
        """Returns whether a target that may well answer takes a request now."""
        now = clock.monotonic()
        return any(
            not self.chooser.is_ejected(t.id, now)
            and not self.catalogue.is_cold(t.id, now)
            for t in self._usable(service, homes)
        )

    def _usable(self, service: str, homes: Collection[str]) -> list[api.Target]:
        """Returns the targets that have room for another request."""
        router = self.catalogue.router
        described = router and router.configuration.services.get(service)
        if not described:
            return []
        fleet_size = self.fleet_size()
        cap = connection_table.connection_cap(
            described.max_connections, fleet_size
        )
        return [
            t
            for t in self._allowed(service, homes)
            if self.connections.has_capacity(
                t.id,
                min(cap, connection_table.request_cap(t.slots, fleet_size)),
            )
        ]

    def _allowed(
        self, service: str, homes: Collection[str]
    ) -> list[api.Target]:
        """Returns the targets that may run a request."""
        regions = self.settings.regions
        return [
            t
            for t in self.catalogue.available_targets(service)
            if not homes or regions.get(t.failure_domain) in homes
        ]

    def _best(self, warm: list[api.Target], now: float) -> api.Target:
        by_id = {t.id: t for t in warm}
        domains = {t.id: t.failure_domain for t in warm}
        chosen = self.chooser.choose_among(domains, now)
        assert chosen is not None
        return by_id[chosen]
