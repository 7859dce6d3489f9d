"""Converts between the inner protocol and HTTP messages of targets."""

from __future__ import annotations

import json
from typing import Any

import attrs
import cattrs

from cassiahead_protocol import api

__all__ = [
    "SubRequestJob",
    "TargetAnswer",
    "not_run_answer",
    "parse_answer",
    "parse_versions",
    "request_headers",
    "outcome_unknown_answer",
]

_CONVERTER = cattrs.Converter()


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
        The answer; None if the body is malformed.
    """
    try:
        return _CONVERTER.structure(json.loads(body), TargetAnswer)
    except Exception:
        return None


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
    except (ValueError, KeyError, TypeError):
        return ()
