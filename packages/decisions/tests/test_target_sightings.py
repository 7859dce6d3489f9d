"""A large fleet finds the slow targets together, in virtual time."""

from __future__ import annotations

import heapq
import random

import attrs
import pytest

from cassiahead_decisions import peer_table
from cassiahead_decisions import replica_policies
from cassiahead_decisions import replicas
from cassiahead_decisions import target_sightings

_SHARD_COUNT = 20
_REPLICA_COUNT = 3
_SEARCHES_PER_S = 50.0
_REPORT_INTERVAL_S = 0.46
_LINK_DELAY_S = 0.01
_WORK_S = 0.022
_SLOW_WORK_S = 0.088
_PAUSE_S = 0.15
_PAUSE_INTERVAL_S = 3.6
_SLOW_LATENCY_S = 2.5 * _WORK_S
_GOOD_LATENCY_S = 1.5 * _WORK_S
_LOST_ANSWER_RATIO = 0.4
_SIGHTING_BYTES = 90
_MAX_CONTROL_BYTES_PER_S = 5000


@attrs.define
class _Host:
    chooser: replicas.ReplicaChooser
    sightings: target_sightings.FleetSightings
    peers: peer_table.PeerTable


@attrs.define
class _Fleet:
    """Hosts that search over replicas, some of which turn slow.

    Attributes:
        failing_targets: Targets that lose part of their answers.
        sent_at: Times of the requests to slow or failing targets.
        told_count: Number of sightings that partners were told.
    """

    rng: random.Random
    is_sharing: bool
    hosts: dict[str, _Host] = attrs.field(factory=dict)
    slow_targets: set[str] = attrs.field(factory=set)
    failing_targets: set[str] = attrs.field(factory=set)
    cut_hosts: set[str] = attrs.field(factory=set)
    pause_offsets: dict[str, float] = attrs.field(factory=dict)
    now: float = 100.0
    sent_at: list[float] = attrs.field(factory=list)
    told_count: int = 0
    _versions: dict[tuple[int, str], dict[str, int]] = attrs.field(factory=dict)
    _events: list[tuple[float, int, object]] = attrs.field(factory=list)
    _event_count: int = 0

    @classmethod
    def create(cls, seed: int, host_count: int, is_sharing: bool) -> _Fleet:
        rng = random.Random(seed)
        fleet = cls(rng, is_sharing)
        addresses = [f"10.0.{n // 200}.{n % 200}:1" for n in range(host_count)]
        for address in addresses:
            peers = peer_table.PeerTable(address)
            for other in addresses:
                peers.add_address(other)
            chooser = replicas.ReplicaChooser(
                "d0",
                random.Random(rng.random()),
                4.0,
                replica_policies.WeightedRandom(8.0, 0.006, 0.1),
            )
            sightings = target_sightings.FleetSightings.at_start(
                random.Random(rng.random())
            )
            fleet.hosts[address] = _Host(chooser, sightings, peers)
            fleet._schedule(
                fleet.now + rng.random() * _REPORT_INTERVAL_S,
                lambda a=address: fleet._report(a),
            )
        for shard in range(_SHARD_COUNT):
            for target in _replicas(shard):
                fleet.pause_offsets[target] = rng.uniform(0, _PAUSE_INTERVAL_S)
        fleet._schedule(fleet.now, fleet._search)
        return fleet

    def run(self, duration_s: float) -> None:
        ends_at = self.now + duration_s
        while self._events[0][0] < ends_at:
            self.now, _, action = heapq.heappop(self._events)
            action()  # type: ignore[operator]
        self.now = ends_at

    def avoiding_hosts(self, target: str) -> int:
        return sum(
            host.sightings.is_bad(target, self.now)
            for host in self.hosts.values()
        )

    def _schedule(self, at: float, action: object) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at, self._event_count, action))

    def _search(self) -> None:
        self._schedule(
            self.now + self.rng.expovariate(_SEARCHES_PER_S), self._search
        )
        address = self.rng.choice(list(self.hosts))
        for shard in range(_SHARD_COUNT):
            self._send(address, shard)

    def _send(self, address: str, shard: int) -> None:
        host = self.hosts[address]
        names = _replicas(shard)
        cost_factors = {
            name: 20.0
            for name in names
            if self.is_sharing and host.sightings.is_bad(name, self.now)
        }
        target = host.chooser.choose_among(
            dict.fromkeys(names, "d0"), self.now, cost_factors
        )
        assert target is not None
        host.chooser.record_sent(target, self.now)
        if target in self.slow_targets | self.failing_targets:
            self.sent_at.append(self.now)
        latency_s = self._latency_s(address, target)
        self._schedule(
            self.now + latency_s,
            lambda: self._receive(address, target, latency_s),
        )

    def _latency_s(self, address: str, target: str) -> float:
        work_s = _SLOW_WORK_S if target in self.slow_targets else _WORK_S
        if address in self.cut_hosts:
            work_s += _SLOW_WORK_S
        since_pause_s = (
            self.now - self.pause_offsets[target]
        ) % _PAUSE_INTERVAL_S
        pause_s = max(0.0, _PAUSE_S - since_pause_s)
        return pause_s + work_s * self.rng.uniform(0.8, 1.3)

    def _receive(self, address: str, target: str, latency_s: float) -> None:
        host = self.hosts[address]
        if (
            target in self.failing_targets
            and self.rng.random() < _LOST_ANSWER_RATIO
        ):
            host.chooser.record_bad_answer(target, self.now)
            host.sightings.failing.record_bad(target, self.now)
            return
        host.chooser.record_answer(target, latency_s, self.now)
        host.sightings.failing.record_good(target, self.now)
        if latency_s > _SLOW_LATENCY_S:
            host.sightings.slow.record_bad(target, self.now)
        elif latency_s < _GOOD_LATENCY_S:
            host.sightings.slow.record_good(target, self.now)

    def _report(self, address: str) -> None:
        self._schedule(
            self.now + _REPORT_INTERVAL_S, lambda: self._report(address)
        )
        host = self.hosts[address]
        host.sightings.forget_expired(self.now)
        # The reply brings the partner's sightings.
        for partner in host.peers.partners().values():
            self._tell(partner, address)

    def _tell(self, sender: str, receiver: str) -> None:
        sightings = self.hosts[sender].sightings
        receiver_sightings = self.hosts[receiver].sightings
        self._tell_kind(
            sender, receiver, sightings.slow, receiver_sightings.slow
        )
        self._tell_kind(
            sender, receiver, sightings.failing, receiver_sightings.failing
        )

    def _tell_kind(
        self,
        sender: str,
        receiver: str,
        sightings: target_sightings.TargetSightings,
        receiver_sightings: target_sightings.TargetSightings,
    ) -> None:
        group = self.hosts[sender].peers.group_of(receiver)
        told = self._versions.setdefault((id(sightings), receiver), {})
        versions = sightings.versions(group)
        lacking = [t for t, v in versions.items() if v > told.get(t, -1)]
        told.update(versions)
        reports = sightings.reports(lacking, group, self.now)
        self.told_count += len(reports)
        receiver_group = self.hosts[receiver].peers.group_of(sender)
        self._schedule(
            self.now + _LINK_DELAY_S,
            lambda: receiver_sightings.merge(receiver_group, reports, self.now),
        )


def _replicas(shard: int) -> list[str]:
    return [f"t{shard}-{number}" for number in range(_REPLICA_COUNT)]


def _slow_sends(host_count: int, seed: int, is_sharing: bool) -> int:
    """Returns the requests to slow targets from 1.5 s after they turn slow."""
    fleet = _Fleet.create(seed, host_count, is_sharing)
    fleet.run(5.0)
    fleet.slow_targets = {f"t{shard}-0" for shard in range(0, 20, 2)}
    since = fleet.now + 1.5
    fleet.run(7.0)
    return sum(1 for at in fleet.sent_at if at >= since)


@pytest.mark.parametrize(
    ("host_count", "seeds"), [(8, (1,)), (8, (1, 2, 3)), (64, (1,))]
)
def test_fleet_avoids_targets_that_turn_slow(
    host_count: int, seeds: tuple[int, ...]
) -> None:
    # Each host found out by itself, and asked each slow target for that.
    alone_count = sum(_slow_sends(host_count, seed, False) for seed in seeds)
    shared_count = sum(_slow_sends(host_count, seed, True) for seed in seeds)
    assert shared_count < 0.25 * alone_count


def _failing_sends(seed: int, is_sharing: bool) -> int:
    """Returns the requests to failing targets from 1.5 s after their onset."""
    fleet = _Fleet.create(seed, 64, is_sharing)
    fleet.run(5.0)
    fleet.failing_targets = {f"t{shard}-0" for shard in range(_SHARD_COUNT)}
    since = fleet.now + 1.5
    fleet.run(5.0)
    return sum(1 for at in fleet.sent_at if at >= since)


def test_fleet_avoids_targets_that_lose_part_of_their_answers() -> None:
    # A good answer in between kept each host asking them.
    assert _failing_sends(1, True) < 0.25 * _failing_sends(1, False)


def test_pauses_of_targets_are_not_told_in_calm() -> None:
    fleet = _Fleet.create(2, 64, True)
    fleet.run(10.0)
    told_bytes_per_s = fleet.told_count * _SIGHTING_BYTES / 64 / 10.0
    assert told_bytes_per_s < 0.1 * _MAX_CONTROL_BYTES_PER_S
    for target in fleet.pause_offsets:
        assert fleet.avoiding_hosts(target) == 0


def test_targets_are_used_again_once_they_are_fast() -> None:
    fleet = _Fleet.create(3, 64, True)
    fleet.run(5.0)
    fleet.slow_targets = {f"t{shard}-0" for shard in range(0, 20, 2)}
    fleet.run(6.0)
    assert fleet.avoiding_hosts("t0-0") > 45
    fleet.slow_targets = set()
    fleet.run(10.0)
    assert sum(fleet.avoiding_hosts(t) for t in fleet.pause_offsets) < 64


def test_host_with_a_bad_link_does_not_mislead_the_others() -> None:
    fleet = _Fleet.create(4, 64, True)
    fleet.run(3.0)
    bad_host = next(iter(fleet.hosts))
    fleet.cut_hosts = {bad_host}
    avoided_counts = []
    for _ in range(16):
        fleet.run(0.5)
        avoided_counts.append(
            sum(fleet.avoiding_hosts(target) for target in fleet.pause_offsets)
        )
    # A pause of a target that the host has told of may look like a second
    # witness, until the next good answer.
    mean_count = sum(avoided_counts) / len(avoided_counts)
    assert mean_count < 0.01 * 64 * len(fleet.pause_offsets)


def test_sighting_does_not_look_newer_after_many_relays() -> None:
    fleet = _Fleet.create(5, 16, True)
    addresses = list(fleet.hosts)
    for number, address in enumerate(addresses[:3]):
        for _ in range(40):
            fleet.hosts[address].sightings.slow.record_bad(
                "t0-0", fleet.now + 0.3 * number
            )
    fleet.now += 1.0
    for _ in range(10):
        _tell_all(fleet)
    assert fleet.avoiding_hosts("t0-0") > 0
    # Each host avoids the target for 8 s at most after the last bad answer.
    for _ in range(80):
        fleet.now += 0.1
        _tell_all(fleet)
    assert fleet.avoiding_hosts("t0-0") == 0


def _tell_all(fleet: _Fleet) -> None:
    """Lets all hosts tell their partners at once, and the partners hear it."""
    fleet._events.clear()
    for address, host in fleet.hosts.items():
        for partner in host.peers.partners().values():
            fleet._tell(partner, address)
    while fleet._events:
        _, _, action = heapq.heappop(fleet._events)
        action()  # type: ignore[operator]


def test_host_that_asks_each_target_often_goes_by_its_own_results() -> None:
    # On a small, busy fleet the hosts avoided targets together for so long that
    # the others could not serve all searches.
    for answers_per_s, are_needed in ((130, False), (12, True)):
        sightings = target_sightings.FleetSightings.at_start(random.Random(1))
        for number in range(10 * answers_per_s):
            sightings.record_answer(100.0 + number / answers_per_s)
        assert sightings.are_needed(36, 110.0) is are_needed
        assert sightings.are_needed(36, 200.0)
