"""Errors with codes that callers and operators see."""

from __future__ import annotations

import enum

__all__ = ["Code", "RequestError"]


class Code(enum.Enum):
    """Why a request got no answer of a target; docs/reference/errors.md.

    503 and 429 promise that the request has not run and will not run. 502 and
    504 promise nothing.
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

    @property
    def number(self) -> str:
        """Code that stays the same over releases."""
        return self.value[0]

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.value[1]


class RequestError(Exception):
    """A request that ends without a target's answer.

    Attributes:
        code: Why.
        detail: One line for whoever reads the log.
        retry_after: Seconds after which it may be served; None if unknown.
    """

    def __init__(
        self, code: Code, detail: str, retry_after: float | None = None
    ) -> None:
        """Creates the error."""
        super().__init__(f"{code.number} {detail}")
        self.code = code
        self.detail = detail
        self.retry_after = retry_after
