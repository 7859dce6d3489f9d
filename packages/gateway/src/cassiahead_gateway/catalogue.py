"""The published records as this process knows them, in decoded form.

Holds the configuration, the targets, the failure domains that are taken out of
service, and the age of these records.
"""

from __future__ import annotations

from collections.abc import Callable
import math

import attrs

from cassiahead_decisions import record_position
from cassiahead_decisions import taken_out_domains
from cassiahead_gateway import api
from cassiahead_gateway import decoded_records
from cassiahead_gateway import records
from cassiahead_gateway import routing
from cassiahead_gateway import target_catalogue
from cassiahead_telemetry import events

__all__ = ["Catalogue"]

# A longer time without a successful read counts as an outage, in which records
# may have expired unnoticed.
_OUTAGE_THRESHOLD_S = 2.5


@attrs.define(eq=False)
class Catalogue:
    """The decoded records, and when they were last known to be current.

    Attributes:
        on_configuration: Called with each configuration that comes into force.
        on_target_gone: Called with the id of each target that is removed or
            replaced by another one of the same id.
        on_change: Called after each update of records.
        on_target_started: Called with the id of each target that has just
            started, and the time at which its cold start ends or has ended.
    """

    _decode: decoded_records.RecordDecoder
    on_configuration: Callable[[api.Configuration], None]
    on_target_gone: Callable[[str], None]
    on_target_started: Callable[[str, float], None] = (
        lambda _target_id, _starts_at: None
    )
    _records: records.RecordTable = attrs.field(factory=records.RecordTable)
    _decoded_record_by_key: dict[str, decoded_records.DecodedRecord] = (
        attrs.field(factory=dict)
    )
    _router: routing.Router | None = None
    _configuration_position: record_position.RecordPosition = (
        record_position.UNKNOWN
    )
    _targets: target_catalogue.TargetCatalogue = attrs.field(init=False)
    _domains: taken_out_domains.TakenOutDomains = attrs.field(
        factory=taken_out_domains.TakenOutDomains
    )
    _confirmed_at: float = -math.inf
    on_change: Callable[[], None] = attrs.field(default=lambda: None)

    @_targets.default
    def _new_targets(self) -> target_catalogue.TargetCatalogue:
        return target_catalogue.TargetCatalogue(
            self.on_target_gone,
            lambda target_id, starts_at: self.on_target_started(
                target_id, starts_at
            ),
        )

    @property
    def position(self) -> record_position.RecordPosition:
        """Position up to which the records are known."""
        return self._records.position

    @property
    def revision(self) -> int:
        """Revision up to which the records are known; 0 if none are."""
        return self._records.position.revision

    @property
    def router(self) -> routing.Router | None:
        """Router for the configuration in force; None if none is known."""
        return self._router

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 if none is known."""
        return self._router.configuration.version if self._router else 0

    @property
    def configuration_revision(self) -> int:
        """Revision that published the configuration in force; 0 if none."""
        return self._configuration_position.revision

    @property
    def target_count(self) -> int:
        """Number of targets known, including those that get no new work."""
        return self._targets.count

    def find_target(self, target_id: str) -> api.Target | None:
        """Returns a target that is known, usable or not."""
        return self._targets.find(target_id)

    def knows_target(self, target_id: str) -> bool:
        """Returns whether a target is known, usable or not."""
        return self._targets.knows(target_id)

    def knows_incarnation(self, target: api.Target) -> bool:
        """Returns whether a target is known and has not been replaced."""
        return self._targets.knows_incarnation(target)

    def service_of(self, target_id: str) -> str | None:
        """Returns the service of a target; None if the target is unknown."""
        target = self._targets.find(target_id)
        return None if target is None else target.service

    def age_s(self, now: float) -> float:
        """Returns how long ago the records were last known to be current.

        Args:
            now: Time in seconds on this process's monotonic clock.

        Returns:
            Seconds since the latest read of the configuration service, by any
            process, whose result the records include; infinite if there was
            none.
        """
        return now - self._confirmed_at

    def usable_targets(self, service: str) -> list[api.Target]:
        """Returns the targets of a service that may get new work.

        Excludes targets that are leaving or withheld, or whose failure domain
        is taken out of service.
        """
        return [
            target
            for target in self._targets.usable(service)
            if not self._domains.is_out(target.failure_domain)
        ]

    def is_cold(self, target_id: str, now: float) -> bool:
        """Returns whether a target is in cold start.

        Args:
            target_id: Id of the target.
            now: Time in seconds on this process's monotonic clock.
        """
        return self._targets.is_cold(target_id, now)

    def mark_cold(
        self, target: api.Target, duration_s: float, now: float
    ) -> bool:
        """Treats a target as in cold start, whatever its record says.

        Args:
            target: The target; ignored if it has been replaced or removed.
            duration_s: Seconds until the target is treated as warm again.
            now: Time in seconds on this process's monotonic clock.

        Returns:
            Whether the target's cold start ends later than known before.
        """
        return self._targets.mark_cold(target, duration_s, now)

    def cold_start_ends_at(self, target_id: str) -> float:
        """Returns when a target's cold start ends; may be in the past.

        The time is in seconds on this process's monotonic clock.
        """
        return self._targets.cold_start_ends_at(target_id)

    def update_since(
        self, position: record_position.RecordPosition
    ) -> records.Update:
        """Returns the records that a peer lacks.

        Args:
            position: Position up to which the peer knows the records.
        """
        return self._records.update_since(position)

    def confirm(
        self,
        position: record_position.RecordPosition,
        age_s: float,
        now: float,
    ) -> None:
        """Records that a position was the newest one a given time ago.

        Has no effect if this process does not know that position yet, is in a
        newer era or has a later confirmation. A confirmation that ends an
        outage is logged.

        Args:
            position: Position that was the newest.
            age_s: Seconds since a read showed that the position was the newest.
            now: Time in seconds on this process's monotonic clock.
        """
        if position.era != self.position.era or position > self.position:
            return
        confirmed_at = now - age_s
        if confirmed_at <= self._confirmed_at:
            return
        was_outage = confirmed_at - self._confirmed_at > _OUTAGE_THRESHOLD_S
        if was_outage and not math.isinf(self._confirmed_at):
            self._targets.record_outage_end(now)
            events.log(
                events.Event.SERVICE_RETURNED,
                away_s=round(confirmed_at - self._confirmed_at, 2),
                revision=position.revision,
            )
        self._confirmed_at = confirmed_at

    def apply(
        self, update: records.Update, age_s: float, source: str, now: float
    ) -> None:
        """Applies an update of the records and logs its effects.

        Args:
            update: Records that changed.
            age_s: Seconds since a read showed that the update was current.
            source: Process or service that sent the update, for the log.
            now: Time in seconds on this process's monotonic clock.
        """
        if not self._records.accepts(update):
            return
        self._detect_outage_end(now - age_s, now)
        is_era_entered = self._records.enters_era(update)
        previous_position = self.position
        if is_era_entered and previous_position != record_position.UNKNOWN:
            self._targets.enter_era(now)
            self._domains.extend_holds(now)
        changes = self._records.apply(update)
        origin = target_catalogue.ChangeOrigin(
            source,
            age_s,
            now,
            update.era,
            is_era_entered,
            self._records.listing_revision,
        )
        for change in changes:
            self._apply_change(change, origin)
        if is_era_entered:
            self._finish_era_change(previous_position, origin)
        self.confirm(update.position, age_s, now)
        self.on_change()

    def forget_expired(self, now: float) -> None:
        """Ends what lasts for a time: lingering, cold starts and holds.

        Args:
            now: Time in seconds on this process's monotonic clock.
        """
        self._targets.forget_expired(now)
        for domain in self._domains.end_expired_holds(now):
            events.log(
                events.Event.DOMAIN_RETURNED,
                failure_domain=domain,
                revision=self.revision,
                source="end of hold",
            )

    def _detect_outage_end(self, confirmed_at: float, now: float) -> None:
        # Called before the changes of an update are applied: ``confirm``, which
        # is called afterwards, would record the end of the outage too late for
        # the update's deletions.
        unconfirmed_s = confirmed_at - self._confirmed_at
        if unconfirmed_s > _OUTAGE_THRESHOLD_S and not math.isinf(
            self._confirmed_at
        ):
            self._targets.record_outage_end(now)

    def _finish_era_change(
        self,
        previous_position: record_position.RecordPosition,
        origin: target_catalogue.ChangeOrigin,
    ) -> None:
        """Ends the change to an era, once its listing is applied."""
        # Reads of older eras say nothing about these records. Without a known
        # read, the last one of the older era is a bound: it was before.
        if math.isfinite(origin.age_s):
            self._confirmed_at = origin.now - origin.age_s
        withheld_targets = self._targets.end_listing()
        events.log(
            events.Event.ERA_ENTERED,
            era=origin.era,
            previous=previous_position.era,
            revision=self.revision,
            previous_revision=previous_position.revision,
            version=self.configuration_version,
            withheld=withheld_targets,
            age_s=_rounded_age_s(origin.age_s),
            source=origin.source,
        )

    def _apply_change(
        self,
        change: records.Change,
        origin: target_catalogue.ChangeOrigin,
    ) -> None:
        previous_record = self._decoded_record_by_key.pop(change.key, None)
        decoded_record = None
        if change.value is not None:
            decoded_record = self._decode(change.key, change.value)
        if decoded_record is not None:
            self._decoded_record_by_key[change.key] = decoded_record
        match previous_record:
            case decoded_records.TargetRecord(target):
                is_still_target = isinstance(
                    decoded_record, decoded_records.TargetRecord
                )
                if not is_still_target:
                    self._targets.remove(target, change.revision, origin)
            case decoded_records.DomainTakenOutRecord(domain):
                self._remove_domain(domain, change.revision, origin)
        match decoded_record:
            case decoded_records.ConfigurationRecord(configuration):
                self._apply_configuration(configuration, change, origin)
            case decoded_records.TargetRecord(target):
                self._targets.apply(target, change.revision, origin)
            case decoded_records.DomainTakenOutRecord(domain):
                self._domains.record_written(domain)
                _log_domain(
                    events.Event.DOMAIN_TAKEN_OUT,
                    domain,
                    change.revision,
                    origin,
                )
            case decoded_records.UnusableRecord(reason):
                _log_unusable(change, reason)

    def _remove_domain(
        self,
        domain: str,
        revision: int,
        origin: target_catalogue.ChangeOrigin,
    ) -> None:
        """Removes the record of a failure domain that is out of service."""
        if origin.enters_era:
            self._domains.record_missing(domain, origin.now)
            event = events.Event.DOMAIN_HELD_OUT
        else:
            self._domains.record_deleted(domain)
            event = events.Event.DOMAIN_RETURNED
        _log_domain(event, domain, revision, origin)

    def _apply_configuration(
        self,
        configuration: api.Configuration,
        change: records.Change,
        origin: target_catalogue.ChangeOrigin,
    ) -> None:
        previous_version = self.configuration_version
        if configuration.version < previous_version:
            _log_unusable(change, f"version {configuration.version} is older")
            return
        if (
            configuration.version == previous_version
            and origin.era > self._configuration_position.era
            and self._router is not None
        ):
            # Written again after the service was restored.
            if configuration != self._router.configuration:
                _log_unusable(
                    change,
                    f"version {configuration.version} of an older era differs",
                )
            return
        self._router = routing.Router.from_configuration(configuration)
        self._configuration_position = record_position.RecordPosition(
            origin.era, change.revision
        )
        events.log(
            events.Event.CONFIGURATION_APPLIED,
            version=configuration.version,
            previous=previous_version,
            revision=change.revision,
            age_s=_rounded_age_s(origin.age_s),
            source=origin.source,
            routes=len(configuration.routes),
            accounts=len(configuration.accounts),
        )
        self.on_configuration(configuration)


def _rounded_age_s(age_s: float) -> float | None:
    """Returns the age of a read for the log; None if it is not known."""
    return round(age_s, 2) if math.isfinite(age_s) else None


def _log_domain(
    event: events.Event,
    domain: str,
    revision: int,
    origin: target_catalogue.ChangeOrigin,
) -> None:
    events.log(
        event,
        failure_domain=domain,
        revision=revision,
        source=origin.source,
    )


def _log_unusable(change: records.Change, reason: str) -> None:
    events.log(
        events.Event.RECORD_UNUSABLE,
        key=change.key,
        revision=change.revision,
        reason=reason,
    )
