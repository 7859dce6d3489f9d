"""Errors in replies to callers: codes and HTTP statuses."""

from __future__ import annotations

import enum

__all__ = ["ErrorCode", "RequestError"]


class ErrorCode(enum.Enum):
    """Why a request ended without a target's response.

    The codes are described in docs/reference/errors.md. Statuses 503 and 429
    guarantee that no target has run or will run the request; after 502 and 504
    a target may have run it.
    """

    NOT_READY = ("CG01", 503)
    NO_ROUTE = ("CG02", 404)
    NO_REQUEST_ID = ("CG03", 400)
    KEY_MISSING = ("CG04", 401)
    KEY_INVALID = ("CG05", 401)
    BODY_TOO_LARGE = ("CG06", 413)
    OVER_QUOTA = ("CG07", 429)
    NO_TARGET = ("CG08", 503)
    SHED = ("CG09", 503)
    TARGET_LOST = ("CG12", 502)
    DEADLINE = ("CG13", 504)
    COVERAGE_TOO_LOW = ("CG14", 502)
    POISONED = ("CG16", 503)
    INTERNAL = ("CG17", 502)
    STOPPING = ("CG18", 503)
    STOPPED = ("CG19", 504)
    HEAD_TOO_LARGE = ("CG20", 431)
    TOO_SLOW = ("CG21", 408)
    MEMORY_SHORT = ("CG22", 503)
    MALFORMED = ("CG23", 400)
    TOO_MANY_CONNECTIONS = ("CG24", 503)
    LEFT_OUT = ("CG25", 503)

    @property
    def identifier(self) -> str:
        """``CG`` and two digits, such as ``CG01``; the same in all releases."""
        return self.value[0]

    @property
    def status(self) -> int:
        """HTTP status of the reply to the caller."""
        return self.value[1]


class RequestError(Exception):
    """A caller's request ended without a target's response.

    Attributes:
        code: Why the request failed.
        detail: One line that explains the failure, for the caller and the log.
        retry_after_s: Seconds after which a retry may succeed; None if unknown.
    """

    def __init__(
        self, code: ErrorCode, detail: str, retry_after_s: float | None = None
    ) -> None:
        """Creates the error; its text is the code's identifier and detail."""
        super().__init__(f"{code.identifier} {detail}")
        self.code = code
        self.detail = detail
        self.retry_after_s = retry_after_s
