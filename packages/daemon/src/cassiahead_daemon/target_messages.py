"""Converts between the inner protocol and HTTP messages of targets."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING
from typing import Any

import attrs
import cattrs

from cassiahead_protocol import api

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "SubRequestJob",
    "TargetAnswer",
    "not_run_answer",
    "parse_answer",
    "parse_incarnation",
    "parse_versions",
    "request_headers",
    "outcome_unknown_answer",
]

_CONVERTER = cattrs.Converter()
# Encoding a result recurses several times for each level of nesting.
_MAX_RESULT_DEPTH = 64


@attrs.frozen
class TargetAnswer:
    """The JSON body of a target's successful answer.

    Attributes:
        request_id: Identifier of the request answered.
        shard: Shard that the answer covers.
        generation: Layout generation of the target.
        version: Index version of the result.
        versions: Index versions that the target holds.
        incarnation: Identifier that changes with each start of the target.
        cold: Whether the target reports that it is in cold start.
        result: The result, any JSON value.
    """

    request_id: str
    shard: str
    generation: int
    version: int
    versions: tuple[int, ...]
    incarnation: str
    cold: bool
    result: Any


@attrs.frozen
class SubRequestJob:
    """A sub-request with the message that contained it.

    Attributes:
        request: The message.
        sub_request: The sub-request.
        deadline: Instant by which the sub-request must end, in seconds of
            ``clock.monotonic``.
    """

    request: api.ScatterRequest
    sub_request: api.SubRequest
    deadline: float


def parse_answer(body: bytes) -> TargetAnswer | None:
    """Parses a successful answer of a target.

    Args:
        body: JSON, UTF-8 encoded.

    Returns:
        The answer; None if the body is malformed, or if its result is too
        deeply nested or has a number that JSON cannot express.
    """
    try:
        answer = _CONVERTER.structure(json.loads(body), TargetAnswer)
    except Exception:
        return None
    return answer if _is_encodable(answer.result) else None


def request_headers(job: SubRequestJob, now: float) -> dict[str, str]:
    """Returns the HTTP headers of the request to the target.

    Args:
        job: The sub-request.
        now: Time in seconds of ``clock.monotonic``; the target is told the
            milliseconds left from then to the deadline, at least 1.
    """
    headers = {
        "Content-Type": "application/json",
        "X-Request-Id": job.request.request_id,
        "X-Account": job.request.account,
        "X-Layout-Generation": str(job.request.generation),
        "X-Deadline-Ms": str(max(1, int((job.deadline - now) * 1000))),
    }
    if job.request.version is not None:
        headers["X-Index-Version"] = str(job.request.version)
    return headers


def not_run_answer(
    job: SubRequestJob, status: api.SubStatus, queue_time_s: float = 0.0
) -> api.SubAnswer:
    """Returns the answer for a sub-request that the target has not run.

    Args:
        job: The sub-request, of which no byte reached the target.
        status: Why the sub-request did not run.
        queue_time_s: Seconds for which the sub-request waited for a slot.
    """
    return api.SubAnswer(
        job.sub_request.shard,
        job.sub_request.target,
        status,
        api.Outcome.NOT_RUN,
        queued=queue_time_s,
    )


def outcome_unknown_answer(
    job: SubRequestJob, status: api.SubStatus, versions: tuple[int, ...] = ()
) -> api.SubAnswer:
    """Returns the answer for a sub-request that the target may have run.

    Args:
        job: The sub-request.
        status: What failed.
        versions: Index versions that the target holds, if known.
    """
    return api.SubAnswer(
        job.sub_request.shard,
        job.sub_request.target,
        status,
        api.Outcome.UNKNOWN,
        versions=versions,
    )


def parse_versions(body: bytes) -> tuple[int, ...]:
    """Parses the index versions that a target lists in a refusal.

    Args:
        body: JSON, UTF-8 encoded.

    Returns:
        The versions; empty if there are none or the body is malformed.
    """
    try:
        return tuple(int(v) for v in json.loads(body)["versions"])
    except Exception:
        return ()


def parse_incarnation(body: bytes) -> str | None:
    """Parses the incarnation that a target's health endpoint reports.

    Args:
        body: JSON, UTF-8 encoded.

    Returns:
        The incarnation, empty if there is none; None if the body is malformed.
    """
    try:
        return str(json.loads(body).get("incarnation", ""))
    except Exception:
        return None


def _is_encodable(result: object) -> bool:
    """Returns whether a parsed JSON value can be encoded again as JSON."""
    level = [result]
    for _ in range(_MAX_RESULT_DEPTH):
        if any(isinstance(v, float) and not math.isfinite(v) for v in level):
            return False
        level = [child for value in level for child in _children(value)]
        if not level:
            return True
    return False


def _children(value: object) -> Iterable[object]:
    match value:
        case dict():
            return value.values()
        case list():
            return value
        case _:
            return ()
