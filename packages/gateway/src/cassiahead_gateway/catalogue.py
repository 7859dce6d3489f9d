"""What this process believes: configuration, targets, domains taken out."""

from __future__ import annotations

from collections.abc import Callable
import math
from typing import Any

import attrs

from cassiahead_gateway import api
from cassiahead_gateway import decoded_records
from cassiahead_gateway import records as records_lib
from cassiahead_gateway import routing
from cassiahead_telemetry import events

__all__ = ["Catalogue"]

# While the platform's service was away, entries of living targets lapse; those
# that live are published again within 2 s of its return.
_LAPSE_S = 2.0
_LINGER_S = 2.2
# Knowledge that was not renewed for this long may have missed a lapse.
_OUTAGE_S = 2.5


@attrs.define(eq=False)
class Catalogue:
    """Decoded records, and how old they are.

    Attributes:
        on_configuration: Called when another configuration is in force.
        on_target_gone: Called with the id of a target that is no more.
    """

    _decode: decoded_records.RecordDecoder
    on_configuration: Callable[[api.Configuration], None]
    on_target_gone: Callable[[str], None]
    _records: records_lib.RecordTable = attrs.field(
        factory=records_lib.RecordTable
    )
    _published: dict[str, decoded_records.DecodedRecord] = attrs.field(
        factory=dict
    )
    _router: routing.Router | None = None
    _targets: dict[str, api.Target] = attrs.field(factory=dict)
    _by_service: dict[str, dict[str, api.Target]] = attrs.field(factory=dict)
    _taken_out: set[str] = attrs.field(factory=set)
    _cold_until: dict[str, float] = attrs.field(factory=dict)
    _lingering: dict[str, float] = attrs.field(factory=dict)
    _confirmed_at: float = -math.inf
    _outage_ended_at: float = -math.inf

    @property
    def revision(self) -> int:
        """Revision up to which the records are known."""
        return self._records.revision

    @property
    def router(self) -> routing.Router | None:
        """The configuration in force; None if none is known."""
        return self._router

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 if none is known."""
        return self._router.configuration.version if self._router else 0

    @property
    def target_count(self) -> int:
        """Number of targets known."""
        return len(self._targets)

    def age(self, now: float) -> float:
        """Returns the seconds since the read that this knowledge includes."""
        return now - self._confirmed_at

    def available_targets(self, service: str) -> list[api.Target]:
        """Returns the targets of a service that may get new work."""
        return [
            t
            for t in self._by_service.get(service, {}).values()
            if not t.leaving and t.failure_domain not in self._taken_out
        ]

    def is_cold(self, target: str, now: float) -> bool:
        """Returns whether a target is in cold start."""
        return self._cold_until.get(target, -math.inf) > now

    def since(self, revision: int) -> records_lib.Update:
        """Returns the records that a peer lacks which knows a revision."""
        return self._records.update_since(revision)

    def confirm(self, at: int, age: float, now: float) -> None:
        """Notes that the records up to a revision were current.

        Args:
            at: Revision that was the newest.
            age: Seconds since then.
            now: Time on this process's clock.
        """
        if at > self._records.revision:
            return
        confirmed_at = now - age
        if confirmed_at <= self._confirmed_at:
            return
        was_away = confirmed_at - self._confirmed_at > _OUTAGE_S
        if was_away and not math.isinf(self._confirmed_at):
            self._outage_ended_at = now
            events.log(
                events.Event.SERVICE_RETURNED,
                away_s=round(confirmed_at - self._confirmed_at, 2),
                revision=at,
            )
        self._confirmed_at = confirmed_at

    def apply(
        self, changes: records_lib.Update, age: float, source: str, now: float
    ) -> None:
        """Takes over records.

        Args:
            changes: What changed.
            age: Seconds since they were current.
            source: Who gave them, for the log.
            now: Time on this process's clock.
        """
        if changes.revision >= self._records.revision:
            self._note_return(now - age, now)
        for change in self._records.apply(changes):
            self._apply_one(change, source, now)
        self.confirm(changes.revision, age, now)

    def expire(self, now: float) -> None:
        """Drops targets whose entries did not come back."""
        for target, until in list(self._lingering.items()):
            if now >= until:
                del self._lingering[target]
                self._drop_target(target)
        for target, until in list(self._cold_until.items()):
            if now >= until:
                del self._cold_until[target]

    def _note_return(self, confirmed_at: float, now: float) -> None:
        # Deletions that come with the first read after an outage are seen
        # before that read confirms anything.
        gap = confirmed_at - self._confirmed_at
        if gap > _OUTAGE_S and not math.isinf(self._confirmed_at):
            self._outage_ended_at = now

    def _apply_one(
        self, change: records_lib.Change, source: str, now: float
    ) -> None:
        before = self._published.pop(change.key, None)
        found = None
        if change.value is not None:
            found = self._decode(change.key, change.value)
        if found is not None:
            self._published[change.key] = found
        match before:
            case decoded_records.TargetRecord(target):
                kept = isinstance(found, decoded_records.TargetRecord)
                if not kept:
                    self._lose_target(target, change.revision, source, now)
            case decoded_records.DomainTakenOutRecord(domain):
                self._taken_out.discard(domain)
                events.log(
                    events.Event.DOMAIN_RETURNED,
                    failure_domain=domain,
                    revision=change.revision,
                    source=source,
                )
        match found:
            case decoded_records.ConfigurationRecord(configuration):
                self._take_configuration(configuration, change, source)
            case decoded_records.TargetRecord(target):
                self._take_target(target, change.revision, source, now)
            case decoded_records.DomainTakenOutRecord(domain):
                self._taken_out.add(domain)
                events.log(
                    events.Event.DOMAIN_TAKEN_OUT,
                    failure_domain=domain,
                    revision=change.revision,
                    source=source,
                )
            case decoded_records.UnusableRecord(reason):
                events.log(
                    events.Event.RECORD_UNUSABLE,
                    key=change.key,
                    revision=change.revision,
                    reason=reason,
                )

    def _take_configuration(
        self,
        configuration: api.Configuration,
        change: records_lib.Change,
        source: str,
    ) -> None:
        previous = self.configuration_version
        if configuration.version < previous:
            events.log(
                events.Event.RECORD_UNUSABLE,
                key=change.key,
                revision=change.revision,
                reason=f"version {configuration.version} is older",
            )
            return
        self._router = routing.Router.from_configuration(configuration)
        events.log(
            events.Event.CONFIGURATION_APPLIED,
            version=configuration.version,
            previous=previous,
            revision=change.revision,
            source=source,
            routes=len(configuration.routes),
            accounts=len(configuration.accounts),
        )
        self.on_configuration(configuration)

    def _take_target(
        self, target: api.Target, revision: int, source: str, now: float
    ) -> None:
        known = self._targets.get(target.id)
        self._lingering.pop(target.id, None)
        if known is not None and _is_other(known, target):
            self._drop_target(target.id)
            known = None
        self._targets[target.id] = target
        self._by_service.setdefault(target.service, {})[target.id] = target
        if target.cold_start_remaining_s > 0:
            self._cold_until[target.id] = now + target.cold_start_remaining_s
        if target.leaving:
            event = events.Event.TARGET_LEAVING
        elif known is None:
            event = events.Event.TARGET_APPEARED
        else:
            return
        events.log(
            event,
            target=target.id,
            service=target.service,
            failure_domain=target.failure_domain,
            cold_s=target.cold_start_remaining_s,
            revision=revision,
            source=source,
        )

    def _lose_target(
        self, target: api.Target, revision: int, source: str, now: float
    ) -> None:
        if target.id not in self._targets:
            return
        fields: dict[str, Any] = {
            "target": target.id,
            "service": target.service,
            "revision": revision,
            "source": source,
        }
        if now - self._outage_ended_at < _LAPSE_S and not target.leaving:
            self._lingering[target.id] = self._outage_ended_at + _LINGER_S
            events.log(events.Event.TARGET_LINGERS, **fields)
            return
        self._drop_target(target.id)
        events.log(events.Event.TARGET_GONE, **fields)

    def _drop_target(self, target_id: str) -> None:
        target = self._targets.pop(target_id, None)
        if target is None:
            return
        self._by_service[target.service].pop(target_id, None)
        self._cold_until.pop(target_id, None)
        self.on_target_gone(target_id)


def _is_other(known: api.Target, target: api.Target) -> bool:
    """Returns whether an entry tells of another start or another place."""
    return (
        known.started_at_epoch_ms != target.started_at_epoch_ms
        or known.address != target.address
        or known.service != target.service
    )
