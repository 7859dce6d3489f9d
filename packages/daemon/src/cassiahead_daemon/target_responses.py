"""Converts the responses of targets to answers of the inner protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahead_daemon import target_messages
from cassiahead_protocol import api
from cassiahead_telemetry import events

if TYPE_CHECKING:
    from cassiahead_decisions import target_state
    from cassiahead_wire import connection as connection_lib

__all__ = ["answer_from_response"]


def answer_from_response(
    state: target_state.TargetState,
    job: target_messages.SubRequestJob,
    response: connection_lib.Response,
    latency_s: float,
    queue_time_s: float,
) -> api.SubAnswer:
    """Converts a response to an answer, and updates the target's state.

    Args:
        state: State of the target.
        job: The sub-request.
        response: The target's response.
        latency_s: Seconds from the request to the complete response.
        queue_time_s: Seconds that the sub-request waited for a slot.
    """
    name = state.name
    if response.status == 503:
        if state.reset_to_cold():
            events.log(events.Event.TARGET_COLD, target=name, reason="shed")
        return target_messages.outcome_unknown_answer(job, api.SubStatus.SHED)
    if response.status == 409:
        versions = target_messages.parse_versions(response.body)
        return target_messages.outcome_unknown_answer(
            job, api.SubStatus.VERSION_MISMATCH, versions
        )
    if response.status != 200:
        return target_messages.outcome_unknown_answer(job, api.SubStatus.FAILED)
    answer = target_messages.parse_answer(response.body)
    if answer is None:
        return target_messages.outcome_unknown_answer(job, api.SubStatus.FAILED)
    if (answer.request_id, answer.shard) != (
        job.request.request_id,
        job.sub_request.shard,
    ):
        events.log(
            events.Event.ANSWER_DISCARDED,
            target=name,
            request_id=job.request.request_id,
            reason="crossed",
        )
        return target_messages.outcome_unknown_answer(
            job, api.SubStatus.CROSSED
        )
    if state.record_answer(answer.incarnation, answer.cold):
        events.log(events.Event.TARGET_COLD, target=name, reason="restart")
    return api.SubAnswer(
        shard=answer.shard,
        target=name,
        status=api.SubStatus.OK,
        outcome=api.Outcome.RAN,
        generation=answer.generation,
        version=answer.version,
        payload=answer.result,
        latency=latency_s,
        queued=queue_time_s,
        versions=answer.versions,
    )
