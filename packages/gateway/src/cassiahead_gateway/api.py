"""What the gateway knows: routes, accounts, services and targets."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

__all__ = [
    "Account",
    "Configuration",
    "Destination",
    "RequestLimits",
    "Route",
    "Scatter",
    "Service",
    "SingleService",
    "WeightedServices",
    "Target",
]


@attrs.frozen
class SingleService:
    """Sends each request to one target of one service."""

    service: str


@attrs.frozen
class WeightedServices:
    """Sends each request to one of several services, by their weights."""

    weights: Mapping[str, float]


@attrs.frozen
class Scatter:
    """Sends each request to one target of every shard and merges the parts.

    Attributes:
        shards: Services that each hold one shard.
        top_k: Records in an answer.
        min_coverage: Least share of the shards in a usable answer, 0 to 1.
    """

    shards: tuple[str, ...]
    top_k: int
    min_coverage: float


Destination = SingleService | WeightedServices | Scatter


@attrs.frozen
class Route:
    """Where requests of one host name and path prefix go.

    Attributes:
        name: Name, for operators.
        host: Host name that it serves.
        path_prefix: Start of the paths that it serves; begins and ends with
            ``/``.
        destination: Where requests go.
        idempotent: Whether a request may run more than once.
        timeout_s: Longest time for which a request is held.
        latency_objective_s: Time within which callers want the answer.
        max_attempts: Most targets that run one request (of each shard).
        priority: Rank under overload; 0 is the most urgent.
        open: Whether requests need no key.
        allowed_regions: Regions whose targets may run requests; empty for all.
    """

    name: str
    host: str
    path_prefix: str
    destination: Destination
    idempotent: bool
    timeout_s: float
    latency_objective_s: float
    max_attempts: int
    priority: int = 0
    open: bool = False
    allowed_regions: tuple[str, ...] = ()


@attrs.frozen
class Service:
    """A group of targets that answer alike.

    Attributes:
        name: Name.
        max_connections: Connections that a target takes from all hosts.
        cold_start_rate_per_s: Requests a second that a target in cold start
            bears.
    """

    name: str
    max_connections: int
    cold_start_rate_per_s: float = 0.0


@attrs.frozen
class Account:
    """A client account.

    Attributes:
        name: Name, as targets are told.
        rate_per_s: Requests a second over all hosts; 0 for no limit.
        burst: Requests that may come at once over all hosts.
        priority: Rank that goes before that of the route, if any.
        allowed_regions: Regions whose targets may run requests; empty for all.
    """

    name: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None
    allowed_regions: tuple[str, ...] = ()


@attrs.frozen
class RequestLimits:
    """Bounds on what a caller may send."""

    max_header_bytes: int = 65536
    max_body_bytes: int = 1048576


@attrs.frozen
class Configuration:
    """Everything that operators decide, in one version.

    Attributes:
        version: Rises with each change.
        routes: All routes.
        services: Services by name.
        accounts: Client accounts by name.
        account_name_by_key: Account name by caller key.
        limits: Bounds on what a caller may send.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = attrs.field(factory=dict)
    accounts: Mapping[str, Account] = attrs.field(factory=dict)
    account_name_by_key: Mapping[str, str] = attrs.field(factory=dict)
    limits: RequestLimits = attrs.field(factory=RequestLimits)


@attrs.frozen
class Target:
    """A searcher, as it was published.

    Attributes:
        id: Name of this start of the searcher.
        service: Service that it belongs to.
        address: IP number and port.
        failure_domain: Failure domain that it runs in.
        slots: Requests that it runs at once.
        leaving: Whether it must get no new work.
        cold_start_remaining_s: Seconds for which it is in cold start, from its
            publication.
        started_at_epoch_ms: When it started, in milliseconds since the epoch; 0
            if unknown.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int = 1
    leaving: bool = False
    cold_start_remaining_s: float = 0.0
    started_at_epoch_ms: int = 0
