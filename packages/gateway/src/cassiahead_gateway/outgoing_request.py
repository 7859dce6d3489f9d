"""A request as it is sent to targets."""

from __future__ import annotations

import attrs
from tornado import httputil

from cassiahead_decisions import hedging

__all__ = ["OutgoingRequest"]


@attrs.frozen(eq=False)
class OutgoingRequest:
    """A request to send to targets.

    Each attempt sets the headers for the remaining time and the expected
    target.

    Attributes:
        request_id: Identifier that the caller gave to the request; all attempts
            of the gateway carry the same one.
        method: HTTP method.
        path: Path with query, as the caller sent it.
        headers: Headers of the request. The ones that differ by attempt are
            replaced just before each attempt is sent.
        body: Request body.
        deadline: When the caller stops waiting, in seconds on this process's
            monotonic clock.
        fingerprint: Digest of the client account, host, path and body; equal
            for all repetitions of a request by its caller.
        latencies: Recent latencies of attempts on the same route.
        priority: Rank of the request in an overload; 0 is the highest.
        account_name: Name of the client account; empty if it has none.
        is_part: Whether its response is merged with those of other shards.
    """

    request_id: str
    method: str
    path: str
    headers: httputil.HTTPHeaders
    body: bytes
    deadline: float
    fingerprint: str
    latencies: hedging.LatencyWindow
    priority: int = 0
    account_name: str = ""
    is_part: bool = False
