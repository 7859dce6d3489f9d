"""Destinations of requests, and the priorities that requests may have there."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from cassiahead_decisions import fleet_load
from cassiahead_gateway import api

if TYPE_CHECKING:
    from cassiahead_decisions import wait_queue

__all__ = [
    "digest_of",
    "effective_priority",
    "priorities_by_digest",
    "prioritized_destinations",
]

_MAX_CACHED_DIGESTS = 1024


def digest_of(route: api.Route) -> str:
    """Returns the digest of the services that a route's requests are sent to.

    Routes over the same services have the same digest.
    """
    match route.destination:
        case api.Scatter(shards=shards):
            return _digest(shards)
        case api.WeightedServices(weights):
            return _digest(tuple(weights))
        case api.SingleService(service):
            return _digest((service,))


def effective_priority(route: api.Route, account: api.Account | None) -> int:
    """Returns the priority of a request; 0 is the highest.

    Args:
        route: Route of the request.
        account: Client account of the request; None if it has none.
    """
    if account is not None and account.priority is not None:
        return account.priority
    return route.priority


def priorities_by_digest(
    configuration: api.Configuration,
) -> dict[str, set[int]]:
    """Returns the priorities that requests may have, by digest."""
    priorities: dict[str, set[int]] = {}
    for route in configuration.routes:
        known = priorities.setdefault(digest_of(route), set())
        if route.is_open or not configuration.accounts:
            known.add(route.priority)
            continue
        known.update(
            effective_priority(route, account)
            for account in configuration.accounts.values()
        )
    return priorities


def prioritized_destinations(
    configuration: api.Configuration,
) -> frozenset[wait_queue.Destination]:
    """Returns the destinations that need the order by priority.

    They have a service in common with a route of another priority, or any
    client account has a priority. The requests of a route with weighted
    services wait for one of them each.
    """
    service_sets = [
        (services, route.priority)
        for route in configuration.routes
        for services in _service_sets(route.destination)
    ]
    if any(a.priority is not None for a in configuration.accounts.values()):
        return frozenset(services for services, _ in service_sets)
    priorities_by_service: dict[str, set[int]] = {}
    for services, priority in service_sets:
        for service in services:
            priorities_by_service.setdefault(service, set()).add(priority)
    return frozenset(
        services
        for services, _ in service_sets
        if any(len(priorities_by_service[s]) > 1 for s in services)
    )


def _service_sets(
    destination: api.Destination,
) -> list[wait_queue.Destination]:
    match destination:
        case api.SingleService(service):
            return [frozenset({service})]
        case api.WeightedServices(weights):
            return [frozenset({service}) for service in weights]
        case api.Scatter() as scatter:
            return [scatter.shard_set]


@functools.lru_cache(_MAX_CACHED_DIGESTS)
def _digest(services: tuple[str, ...]) -> str:
    return fleet_load.destination_digest(services)
