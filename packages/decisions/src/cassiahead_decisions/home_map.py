"""Which process is the home of which resource, in one process's view."""

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
    from cassiahead_protocol import api as protocol

__all__ = ["HomeMap"]


@attrs.frozen
class HomeMap:
    """Homes by resource for one configuration and one set of live processes."""

    home_by_resource: dict[str, str]

    @classmethod
    def for_entries(
        cls,
        configuration: notes.Configuration,
        entries: Sequence[protocol.Process],
    ) -> HomeMap:
        """Spreads client accounts and ranges of idempotency keys."""
        addresses = [p.address for p in _eligible(configuration, entries)]
        resources = [
            rate_limiter.account_resource(a) for a in configuration.accounts
        ]
        resources += [
            f"keys:{number}"
            for number in range(idempotency_keys.KEY_RANGE_COUNT)
        ]
        return cls(_spread(addresses, resources))

    @classmethod
    def for_relays(
        cls,
        configuration: notes.Configuration,
        relays: Sequence[protocol.Process],
    ) -> HomeMap:
        """Spreads targets, each within its failure domain if possible."""
        eligible = _eligible(configuration, relays)
        by_domain: dict[str, list[str]] = {}
        for process in eligible:
            by_domain.setdefault(process.failure_domain, []).append(
                process.address
            )
        everywhere = [p.address for p in eligible]
        homes = {}
        for name, target in configuration.targets.items():
            addresses = by_domain.get(target.failure_domain, everywhere)
            homes.update(
                _spread(addresses, [target_state.target_resource(name)])
            )
        return cls(homes)

    def home_of(self, resource: str) -> str | None:
        """Returns the address of a resource's home, if there is one."""
        return self.home_by_resource.get(resource)

    def resources_of(self, address: str) -> list[str]:
        """Returns the resources whose home is at an address."""
        return [
            r for r, home in self.home_by_resource.items() if home == address
        ]


def _eligible(
    configuration: notes.Configuration, processes: Sequence[protocol.Process]
) -> Sequence[protocol.Process]:
    domains = configuration.failure_domains
    kept = [
        process
        for process in processes
        if process.failure_domain not in domains
        or not domains[process.failure_domain].taken_out
    ]
    return kept or processes


def _spread(addresses: list[str], resources: list[str]) -> dict[str, str]:
    homes = {}
    for resource in resources:
        home = rendezvous.top_member(addresses, resource)
        if home is not None:
            homes[resource] = home
    return homes
