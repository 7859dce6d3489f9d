"""What processes tell each other of requests that crash targets."""

from __future__ import annotations

import attrs

__all__ = ["PoisonReport"]


@attrs.frozen
class PoisonReport:
    """Crashes that one request has caused.

    Attributes:
        fingerprint: Digest of account, route and request.
        crashes: Distinct suspected crashes counted by the sender.
        ttl: Seconds for which the report holds.
    """

    fingerprint: str
    crashes: int
    ttl: float
