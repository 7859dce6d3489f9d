"""Reports that processes exchange about requests that crash targets."""

from __future__ import annotations

import attrs

__all__ = ["PoisonReport"]


@attrs.frozen
class PoisonReport:
    """Target crashes that the sender attributes to one request.

    Attributes:
        fingerprint: Digest of client account, route (or host and path) and
            request body; a repeated request has the same fingerprint.
        crashes: Number of suspected crashes that the sender itself observed.
        ttl: Seconds until the report expires.
    """

    fingerprint: str
    crashes: int
    ttl: float
