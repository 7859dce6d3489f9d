"""Chooses targets that may get a request now.

Load pattern: many requests at once, of which each target may get only as many
as this host's share of its connections and slots allows, while some targets are
cold or ejected.
"""

from __future__ import annotations

from collections.abc import Callable
import math
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import cold_start
from cassiahead_decisions import peer_table
from cassiahead_decisions import recovery_pace
from cassiahead_decisions import replicas
from cassiahead_decisions import target_sightings
from cassiahead_decisions import target_signals
from cassiahead_gateway import api
from cassiahead_gateway import catalogue as catalogue_lib
from cassiahead_gateway import connection_table
from cassiahead_wire import clock

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["ServiceTargets", "TargetSelector"]

# Cost factor of a target without an idle connection: opening one takes time,
# and one of the target's slots. A host that rarely sends requests therefore
# mostly returns to the targets that it has connections to.
_UNCONNECTED_COST_FACTOR = 1.5
# Cost factor of a target that the fleet has seen to be bad: it is chosen only
# if all others are worse.
_BAD_TARGET_COST_FACTOR = 20.0
# The share of a target that ramps up grows all the time.
_RAMP_UP_CHECK_INTERVAL_S = 0.05


@attrs.frozen(eq=False)
class ServiceTargets:
    """The targets of a service that may get a request now.

    Attributes:
        has_available: Whether a target is available: it may get the request and
            is not ejected, with or without capacity. Targets are ejected
            (avoided for a time) after a failure; a request need not wait for
            them. In panic mode, in which most targets are ejected, ejections
            are ignored.
        warm_capacity_count: Number of warm targets with capacity that are not
            ejected. Ejected targets do not count even in panic mode.
        has_warm: Whether a warm target that is not ejected exists, with or
            without capacity: with fewer requests, one would have capacity.
        with_capacity: The targets with capacity for another request, including
            cold and ejected ones.
        usable_at: If no target is available, when the first target that is
            excluded only for its Retry-After may get requests again, in seconds
            on this process's monotonic clock; None if there is none.
    """

    has_available: bool
    warm_capacity_count: int
    has_warm: bool
    with_capacity: list[api.Target]
    usable_at: float | None = None


@attrs.define(eq=False)
class TargetSelector:
    """Chooses among the targets of a service."""

    _region_by_domain: dict[str, str]
    _catalogue: catalogue_lib.Catalogue
    _peers: peer_table.PeerTable
    _connections: connection_table.ConnectionTable
    _replica_chooser: replicas.ReplicaChooser
    _cold_start_limiter: cold_start.ColdStartLimiter
    _sightings: target_sightings.FleetSightings
    _signals: target_signals.TargetSignals
    _pace: recovery_pace.RecoveryPace
    _fleet_size: Callable[[float], int]

    def choose(
        self,
        service: str,
        tried_target_ids: Collection[str],
        allowed_regions: Collection[str],
    ) -> api.Target | None:
        """Chooses a target for the next attempt of a request.

        A target in cold start is chosen only if no untried warm target has
        capacity, and only as often as the fleet-wide limit allows. Each such
        choice counts towards the limit.

        Args:
            service: Name of the service.
            tried_target_ids: Ids of targets that must not be chosen, since they
                got the request already.
            allowed_regions: Regions whose targets may run the request; empty
                for all.

        Returns:
            The target; None if no target can take the request now.
        """
        targets = self.examine(service, allowed_regions)
        return self.choose_among(targets, tried_target_ids)

    def choose_among(
        self, targets: ServiceTargets, tried_target_ids: Collection[str]
    ) -> api.Target | None:
        """Chooses a target like ``choose``, among examined targets.

        Args:
            targets: Result of ``examine``, without a wait since.
            tried_target_ids: Ids of targets that must not be chosen.

        Returns:
            The target; None if no target can take the request now.
        """
        untried_targets = [
            t for t in targets.with_capacity if t.id not in tried_target_ids
        ]
        now = clock.monotonic()
        warm_targets = [
            t for t in untried_targets if not self._catalogue.is_cold(t.id, now)
        ]
        if warm_targets:
            return self._choose_warm_target(warm_targets, now)
        for target in untried_targets:
            if self._cold_start_limiter.try_admit(
                target.id, self._peers.rank, now
            ):
                return target
        return None

    def examine(
        self, service: str, allowed_regions: Collection[str]
    ) -> ServiceTargets:
        """Examines each target of a service once.

        Args:
            service: Name of the service.
            allowed_regions: Regions whose targets may run the request; empty
                for all.
        """
        now = clock.monotonic()
        router = self._catalogue.router
        service_settings = router and router.configuration.services.get(service)
        fleet_size = self._fleet_size(now)
        host_connection_limit = (
            connection_table.connection_limit(
                service_settings.max_connections, fleet_size
            )
            if service_settings
            else 0
        )
        recorded_targets = self._permitted_targets(service, allowed_regions)
        not_ejected_ids = {
            t.id
            for t in recorded_targets
            if not self._replica_chooser.is_ejected(t.id, now)
        }
        permitted_targets = self._without_signals(
            recorded_targets, not_ejected_ids, now
        )
        not_ejected_ids &= {t.id for t in permitted_targets}
        with_capacity = [
            target
            for target in permitted_targets
            if host_connection_limit
            and self._connections.has_capacity(
                target.id,
                min(
                    host_connection_limit,
                    connection_table.request_limit(target.slots, fleet_size),
                ),
            )
            and (
                self._catalogue.is_cold(target.id, now)
                or self._pace.may_send(target.id, target.slots, fleet_size, now)
            )
        ]
        has_available = bool(not_ejected_ids) or (
            bool(permitted_targets)
            and self._replica_chooser.is_in_panic_mode(now)
        )
        return ServiceTargets(
            has_available,
            sum(
                t.id in not_ejected_ids
                and not self._catalogue.is_cold(t.id, now)
                for t in with_capacity
            ),
            bool(host_connection_limit)
            and any(
                not self._catalogue.is_cold(target_id, now)
                for target_id in not_ejected_ids
            ),
            with_capacity,
            None
            if has_available
            else self._signals.first_silence_end(
                (t.id for t in recorded_targets), now
            ),
        )

    def _without_signals(
        self,
        targets: list[api.Target],
        not_ejected_ids: Collection[str],
        now: float,
    ) -> list[api.Target]:
        """Returns the targets that are not excluded for their own signals."""
        if self._signals.is_empty:
            return targets
        healthy_ids = {
            target_id
            for target_id in not_ejected_ids
            if not self._catalogue.is_cold(target_id, now)
        }
        usable_ids = self._signals.usable_targets(
            [t.id for t in targets], healthy_ids, now
        )
        return [t for t in targets if t.id in usable_ids]

    def can_choose(self, targets: ServiceTargets) -> bool:
        """Returns whether ``choose_among`` would return a target.

        Args:
            targets: Result of ``examine``, without a wait since.
        """
        now = clock.monotonic()
        return any(
            not self._catalogue.is_cold(target.id, now)
            or self._cold_start_limiter.next_admission_at(
                target.id, self._peers.rank
            )
            <= now
            for target in targets.with_capacity
        )

    def next_change_at(
        self, service: str, allowed_regions: Collection[str]
    ) -> float:
        """Returns when the capacity of a service next changes by itself.

        That is the end of a back-off, an ejection, a cold start or a time that
        a target asked for, or the next request that a cold target may get.

        Args:
            service: Name of the service.
            allowed_regions: Regions whose targets may run the request; empty
                for all.

        Returns:
            Seconds on this process's monotonic clock, in the future; infinite
            if there is no such time.
        """
        now = clock.monotonic()
        changes_at = [
            change_at
            for target in self._permitted_targets(service, allowed_regions)
            for change_at in self._changes_at(target.id, now)
        ]
        return min((t for t in changes_at if t > now), default=math.inf)

    def _changes_at(self, target_id: str, now: float) -> list[float]:
        changes_at = [
            self._connections.next_open_at(target_id),
            self._replica_chooser.ejection_ends_at(target_id, now),
        ]
        if self._pace.is_ramping(target_id):
            changes_at.append(now + _RAMP_UP_CHECK_INTERVAL_S)
        silence_ends_at = self._signals.silent_until(target_id, now)
        if silence_ends_at is not None:
            changes_at.append(silence_ends_at)
        if self._catalogue.is_cold(target_id, now):
            changes_at += [
                self._catalogue.cold_start_ends_at(target_id),
                self._cold_start_limiter.next_admission_at(
                    target_id, self._peers.rank
                ),
            ]
        return changes_at

    def _permitted_targets(
        self, service: str, allowed_regions: Collection[str]
    ) -> list[api.Target]:
        """Returns the usable targets of a service in the allowed regions."""
        region_by_domain = self._region_by_domain
        return [
            target
            for target in self._catalogue.usable_targets(service)
            if not allowed_regions
            or region_by_domain.get(target.failure_domain) in allowed_regions
        ]

    def _choose_warm_target(
        self, warm_targets: list[api.Target], now: float
    ) -> api.Target:
        target_by_id = {t.id: t for t in warm_targets}
        domain_by_id = {t.id: t.failure_domain for t in warm_targets}
        chosen_id = self._replica_chooser.choose_among(
            domain_by_id,
            now,
            {t.id: self._cost_factor(t.id, now) for t in warm_targets},
            self._pace.shares(target_by_id, now),
        )
        assert chosen_id is not None
        return target_by_id[chosen_id]

    def _cost_factor(self, target_id: str, now: float) -> float:
        """Returns how much dearer a target is than its own results show."""
        factor = 1.0
        if not self._connections.has_idle(target_id):
            factor *= _UNCONNECTED_COST_FACTOR
        if self._sightings.is_bad(
            target_id, now
        ) and self._sightings.are_needed(self._catalogue.target_count, now):
            factor *= _BAD_TARGET_COST_FACTOR
        return factor
