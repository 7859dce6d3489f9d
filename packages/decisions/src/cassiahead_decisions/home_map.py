"""Assigns resources to home processes by rendezvous hashing.

The home of a resource borrows the rights to it and decides on each use of it:
admissions of a client account, requests to a target, attempts with an
idempotency key. Processes with different views of membership may compute
different homes; leases keep limits from being exceeded meanwhile (see
``rights``).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_decisions import idempotency_keys
from cassiahead_decisions import rate_limiter
from cassiahead_decisions import rendezvous
from cassiahead_decisions import target_state

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cassiahead_notes import api as notes
    from cassiahead_protocol import api

__all__ = ["HomeMap"]


@attrs.frozen
class HomeMap:
    """Homes for one configuration and one set of live processes.

    Attributes:
        home_by_resource: Address of the home by resource name.
    """

    home_by_resource: dict[str, str]

    @classmethod
    def for_entries(
        cls,
        configuration: notes.Configuration,
        entries: Sequence[api.Process],
    ) -> HomeMap:
        """Assigns client accounts and idempotency key ranges to entries."""
        addresses = [
            p.address for p in _eligible_processes(configuration, entries)
        ]
        resources = [
            rate_limiter.account_resource(a) for a in configuration.accounts
        ]
        resources += [
            f"keys:{range_number}"
            for range_number in range(idempotency_keys.KEY_RANGE_COUNT)
        ]
        return cls(_assign_homes(addresses, resources))

    @classmethod
    def for_relays(
        cls,
        configuration: notes.Configuration,
        relays: Sequence[api.Process],
    ) -> HomeMap:
        """Assigns each target to a relay in its failure domain, if any.

        A target whose failure domain has no eligible relay is assigned to one
        of all eligible relays.
        """
        eligible = _eligible_processes(configuration, relays)
        addresses_by_domain: dict[str, list[str]] = {}
        for process in eligible:
            addresses_by_domain.setdefault(process.failure_domain, []).append(
                process.address
            )
        all_addresses = [p.address for p in eligible]
        homes = {}
        for name, target in configuration.targets.items():
            addresses = addresses_by_domain.get(
                target.failure_domain, all_addresses
            )
            homes.update(
                _assign_homes(addresses, [target_state.target_resource(name)])
            )
        return cls(homes)

    def home_of(self, resource: str) -> str | None:
        """Returns the home's address; None if the resource has no home."""
        return self.home_by_resource.get(resource)

    def resources_of(self, address: str) -> list[str]:
        """Returns the names of the resources whose home is at an address."""
        return [
            r for r, home in self.home_by_resource.items() if home == address
        ]


def _eligible_processes(
    configuration: notes.Configuration, processes: Sequence[api.Process]
) -> Sequence[api.Process]:
    domains = configuration.failure_domains
    eligible = [
        process
        for process in processes
        if process.failure_domain not in domains
        or not domains[process.failure_domain].taken_out
    ]
    # If the failure domains of all processes are taken out, every process stays
    # eligible.
    return eligible or processes


def _assign_homes(addresses: list[str], resources: list[str]) -> dict[str, str]:
    homes = {}
    for resource in resources:
        home = rendezvous.top_member(addresses, resource)
        if home is not None:
            homes[resource] = home
    return homes
