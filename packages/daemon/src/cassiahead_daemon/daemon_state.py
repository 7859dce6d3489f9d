"""State that the parts of one daemon share, and the daemon's readiness."""

from __future__ import annotations

from collections.abc import Callable
import random
import time
from typing import TYPE_CHECKING

import attrs

from cassiahead_daemon import settings as settings_lib
from cassiahead_daemon import telemetry as telemetry_lib
from cassiahead_decisions import membership
from cassiahead_decisions import peering as peering_lib
from cassiahead_decisions import relay_monitor as relay_monitor_lib
from cassiahead_notes import api as notes
from cassiahead_protocol import api
from cassiahead_telemetry import events
from cassiahead_wire import clock
from cassiahead_wire import connection_pool as connection_pool_lib

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiahead_notes import ledger

__all__ = ["DaemonState"]

_REASON_DRAINING = "draining"
_REASON_JOINING = "joining"
_REASON_FAILURE_DOMAIN_TAKEN_OUT = "failure domain taken out"
# In these states a daemon still accepts requests for a time.
_LEAVING_REASONS = (_REASON_DRAINING, _REASON_FAILURE_DOMAIN_TAKEN_OUT)


@attrs.define
class DaemonState:
    """State of one daemon: its identity, its peers and the configuration.

    Attributes:
        settings: Settings of the daemon.
        process: Identity of this run of the daemon.
        peering: State of the exchanges with peers: members, release notes and
            rights.
        telemetry: Metrics, log of decisions and checks of invariants.
        rng: Source of random numbers.
        relay_monitor: Detects relays that do not answer requests in time.
        configuration_listeners: Called with each configuration that comes into
            force.
    """

    settings: settings_lib.Settings
    process: api.Process
    peering: peering_lib.Peering
    telemetry: telemetry_lib.Telemetry
    rng: random.Random
    configuration_listeners: list[Callable[[notes.Configuration], None]] = (
        attrs.field(factory=list)
    )
    relay_monitor: relay_monitor_lib.RelayMonitor = attrs.field(
        factory=relay_monitor_lib.RelayMonitor
    )
    _configuration_serial: int = -1
    # Time at which the daemon last began to drain, or its failure domain was
    # taken out, in seconds of ``clock.monotonic``; None while it is available.
    _leaving_since: float | None = None
    _connection_pools: dict[str, connection_pool_lib.ConnectionPool] = (
        attrs.field(factory=dict)
    )

    @classmethod
    def from_settings(cls, settings: settings_lib.Settings) -> DaemonState:
        """Creates the state of a daemon that is starting."""
        process = api.Process(
            address=settings.inner,
            role=settings.role.value,
            failure_domain=settings.failure_domain,
            incarnation=time.time_ns(),
        )
        return cls(
            settings=settings,
            process=process,
            peering=peering_lib.Peering(process, clock.monotonic()),
            telemetry=telemetry_lib.Telemetry(),
            rng=random.Random(),
        )

    def configuration(self) -> notes.Configuration:
        """Returns the configuration in force and applies it if it is new.

        Raises:
            errors.InvariantError: If the configuration is older than the one
                that was applied last.
        """
        note_log = self.peering.note_log
        configuration = note_log.configuration_in_force(clock.wall_time())
        if note_log.configuration_serial != self._configuration_serial:
            self.telemetry.check_invariant(
                note_log.configuration_serial > self._configuration_serial,
                "configuration-never-reverts",
                f"serial {note_log.configuration_serial} "
                f"after {self._configuration_serial}",
            )
            self._configuration_serial = note_log.configuration_serial
            self.peering.configure(configuration, clock.monotonic())
            for listener in self.configuration_listeners:
                listener(configuration)
            events.log(
                events.Event.CONFIGURATION_IN_FORCE,
                number=note_log.ledger.number,
                head=note_log.ledger.head,
                serial=note_log.configuration_serial,
            )
        return configuration

    def unready_reason(self) -> str | None:
        """Returns why the balancer should send no requests; None if ready.

        A daemon that can accept requests is ready only once its exchanges tell
        its peers so. Until then its peers do not regard it as the home of any
        resource; while a fleet starts, no resource has a home yet.
        """
        reason = self.unavailable_reason()
        if reason is None and not self.peering.is_ready:
            return _REASON_JOINING
        return reason

    def unavailable_reason(self) -> str | None:
        """Returns why this daemon cannot accept requests; None if it can.

        Called with each exchange, so that the time at which the daemon began to
        leave is known also if no requests arrive.
        """
        now = clock.monotonic()
        reason = self._find_unavailable_reason(now)
        if reason is None:
            self._leaving_since = None
        elif reason in _LEAVING_REASONS and self._leaving_since is None:
            self._leaving_since = now
        return reason

    def _find_unavailable_reason(self, now: float) -> str | None:
        if self.peering.is_draining:
            return _REASON_DRAINING
        if self.peering.members.is_superseded():
            return "superseded"
        if not self.peering.has_joined(now):
            return _REASON_JOINING
        if self.peering.standing(now) is membership.Standing.ISOLATED:
            return "isolated"
        domains = self.configuration().failure_domains
        domain = domains.get(self.settings.failure_domain)
        if domain is not None and domain.taken_out:
            return _REASON_FAILURE_DOMAIN_TAKEN_OUT
        return None

    def refusal_reason(self) -> str | None:
        """Returns why new requests are refused; None if they are accepted.

        A daemon that is draining or whose failure domain is taken out becomes
        unready at once. So that the balancer has time to notice, it still
        accepts requests for ``balancer_wait_s`` seconds from then on.
        """
        reason = self.unavailable_reason()
        if reason not in _LEAVING_REASONS or self._leaving_since is None:
            return reason
        leaving_s = clock.monotonic() - self._leaving_since
        return reason if leaving_s >= self.settings.balancer_wait_s else None

    def connection_pool(
        self, address: str
    ) -> connection_pool_lib.ConnectionPool:
        """Returns the connection pool for another daemon.

        Args:
            address: Address at which the daemon serves other daemons.
        """
        if address not in self._connection_pools:
            self._connection_pools[address] = (
                connection_pool_lib.ConnectionPool(address)
            )
        return self._connection_pools[address]

    def record_peer_response(self, peer_address: str) -> None:
        """Records another daemon's response to a scatter message or exchange.

        Args:
            peer_address: Address of the other daemon.
        """
        if self.relay_monitor.record_response(peer_address):
            events.log(events.Event.RELAY_HEARD, relay=peer_address)

    def log_verdicts(self, verdicts: Iterable[ledger.Verdict]) -> None:
        """Logs which new release notes were accepted or refused."""
        for verdict in verdicts:
            if verdict.error is None:
                events.log(
                    events.Event.NOTE_ACCEPTED,
                    number=verdict.number,
                    revision=verdict.revision,
                )
            else:
                events.log(
                    events.Event.NOTE_REFUSED,
                    number=verdict.number,
                    revision=verdict.revision,
                    reason=str(verdict.error),
                )

    def close(self) -> None:
        """Closes the connections to other daemons."""
        for pool in self._connection_pools.values():
            pool.close()
