"""Builds the heartbeats of a gateway and applies those of its peers.

Does no input or output.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import load_counts
from cassiahead_decisions import peer_table
from cassiahead_decisions import poison
from cassiahead_decisions import reported_counts
from cassiahead_decisions import target_sightings
from cassiahead_gateway import gateway_state as gateway_state_lib
from cassiahead_gateway import load_admission
from cassiahead_gateway import messages
from cassiahead_telemetry import events
from cassiahead_wire import addresses

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["HEARTBEAT_PATH", "HeartbeatProtocol"]

HEARTBEAT_PATH = "/exchange"

# A partner that started up to this long before the last report of its group is
# treated as one that started later: its counts are new to this process.
_SAME_START_WINDOW_S = 1.0
# Crashes are in heartbeats for this long after this process learned of them,
# so that each partner gets them several times.
_CRASH_REPORT_DURATION_S = 5.0
# Of each kind; the others follow in later heartbeats.
_MAX_SIGHTINGS_PER_HEARTBEAT = 50
# Loads of the others follow in later heartbeats.
_MAX_LOADS_PER_HEARTBEAT = 2
# Bits of the random number after which the numbers of reports begin.
_REPORT_NUMBER_BITS = 32


@attrs.define
class _ReportState:
    """Reports of admissions and bad targets exchanged with one address.

    Attributes:
        numbers: Numbers of the reports to the peer.
        sent_admissions: Counts of admissions that the peer has been told.
        sent_slow: Versions of the slow targets that the peer has been told.
        sent_failing: The same for failing targets.
        sent_loads: Versions of the loads that the peer has been told.
        is_ignored: Whether the peer has no use for the reports.
        process_name: Process whose reports are received.
        merged_number: Highest number of its reports that was merged.
    """

    numbers: reported_counts.ReportNumbers
    sent_admissions: reported_counts.ReportedCounts
    sent_slow: reported_counts.ReportedCounts
    sent_failing: reported_counts.ReportedCounts
    sent_loads: reported_counts.ReportedCounts
    is_ignored: bool = False
    process_name: str = ""
    merged_number: int = 0

    @classmethod
    def at_start(cls, first_number: int) -> _ReportState:
        """Creates the state of an address without any reports."""
        numbers = reported_counts.ReportNumbers(first_number)
        return cls(
            numbers,
            reported_counts.ReportedCounts(numbers),
            reported_counts.ReportedCounts(numbers),
            reported_counts.ReportedCounts(numbers),
            reported_counts.ReportedCounts(numbers),
        )


@attrs.define(eq=False)
class HeartbeatProtocol:
    """State of one gateway that heartbeats carry.

    Attributes:
        is_leaving: Whether this process is shutting down.
    """

    _gateway_state: gateway_state_lib.GatewayState
    is_leaving: bool = False
    _reachable_process_names: set[str] = attrs.field(factory=set)
    _report_state_by_address: dict[str, _ReportState] = attrs.field(
        factory=dict
    )

    def needs_full(self, address: str) -> bool:
        """Returns whether this process needs a full heartbeat of a peer."""
        gateway_state = self._gateway_state
        peer = gateway_state.peers.peer_at(address)
        if peer is None:
            return True
        return gateway_state.peers.is_partner(
            address
        ) and gateway_state.quota.needs_full_report(
            gateway_state.peers.group_of(address), peer.process_name
        )

    def build(
        self,
        address: str,
        new_addresses: Sequence[str],
        is_full: bool,
        now: float,
    ) -> messages.Heartbeat:
        """Returns the heartbeat of this process for one peer.

        Args:
            address: Address of the peer.
            new_addresses: Addresses that the peer may not know.
            is_full: Whether to include all that a new partner needs.
            now: Time in seconds on this process's monotonic clock.
        """
        gateway_state = self._gateway_state
        peers = gateway_state.peers
        group = peers.group_of(address)
        # The peer knows its own part of the fleet from others.
        lowest_group = group + 1
        sightings = gateway_state.sightings
        own_leaving_count = 1 if self.is_leaving else 0
        report_state = self._report_state(address)
        report_state.numbers.advance()
        is_used = is_full or not report_state.is_ignored
        return messages.Heartbeat(
            process=gateway_state.process_name,
            address=gateway_state.settings.peers,
            uptime_s=round(now - gateway_state.started_at, 2),
            at=gateway_state.catalogue.position.revision,
            era=gateway_state.catalogue.position.era,
            staying=1
            - own_leaving_count
            + peers.staying_count(lowest_group, now),
            leaving=own_leaving_count + peers.leaving_count(lowest_group, now),
            fleet=peers.fleet_size(now),
            is_full=is_full,
            wants_full=self.needs_full(address),
            reads=[
                attrs.evolve(report, age_s=round(report.age_s, 3))
                for report in gateway_state.freshness.reports(now)
            ],
            addresses=peers.addresses() if is_full else list(new_addresses),
            admitted=self._lacking_admissions(
                report_state, lowest_group, is_full, now
            )
            if is_used
            else {},
            slow_targets=_lacking_sightings(
                sightings.slow, report_state.sent_slow, group, now
            )
            if is_used
            else [],
            failing_targets=_lacking_sightings(
                sightings.failing,
                report_state.sent_failing,
                group,
                now,
            )
            if is_used
            else [],
            loads=self._lacking_loads(report_state, lowest_group, now)
            if is_used
            else [],
            report=report_state.numbers.last,
            merged_report=report_state.merged_number,
            ignores_reports=not peers.is_partner(address),
            crashes=self._crash_reports(is_full, now),
        )

    def record_acknowledgement(self, heartbeat: messages.Heartbeat) -> None:
        """Records which reports the sender of a heartbeat has merged."""
        report_state = self._report_state(heartbeat.address)
        report_state.is_ignored = heartbeat.ignores_reports
        report_state.numbers.acknowledge(heartbeat.merged_report)

    def apply(self, heartbeat: messages.Heartbeat, now: float) -> None:
        """Applies a heartbeat of a peer.

        Args:
            heartbeat: The peer's heartbeat, a request or a reply.
            now: Time in seconds on this process's monotonic clock.
        """
        gateway_state = self._gateway_state
        self.record_acknowledgement(heartbeat)
        self._record_peer(heartbeat, now)
        for report in heartbeat.reads:
            gateway_state.freshness.record(report, now)
        gateway_state.confirm_records(now)
        gateway_state.crash_detector.poison_table.merge_relayed(
            [
                report
                for report in heartbeat.crashes
                if report.process != gateway_state.process_name
            ],
            now,
        )
        if gateway_state.peers.is_partner(heartbeat.address):
            self._apply_group_report(heartbeat, now)

    def forget_lost_peers(self, now: float) -> None:
        """Logs and forgets the peers that are no longer within reach."""
        gateway_state = self._gateway_state
        reachable_process_names = {
            p.process_name for p in gateway_state.peers.reachable_peers(now)
        }
        for process_name in sorted(
            self._reachable_process_names - reachable_process_names
        ):
            self._reachable_process_names.discard(process_name)
            events.log(
                events.Event.PEER_LOST,
                peer=process_name,
                heard=len(reachable_process_names),
            )
        gateway_state.peers.forget_lost_addresses(now)
        gateway_state.quota.forget_silent_groups(now)
        gateway_state.sightings.forget_expired(now)
        gateway_state.quota.set_fleet_size(gateway_state.peers.fleet_size(now))
        gateway_state.crash_detector.poison_table.forget_expired(now)
        gateway_state.load.update(now)
        load_admission.log_level_changes(gateway_state, now)

    def _apply_group_report(
        self, heartbeat: messages.Heartbeat, now: float
    ) -> None:
        """Applies the counts that a partner reports for its group."""
        gateway_state = self._gateway_state
        group = gateway_state.peers.group_of(heartbeat.address)
        gateway_state.peers.record_group_size(
            group, heartbeat.staying, heartbeat.leaving, now
        )
        last_report_at = gateway_state.quota.last_report_at(group)
        if last_report_at is None:
            last_report_at = gateway_state.started_at
        is_merged = gateway_state.quota.merge_report(
            group,
            heartbeat.process,
            heartbeat.admitted,
            now,
            is_full=heartbeat.is_full,
            has_started_since=heartbeat.uptime_s
            <= now - last_report_at + _SAME_START_WINDOW_S,
        )
        self._merge_sightings(heartbeat, group, now)
        gateway_state.load.merge_reports(
            group, heartbeat.process, heartbeat.loads, now
        )
        if is_merged:
            self._record_merged(heartbeat)

    def _merge_sightings(
        self, heartbeat: messages.Heartbeat, group: int, now: float
    ) -> None:
        """Merges a partner's sightings of targets that are known here."""
        sightings = self._gateway_state.sightings
        knows_target = self._gateway_state.catalogue.knows_target
        for kind, reports in (
            (sightings.slow, heartbeat.slow_targets),
            (sightings.failing, heartbeat.failing_targets),
        ):
            known_reports = [r for r in reports if knows_target(r.target)]
            kind.merge(group, known_reports, now)

    def _record_merged(self, heartbeat: messages.Heartbeat) -> None:
        """Notes a merged report, to acknowledge it in the next heartbeat."""
        report_state = self._report_state(heartbeat.address)
        if report_state.process_name != heartbeat.process:
            report_state.process_name = heartbeat.process
            report_state.merged_number = 0
        report_state.merged_number = max(
            report_state.merged_number, heartbeat.report
        )

    def _report_state(self, address: str) -> _ReportState:
        report_state = self._report_state_by_address.get(address)
        if report_state is None:
            first_number = self._gateway_state.rng.getrandbits(
                _REPORT_NUMBER_BITS
            )
            report_state = _ReportState.at_start(first_number)
            self._report_state_by_address[address] = report_state
        return report_state

    def _lacking_admissions(
        self,
        report_state: _ReportState,
        lowest_group: int,
        is_full: bool,
        now: float,
    ) -> dict[str, int]:
        counts = self._gateway_state.quota.admission_counts(
            now, lowest_group, is_full
        )
        return report_state.sent_admissions.lacking(counts, is_full)

    def _lacking_loads(
        self, report_state: _ReportState, lowest_group: int, now: float
    ) -> list[load_counts.LoadReport]:
        """Returns the loads that a peer may lack, in turn if they are many."""
        load = self._gateway_state.load
        versions = list(load.versions(lowest_group, now).items())
        if not versions:
            return []
        start = (report_state.numbers.last * _MAX_LOADS_PER_HEARTBEAT) % len(
            versions
        )
        digests = report_state.sent_loads.lacking(
            dict(versions[start:] + versions[:start]),
            False,
            _MAX_LOADS_PER_HEARTBEAT,
        )
        return load.reports(list(digests), lowest_group, now)

    def _crash_reports(
        self, is_full: bool, now: float
    ) -> list[poison.RelayedReport]:
        learned_since = -math.inf if is_full else now - _CRASH_REPORT_DURATION_S
        poison_table = self._gateway_state.crash_detector.poison_table
        return [
            attrs.evolve(report, ttl_s=round(report.ttl_s, 2))
            for report in poison_table.relayed_reports(
                self._gateway_state.process_name, learned_since, now
            )
        ]

    def _record_peer(self, heartbeat: messages.Heartbeat, now: float) -> None:
        peers = self._gateway_state.peers
        for address in heartbeat.addresses:
            if addresses.is_address(address):
                peers.add_address(address)
        peers.record_fleet_size(heartbeat.fleet)
        replaced_process_name = peers.record_heartbeat(
            peer_table.Peer(
                process_name=heartbeat.process,
                address=heartbeat.address,
                last_heartbeat_at=now,
            )
        )
        if replaced_process_name is not None:
            self._reachable_process_names.discard(replaced_process_name)
            events.log(
                events.Event.PEER_REPLACED,
                peer=heartbeat.process,
                replaced=replaced_process_name,
            )
        if heartbeat.process not in self._reachable_process_names:
            self._reachable_process_names.add(heartbeat.process)
            events.log(
                events.Event.PEER_HEARD,
                peer=heartbeat.process,
                address=heartbeat.address,
                revision=heartbeat.at,
                fleet=peers.fleet_size(now),
            )


def _lacking_sightings(
    sightings: target_sightings.TargetSightings,
    sent: reported_counts.ReportedCounts,
    group: int,
    now: float,
) -> list[target_sightings.SightingReport]:
    """Returns the sightings that a partner may lack.

    Args:
        sightings: All sightings of one kind.
        sent: Versions of sightings that the partner has been told.
        group: Group of the partner.
        now: Time in seconds on this process's monotonic clock.
    """
    targets = sent.lacking(
        sightings.versions(group), False, _MAX_SIGHTINGS_PER_HEARTBEAT
    )
    return sightings.reports(targets, group, now)
