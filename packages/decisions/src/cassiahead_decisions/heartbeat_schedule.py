"""Decides when a process sends a heartbeat to a partner.

News of the records goes through the fleet along a tree: a process passes on
what a peer of one group told it to its groups with higher numbers only. These
are together the group that the peer sees (see ``peer_groups``), so that each
process is told once. Where the tree is broken, the regular heartbeats to the
other partners carry the news.

Load pattern: a large fleet, in which each process may spend only a small and
constant part of its processor time and link on heartbeats; new records must
reach all processes quickly all the same.
"""

from __future__ import annotations

import math

import attrs

from cassiahead_decisions import record_position

__all__ = ["NO_GROUP", "Contact", "HeartbeatSchedule"]

# Stands for the group that news came from, if this process read it itself.
NO_GROUP = -1

# Interval to each partner without admissions and news.
_IDLE_INTERVAL_S = 1.0
# Interval to each partner while requests are admitted: at least the first, and
# as long as needed to stay below the second over all partners.
_MIN_INTERVAL_S = 0.25
_MAX_HEARTBEATS_PER_S = 14.0
# Interval while requests are admitted during the first seconds of a process: no
# process knows then what the others have admitted.
_START_INTERVAL_S = 0.2
_START_DURATION_S = 2.0
# The shortest interval applies to all partners for this time after the start of
# an overload, in which the hosts agree on the admission level.
_OVERLOAD_START_DURATION_S = 1.5
# A partner that has not heard of a read so much newer is told at once.
_READ_NEWS_THRESHOLD_S = 0.3
# Newly learned addresses are sent after this time at the latest.
_ADDRESS_NEWS_INTERVAL_S = 0.25


@attrs.define
class Contact:
    """What a peer knows, as far as this process knows.

    All times are seconds on this process's monotonic clock.

    Attributes:
        in_touch_at: Time of the last heartbeat to or from the peer.
        position: Position up to which the peer knows the records, or newest
            position that it was told of.
        read_at: Time of the newest read of the records that the peer knows.
    """

    in_touch_at: float = -math.inf
    position: record_position.RecordPosition = record_position.UNKNOWN
    read_at: float = -math.inf

    def record(
        self,
        now: float,
        position: record_position.RecordPosition,
        read_at: float,
    ) -> None:
        """Records a heartbeat to or from the peer.

        Args:
            now: Current time.
            position: Position up to which the sender knows the records.
            read_at: Time of the newest read that the sender knows of.
        """
        self.in_touch_at = now
        self.position = max(self.position, position)
        self.read_at = max(self.read_at, read_at)


@attrs.frozen
class HeartbeatSchedule:
    """What decides at one moment to which partners a heartbeat is due.

    Attributes:
        partner_count: Number of partners.
        has_admissions: Whether requests were admitted lately, by any process.
        position: Position up to which this process knows the records.
        read_at: Time of the newest read of these records.
        address_count: Number of addresses that this process has learned.
        uptime_s: Seconds since this process started.
        position_group: Group of the peer that the newest records came from.
        read_group: Group of the peer that reported the newest read.
        overload_age_s: Seconds since this process learned of an overload that
            lasts; infinite without one.
    """

    partner_count: int
    has_admissions: bool
    position: record_position.RecordPosition
    read_at: float
    address_count: int
    uptime_s: float = math.inf
    position_group: int = NO_GROUP
    read_group: int = NO_GROUP
    overload_age_s: float = math.inf

    @property
    def interval_s(self) -> float:
        """Interval between heartbeats to a partner without news, in seconds."""
        if not self.has_admissions:
            return _IDLE_INTERVAL_S
        if self.uptime_s < _START_DURATION_S:
            return _START_INTERVAL_S
        if self.overload_age_s < _OVERLOAD_START_DURATION_S:
            return _MIN_INTERVAL_S
        return max(_MIN_INTERVAL_S, self.partner_count / _MAX_HEARTBEATS_PER_S)

    def is_due(
        self,
        contact: Contact,
        sent_address_count: int,
        now: float,
        group: int = 0,
    ) -> bool:
        """Returns whether a heartbeat to a partner is due.

        Args:
            contact: What the partner knows.
            sent_address_count: Number of learned addresses sent to it.
            now: Current time.
            group: Number of the partner's group.
        """
        elapsed_s = now - contact.in_touch_at
        if elapsed_s >= self.interval_s:
            return True
        if group > self.position_group and self.position > contact.position:
            return True
        if (
            group > self.read_group
            and self.read_at - contact.read_at > _READ_NEWS_THRESHOLD_S
        ):
            return True
        if elapsed_s > self.overload_age_s:
            return True
        has_new_addresses = sent_address_count < self.address_count
        return has_new_addresses and elapsed_s >= _ADDRESS_NEWS_INTERVAL_S
