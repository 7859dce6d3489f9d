"""Types of the published configuration and of targets."""

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
    """Destination that sends each request to one target of one service.

    Attributes:
        service: Name of the service.
    """

    service: str


@attrs.frozen
class WeightedServices:
    """Destination that sends each request to one of several services.

    Attributes:
        weights: Relative share of the requests, by service name.
    """

    weights: Mapping[str, float]


@attrs.frozen
class Scatter:
    """Destination that sends each request to one target of every shard.

    The responses are merged.

    Attributes:
        shards: Names of the services that each hold one shard.
        top_k: Highest number of results in a merged response.
        min_coverage: Smallest fraction of the shards, 0 to 1, that a merged
            response must cover.
    """

    shards: tuple[str, ...]
    top_k: int
    min_coverage: float


Destination = SingleService | WeightedServices | Scatter


@attrs.frozen
class Route:
    """How to handle the requests for one host name and path prefix.

    Attributes:
        name: Name of the route in logs and metrics.
        host: Host name in the ``Host`` header of the requests, without port.
        path_prefix: Start of the paths of the requests; begins and ends with
            ``/``.
        destination: Service or services that the requests are sent to.
        is_idempotent: Whether a request may run more than once.
        timeout_s: Longest time until a request is answered, in seconds.
        latency_objective_s: Time in seconds within which callers expect the
            reply.
        max_attempts: Highest number of times that targets may run one request,
            for each shard.
        priority: Rank of the requests in an overload; 0 is the most important.
        is_open: Whether requests need no API key.
        allowed_regions: Regions whose targets may run requests; empty for all.
    """

    name: str
    host: str
    path_prefix: str
    destination: Destination
    is_idempotent: bool
    timeout_s: float
    latency_objective_s: float
    max_attempts: int
    priority: int = 0
    is_open: bool = False
    allowed_regions: tuple[str, ...] = ()


@attrs.frozen
class Service:
    """A group of interchangeable targets.

    Attributes:
        name: Name of the service.
        max_connections: Number of connections that each target accepts from all
            hosts together.
        cold_start_rate_per_s: Requests per second that a target can serve
            during its cold start. The gateway does not read this rate: its own
            limit is the same for all services.
    """

    name: str
    max_connections: int
    cold_start_rate_per_s: float = 0.0


@attrs.frozen
class Account:
    """A client account.

    Attributes:
        name: Name of the account, also sent to targets.
        rate_per_s: Requests per second over all hosts; 0 for no limit.
        burst: Number of requests that may arrive at once over all hosts;
            values below 1 count as 1.
        priority: Rank that overrides the priority of the route, unless None.
        allowed_regions: Regions whose targets may run requests; empty for all.
    """

    name: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None
    allowed_regions: tuple[str, ...] = ()


@attrs.frozen
class RequestLimits:
    """Bounds on the size of callers' requests.

    Attributes:
        max_header_bytes: Largest size of all headers together. The gateway does
            not enforce this limit: its HTTP server has a fixed one.
        max_body_bytes: Largest size of the body.
    """

    max_header_bytes: int = 65536
    max_body_bytes: int = 1048576


@attrs.frozen
class Configuration:
    """One version of the configuration that operators publish.

    Attributes:
        version: Number that rises with each change of the configuration.
        routes: All routes.
        services: Services by name.
        accounts: Client accounts by name.
        account_name_by_key: Name of the client account, by API key.
        limits: Bounds on the size of callers' requests.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = attrs.field(factory=dict)
    accounts: Mapping[str, Account] = attrs.field(factory=dict)
    account_name_by_key: Mapping[str, str] = attrs.field(factory=dict)
    limits: RequestLimits = attrs.field(factory=RequestLimits)


@attrs.frozen
class Target:
    """A back end that runs requests, as published in its record.

    Attributes:
        id: Identifier of the target; sent with each request, which no other
            target may run.
        service: Name of the service that the target belongs to.
        address: IP address and port, as ``IP:PORT``.
        failure_domain: Failure domain that the target runs in.
        slots: Number of requests that the target runs at once.
        is_leaving: Whether the target is draining and must get no new work.
        cold_start_remaining_s: Seconds of cold start that were left when the
            record was published; 0 for a warm target.
        started_at_epoch_ms: When the target started, in milliseconds since the
            Unix epoch; 0 if unknown.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int = 1
    is_leaving: bool = False
    cold_start_remaining_s: float = 0.0
    started_at_epoch_ms: int = 0
