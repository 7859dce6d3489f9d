"""Header names between callers, the gateway and targets."""

from __future__ import annotations

import attrs
from tornado import httputil

__all__ = ["HeaderNames", "forwarded"]

# Headers that concern one connection only (RFC 9110, section 7.6.1), and those
# that the gateway sets itself.
_NOT_FORWARDED = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@attrs.frozen
class HeaderNames:
    """Names of the headers that carry more than HTTP itself says.

    Attributes:
        request_id: Identifier of a caller's attempt.
        deadline_ms: Milliseconds for which the sender still waits.
        authorization: The caller's key, as ``Bearer KEY``.
        account: Client account that a target is told.
        expected_target: Id of the target that alone may run the request.
        stamp: A target's signature on its answer.
        not_run: Says that the target did not run the request.
        part_stamps: Signatures of the parts in a merged answer.
        missing_parts: Number of shards that a merged answer lacks.
    """

    request_id: str = "X-Request-Id"
    deadline_ms: str = "X-Deadline-Ms"
    authorization: str = "Authorization"
    account: str = "X-Client-Account"
    expected_target: str = "X-Expected-Target"
    stamp: str = "X-Signature"
    not_run: str = "X-Not-Run"
    part_stamps: str = "X-Part-Signatures"
    missing_parts: str = "X-Missing-Parts"


def forwarded(
    headers: httputil.HTTPHeaders, own: frozenset[str]
) -> httputil.HTTPHeaders:
    """Returns the headers of a message that the next hop gets as they are.

    Args:
        headers: The message's headers.
        own: Names in lower case that the gateway sets itself.
    """
    dropped = _NOT_FORWARDED | own
    for name in headers.get("Connection", "").split(","):
        dropped = dropped | {name.strip().lower()}
    kept = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            kept.add(name, value)
    return kept
