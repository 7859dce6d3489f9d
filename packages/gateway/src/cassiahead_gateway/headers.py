"""Names of HTTP headers, and which headers are passed on to the next hop."""

from __future__ import annotations

import attrs
from tornado import httputil

__all__ = ["HeaderNames", "forwardable_headers"]

# Headers that apply to one hop only (see RFC 9110, section 7.6.1), and headers
# that the gateway sets on each message itself.
_NEVER_FORWARDED_NAMES = frozenset(
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
    """Names of the application-level headers, as configured in the settings.

    Attributes:
        request_id: Identifier that a caller gives to a request; each repetition
            of the request by the caller has a new one.
        deadline_ms: Remaining milliseconds for which the sender waits for the
            response.
        authorization: API key of the caller, as ``Bearer KEY``.
        account: Name of the request's client account, set for targets.
        expected_target: Id of the only target that may run the request.
        stamp: Target's signature on its response.
        not_run: Present if the target did not run the request.
        part_stamps: Signatures of the parts in a merged response.
        missing_parts: Number of shards missing from a merged response.
        leaving: ``1`` on each response of a target that is leaving.
        retry_after: Seconds for which a target that refuses a request with
            status 503 asks for no more requests.
        cold_ms: Remaining milliseconds of a target's cold start, in its health
            check responses.
        instance: Id of the target that sent a health check response.
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
    leaving: str = "X-Leaving"
    retry_after: str = "Retry-After"
    cold_ms: str = "X-Cold-Ms"
    instance: str = "X-Instance"

    def answers_request(
        self, response_headers: httputil.HTTPHeaders, request_id: str
    ) -> bool:
        """Returns whether a response may belong to a request.

        Args:
            response_headers: Headers of the response.
            request_id: Identifier of the request.

        Returns:
            Whether the response names that request or none at all.
        """
        return response_headers.get(self.request_id, request_id) == request_id


def forwardable_headers(
    headers: httputil.HTTPHeaders, excluded_names: frozenset[str]
) -> httputil.HTTPHeaders:
    """Returns the headers of a message that are passed on to the next hop.

    Args:
        headers: Headers of the message received.
        excluded_names: Names, in lower case, of further headers to leave out.
    """
    hop_names = headers.get("Connection", "").lower().split(",")
    dropped_names = _NEVER_FORWARDED_NAMES.union(
        excluded_names, (name.strip() for name in hop_names)
    )
    kept_headers = httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped_names:
            kept_headers.add(name, value)
    return kept_headers
