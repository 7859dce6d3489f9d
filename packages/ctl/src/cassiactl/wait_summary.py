"""Explains in words why a request waited for capacity, or was refused."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cassiactl import request_timeline

__all__ = ["summarize_waits"]

_REASON_TEXTS = {
    "wait_limit": "it had waited for as long as its latency objective allows",
    "expected_wait": "the requests ahead would take longer than its limit",
    "queue_full": "the queue was full of requests of its or higher priorities",
    "bytes_full": "the bodies of waiting requests had reached their limit",
    "evicted": "a request of a higher priority took its place in a full queue",
}


def summarize_waits(
    lines: Iterable[request_timeline.LogLine],
) -> list[str]:
    """Returns sentences about a request's wait; none if it did not wait.

    Args:
        lines: Events of the request. Fields that are missing are left out.
    """
    sentences = []
    for line in lines:
        if line.event_name not in ("REQUEST_WAITED", "REQUEST_NOT_STARTED"):
            continue
        sentences.append(_describe_wait(line.fields))
        if line.event_name == "REQUEST_NOT_STARTED":
            sentences.append(_describe_refusal(line.fields))
            sentences.append(_describe_advice(line.fields))
    return sentences


def _describe_wait(fields: dict[str, Any]) -> str:
    lacked = fields.get("lacked") or []
    cause = (
        f"no capacity on arrival in {', '.join(map(str, lacked))}"
        if lacked
        else "others of its or a higher priority waited"
    )
    return (
        f"waited {fields.get('waited_ms')} of at most "
        f"{fields.get('limit_ms')} ms at priority {fields.get('priority')}, "
        f"{fields.get('ahead_on_arrival')} ahead on arrival: {cause}"
    )


def _describe_refusal(fields: dict[str, Any]) -> str:
    reason = str(fields.get("reason"))
    text = f"refused, not sent: {_REASON_TEXTS.get(reason, reason)}"
    text += f" ({fields.get('ahead')} ahead"
    if fields.get("rate_per_s") is not None:
        text += (
            f", {fields['rate_per_s']} starts/s, expected wait "
            f"{fields.get('expected_wait_ms')} ms"
        )
    text += ")"
    if fields.get("missing_now"):
        missing = ", ".join(map(str, fields["missing_now"]))
        text += (
            f"; {fields.get('missing_count')} services without capacity then "
            f"({missing}), {fields.get('required')} needed"
        )
    return text


def _describe_advice(fields: dict[str, Any]) -> str:
    if fields.get("retry_after_s") is None:
        return "advised the fixed Retry-After: the routes have no priorities"
    return (
        f"advised to return after {fields['retry_after_s']} s: a backlog of "
        f"{fields.get('backlog')} of its or higher priorities at "
        f"{fields.get('rate_per_s') or 'an unknown number of'} starts/s"
    )
