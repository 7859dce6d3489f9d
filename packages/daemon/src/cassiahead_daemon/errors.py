"""Errors that callers see, each with a code and an HTTP status."""

from __future__ import annotations

import enum

import attrs

from cassiahead_protocol import api

__all__ = ["ErrorCode", "InvariantError", "RequestError", "not_run_error"]


class ErrorCode(enum.Enum):
    """Reasons why a request has no answer.

    Each value is the code that callers see and the HTTP status.
    """

    NOT_READY = ("CA01", 503)
    UNKNOWN_ROUTE = ("CA02", 404)
    KEY_MISSING = ("CA03", 401)
    KEY_INVALID = ("CA04", 401)
    RATE_EXCEEDED = ("CA05", 429)
    LIMITER_UNREACHABLE = ("CA06", 503)
    BAD_REQUEST = ("CA07", 400)
    COVERAGE_TOO_LOW = ("CA08", 504)
    POISONED = ("CA09", 422)
    ALREADY_RUN = ("CA10", 409)
    KEY_IN_PROGRESS = ("CA11", 409)
    KEY_UNKNOWN = ("CA12", 409)
    KEY_EXPIRED = ("CA13", 400)
    DECIDER_UNREACHABLE = ("CA14", 503)
    NO_TARGET = ("CA15", 503)
    OUTCOME_UNKNOWN = ("CA16", 504)
    KEY_WITHDRAWN = ("CA17", 401)
    INTERNAL = ("CA18", 500)
    OVERLOADED = ("CA19", 503)

    @property
    def identifier(self) -> str:
        """The code that callers see, such as ``CA01``."""
        return self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status of the answer."""
        return self.value[1]


@attrs.frozen
class RequestError(Exception):
    """A request was refused or failed.

    Attributes:
        code: Reason, as a code for programs.
        outcome: Whether a target ran this attempt.
        detail: Reason, as text for people.
        retry_after_s: Seconds after which a retry may succeed; None if unknown.
        key_outcome: Whether any attempt with the same idempotency key ran;
            None if nothing is known about the key.
    """

    code: ErrorCode
    outcome: api.Outcome
    detail: str
    retry_after_s: float | None = None
    key_outcome: api.Outcome | None = None


class InvariantError(Exception):
    """An operation was stopped because it would violate an invariant.

    Attributes:
        code: Error code of a violated invariant; callers receive
            ``ErrorCode.INTERNAL``.
    """

    code = "CI01"


def not_run_error(code: ErrorCode, detail: str) -> RequestError:
    """Returns the error for a request that has not run.

    Args:
        code: Reason, as a code for programs.
        detail: Reason, as text for people.
    """
    return RequestError(code, api.Outcome.NOT_RUN, detail)
