"""Scatters one search or lookup over shards and gathers the answers.

Slow sub-requests are hedged and failed ones retried, as far as the extra-load
budget of the route allows. Only answers of one snapshot (layout generation and
index version) are merged.
"""

from __future__ import annotations

import asyncio
import contextlib

import attrs

from cassiahead_daemon import attempt_scheduler
from cassiahead_daemon import attempt_sender
from cassiahead_daemon import daemon_state as daemon_state_lib
from cassiahead_daemon import errors
from cassiahead_daemon import relay_client as relay_client_lib
from cassiahead_daemon import request_context
from cassiahead_daemon import search_state as search_state_lib
from cassiahead_daemon import search_timings
from cassiahead_daemon import shard_progress
from cassiahead_decisions import retries
from cassiahead_decisions import snapshot
from cassiahead_protocol import api
from cassiahead_telemetry import events
from cassiahead_wire import clock

__all__ = ["ScatterGather"]


@attrs.define
class ScatterGather:
    """One search or lookup, from its first attempts to its snapshot.

    The methods must be called in this order: ``run``, ``close`` (even if
    ``run`` has raised an error), ``result``.

    Attributes:
        timings: Service and queue times of the sub-requests so far.
    """

    _daemon_state: daemon_state_lib.DaemonState
    _search_state: search_state_lib.SearchState
    _context: request_context.RequestContext
    _progress_by_shard: dict[str, shard_progress.ShardProgress]
    _collector: snapshot.AnswerCollector
    _attempt_sender: attempt_sender.AttemptSender
    _attempt_scheduler: attempt_scheduler.AttemptScheduler
    timings: search_timings.SearchTimings = attrs.field(
        factory=search_timings.SearchTimings
    )

    @classmethod
    def from_context(
        cls,
        context: request_context.RequestContext,
        shards: tuple[str, ...],
        daemon_state: daemon_state_lib.DaemonState,
        relay_client: relay_client_lib.RelayClient,
        search_state: search_state_lib.SearchState,
    ) -> ScatterGather:
        """Prepares the search or lookup of a request.

        The search is pinned to the layout of the request. The first attempts
        ask for the newest index version that every shard is known to have on a
        usable target, or for any version if there is none.

        Args:
            context: The request.
            shards: Names of the shards to ask.
            daemon_state: State of this daemon.
            relay_client: Sends the sub-requests.
            search_state: Observations of this entry's earlier searches.
        """
        sender = attempt_sender.AttemptSender(
            daemon_state,
            relay_client,
            search_state,
            context,
            search_state.newest_common_version(context, shards),
        )
        progress_by_shard = {
            shard: shard_progress.ShardProgress(shard) for shard in shards
        }
        scheduler = attempt_scheduler.AttemptScheduler(
            daemon_state, search_state, context, progress_by_shard, sender
        )
        return cls(
            daemon_state,
            search_state,
            context,
            progress_by_shard,
            snapshot.AnswerCollector(
                context.layout.generation, frozenset(shards)
            ),
            sender,
            scheduler,
        )

    async def run(self) -> None:
        """Sends attempts and handles answers until the search has ended.

        The search ends when a snapshot covers all shards, when the soft
        deadline has passed and the coverage has reached the minimum of the
        route, ``MERGE_MARGIN_S`` before the caller's deadline, or when no
        attempt is in flight or planned.
        """
        self._search_state.extra_load_budget(
            self._context
        ).record_first_attempts(len(self._progress_by_shard))
        self._attempt_sender.send(
            [
                attempt_sender.Attempt(
                    progress, attempt_sender.AttemptKind.FIRST
                )
                for progress in self._progress_by_shard.values()
            ]
        )
        deadline = self._context.deadline - attempt_sender.MERGE_MARGIN_S
        while not self._is_finished():
            now = clock.monotonic()
            if now >= deadline:
                return
            wake_at = min(
                deadline,
                self._attempt_scheduler.next_due_at(),
                self._soft_deadline(),
            )
            await self._receive_answers(max(0.0, wake_at - now))
            if due_attempts := self._attempt_scheduler.take_due_attempts():
                self._attempt_sender.send(due_attempts)

    def result(self) -> snapshot.Snapshot:
        """Returns the snapshot with the highest coverage.

        Raises:
            errors.RequestError: ``COVERAGE_TOO_LOW`` if the coverage is below
                the minimum of the route.
            errors.InvariantError: If the snapshot has answers of shards that
                were not asked, or its shard count differs from the number of
                shards asked.
        """
        best = self._collector.best_snapshot()
        telemetry = self._daemon_state.telemetry
        telemetry.check_invariant(
            best.payloads.keys() <= self._progress_by_shard.keys()
            and best.shard_count == len(self._progress_by_shard),
            "coverage",
            f"{len(best.payloads)} shards of {best.shard_count}",
        )
        if self._collector.discarded_count:
            telemetry.metrics.discarded_answers.add(
                self._collector.discarded_count
            )
        if best.coverage < self._context.route.min_coverage:
            raise errors.RequestError(
                errors.ErrorCode.COVERAGE_TOO_LOW,
                api.Outcome.UNKNOWN,
                f"{len(best.payloads)} of {best.shard_count} shards answered",
            )
        return best

    def close(self) -> None:
        """Cancels the attempts in flight.

        A target that has not answered counts as failed, unless another replica
        has answered for the shard.
        """
        now = clock.monotonic()
        self._attempt_sender.cancel()
        for progress in self._progress_by_shard.values():
            for target in progress.outstanding_targets:
                if self._collector.has_answer(progress.shard):
                    self._search_state.replica_chooser.record_inconclusive(
                        target, now
                    )
                else:
                    self._search_state.replica_chooser.record_failure(
                        target, now
                    )

    def _is_finished(self) -> bool:
        if self._collector.is_complete():
            return True
        if clock.monotonic() >= self._soft_deadline():
            best = self._collector.best_snapshot()
            if best.coverage >= self._context.route.min_coverage:
                return True
        return not any(
            progress.outstanding_targets or progress.retry_at < float("inf")
            for progress in self._progress_by_shard.values()
        )

    def _soft_deadline(self) -> float:
        """Returns the soft deadline, in seconds of ``clock.monotonic``.

        The result is infinite if the route has no soft deadline. It is also
        infinite once the soft deadline has passed with too low a coverage, so
        that the search waits for further answers instead of waking at once.
        """
        soft_deadline_ms = self._context.route.soft_deadline_ms
        if soft_deadline_ms is None:
            return float("inf")
        soft_deadline = self._context.arrived_at + soft_deadline_ms / 1000
        coverage = self._collector.best_snapshot().coverage
        is_min_coverage_reached = coverage >= self._context.route.min_coverage
        return (
            soft_deadline
            if is_min_coverage_reached or clock.monotonic() < soft_deadline
            else float("inf")
        )

    async def _receive_answers(self, timeout_s: float) -> None:
        """Waits for an answer and handles all that have arrived.

        After a stall of the process, answers that arrived in time are handled
        even if the timeout has passed meanwhile.
        """
        answers = self._attempt_sender.answers
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                self._handle_answer(await answers.get())
        while not answers.empty():
            self._handle_answer(answers.get_nowait())

    def _handle_answer(self, answer: api.SubAnswer) -> None:
        progress = self._progress_by_shard[answer.shard]
        progress.outstanding_targets.discard(answer.target)
        self._search_state.version_tracker.record_versions(
            answer.target, answer.versions, clock.monotonic()
        )
        if answer.status is api.SubStatus.OK:
            self._handle_success(progress, answer)
        else:
            self._handle_failure(progress, answer)

    def _handle_success(
        self, progress: shard_progress.ShardProgress, answer: api.SubAnswer
    ) -> None:
        """Handles an answer with status ``OK``.

        An answer of another layout generation or without an index version is
        discarded and counts as a failure of its target.
        """
        now = clock.monotonic()
        total_latency_s = answer.latency + answer.queued
        self.timings.service_times_s.append(answer.latency)
        self.timings.queue_times_s.append(answer.queued)
        self._daemon_state.peering.poison_table.record_success(
            self._context.fingerprint
        )
        if not self._collector.add(answer):
            self._search_state.replica_chooser.record_failure(
                answer.target, now
            )
            self._record_discarded_answer(answer)
            self._attempt_scheduler.schedule_retry(progress, answer)
            return
        self._search_state.replica_chooser.record_answer(
            answer.target, total_latency_s, now
        )
        latency_window = self._search_state.latency_window(
            self._context.route_name, progress.shard
        )
        latency_window.record(total_latency_s)
        progress.hedge_at = float("inf")
        progress.retry_at = float("inf")
        if not self._collector.is_complete():
            self._retry_at_best_version()

    def _handle_failure(
        self, progress: shard_progress.ShardProgress, answer: api.SubAnswer
    ) -> None:
        """Handles an answer with any status but ``OK``.

        ``NOT_OWNER`` and ``NO_SLOT`` do not count as failures of the target,
        since the relay has not asked the target.
        """
        now = clock.monotonic()
        if answer.status in (api.SubStatus.NOT_OWNER, api.SubStatus.NO_SLOT):
            self._search_state.replica_chooser.record_inconclusive(
                answer.target, now
            )
        else:
            self._search_state.replica_chooser.record_failure(
                answer.target, now
            )
        if answer.outcome is api.Outcome.NOT_RUN and answer.queued:
            self.timings.queue_times_s.append(answer.queued)
        if answer.status is api.SubStatus.CRASHED:
            self._daemon_state.peering.poison_table.record_crash(
                self._context.fingerprint, now
            )
        if answer.status is api.SubStatus.VERSION_MISMATCH:
            self._attempt_sender.wanted_version = self._choose_version()
        if not progress.outstanding_targets and not self._collector.has_answer(
            progress.shard
        ):
            self._attempt_scheduler.schedule_retry(progress, answer)

    def _retry_at_best_version(self) -> None:
        """Retries shards that lack an answer at the best index version.

        The best version is the one that ``_choose_version`` returns. No shard
        is retried before every shard has answered at some version.
        """
        if not all(
            self._collector.has_answer(s) for s in self._progress_by_shard
        ):
            return
        self._attempt_sender.wanted_version = self._choose_version()
        if self._attempt_sender.wanted_version is None:
            return
        outdated_progresses = [
            self._progress_by_shard[name]
            for name in self._collector.unanswered_shards(
                self._attempt_sender.wanted_version
            )
            if not self._progress_by_shard[name].outstanding_targets
            and len(self._progress_by_shard[name].tried_targets)
            < retries.MAX_ATTEMPTS_PER_SHARD
        ]
        self._attempt_sender.send(
            [
                attempt_sender.Attempt(
                    progress, attempt_sender.AttemptKind.RETRY
                )
                for progress in outdated_progresses
            ]
        )

    def _choose_version(self) -> int | None:
        """Returns the index version to ask for; None for any.

        Prefers the newest version that every shard is known to have on a usable
        target, then the version at which the most shards have answered.
        """
        common_version = self._search_state.newest_common_version(
            self._context, self._progress_by_shard
        )
        return common_version or self._collector.best_snapshot().version or None

    def _record_discarded_answer(self, answer: api.SubAnswer) -> None:
        self._daemon_state.telemetry.record_decision(
            events.Event.ANSWER_DISCARDED,
            self._context.request_id,
            target=answer.target,
            shard=answer.shard,
            generation=answer.generation,
            version=answer.version,
        )
