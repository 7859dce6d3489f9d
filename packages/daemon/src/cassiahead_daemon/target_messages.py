"""Requests to targets and their answers, as messages of the inner protocol."""

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
    "unknown_answer",
]

_CONVERTER = cattrs.Converter()


@attrs.frozen
class TargetAnswer:
    """The body of a target's good answer.

    Attributes:
        request_id: Identifier of the request answered.
        shard: Shard answered for.
        generation: Layout generation of the target.
        version: Index version of the result.
        versions: Index versions that the target holds.
        incarnation: Changes each time the target starts.
        cold: Whether the target says it is in cold start.
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
    """A sub-request with the message it came in.

    Attributes:
        request: The message.
        item: The sub-request.
        deadline: Time on this process's clock by which it must end.
    """

    request: api.ScatterRequest
    item: api.SubRequest
    deadline: float


def parse_answer(body: bytes) -> TargetAnswer | None:
    """Returns a target's answer; None if the body is none."""
    try:
        return _CONVERTER.structure(json.loads(body), TargetAnswer)
    except Exception:
        return None


def request_headers(job: SubRequestJob, now: float) -> dict[str, str]:
    """Returns the headers that tell a target of a job."""
    fields = {
        "Content-Type": "application/json",
        "X-Request-Id": job.request.request_id,
        "X-Account": job.request.account,
        "X-Layout-Generation": str(job.request.generation),
        "X-Deadline-Ms": str(max(1, int((job.deadline - now) * 1000))),
    }
    if job.request.version is not None:
        fields["X-Index-Version"] = str(job.request.version)
    return fields


def not_run_answer(
    job: SubRequestJob, status: api.SubStatus, queue_time_s: float = 0.0
) -> api.SubAnswer:
    """Returns the outcome of a job of which no byte reached the target.

    Args:
        job: The job.
        status: Why it did not run.
        queue_time_s: Seconds for which the sub-request waited for a slot.
    """
    return api.SubAnswer(
        job.item.shard,
        job.item.target,
        status,
        api.Outcome.NOT_RUN,
        queued=queue_time_s,
    )


def unknown_answer(
    job: SubRequestJob, status: api.SubStatus, versions: tuple[int, ...] = ()
) -> api.SubAnswer:
    """Returns the outcome of a job that the target may have run."""
    return api.SubAnswer(
        job.item.shard,
        job.item.target,
        status,
        api.Outcome.UNKNOWN,
        versions=versions,
    )


def parse_versions(body: bytes) -> tuple[int, ...]:
    """Returns the versions that a target names in a refusal, if any."""
    try:
        return tuple(int(v) for v in json.loads(body)["versions"])
    except (ValueError, KeyError, TypeError):
        return ()
