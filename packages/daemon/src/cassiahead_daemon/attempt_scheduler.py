"""Decides when the shards of one search are hedged and retried."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from cassiahead_daemon import attempt_sender
from cassiahead_daemon import daemon_state as daemon_state_lib
from cassiahead_daemon import request_context
from cassiahead_daemon import search_state as search_state_lib
from cassiahead_daemon import shard_progress
from cassiahead_decisions import retries
from cassiahead_wire import clock

if TYPE_CHECKING:
    from cassiahead_protocol import api

__all__ = ["AttemptScheduler"]

# Pause before a retry if every candidate target has been tried; an untried
# target is asked at once.
_RETRY_PAUSE_S = 0.03


@attrs.define
class AttemptScheduler:
    """Plans hedges and retries within the extra-load budget of the route."""

    _daemon_state: daemon_state_lib.DaemonState
    _search_state: search_state_lib.SearchState
    _context: request_context.RequestContext
    _progress_by_shard: dict[str, shard_progress.ShardProgress]
    _attempt_sender: attempt_sender.AttemptSender

    def next_due_at(self) -> float:
        """Returns when the next hedge or retry is due.

        In seconds of ``clock.monotonic``; infinite if none is planned.
        """
        return min(
            min(progress.hedge_at, progress.retry_at)
            for progress in self._progress_by_shard.values()
        )

    def take_due_attempts(self) -> list[attempt_sender.Attempt]:
        """Returns the attempts that are due, which are then no longer planned.

        The extra-load budget is charged for the hedges.
        """
        now = clock.monotonic()
        due_attempts: list[attempt_sender.Attempt] = []
        for progress in self._progress_by_shard.values():
            if progress.retry_at <= now:
                progress.retry_at = float("inf")
                due_attempts.append(
                    attempt_sender.Attempt(
                        progress, attempt_sender.AttemptKind.RETRY
                    )
                )
            elif progress.hedge_at <= now and self._try_hedge(progress, now):
                due_attempts.append(
                    attempt_sender.Attempt(
                        progress, attempt_sender.AttemptKind.HEDGE
                    )
                )
        return due_attempts

    def schedule_retry(
        self, progress: shard_progress.ShardProgress, answer: api.SubAnswer
    ) -> None:
        """Plans another attempt if the failure and the budget allow one.

        No attempt is planned for a request that has crashed targets so often
        that it is refused.

        Args:
            progress: Progress of the shard, which gets the planned retry.
            answer: The failure.
        """
        now = clock.monotonic()
        untried_targets = self._attempt_sender.untried_targets(progress)
        replica_chooser = self._search_state.replica_chooser
        decision = retries.decide_retry(
            answer,
            len(progress.tried_targets),
            has_healthy_replica=any(
                not replica_chooser.is_ejected(t, now) for t in untried_targets
            ),
        )
        if decision is retries.RetryDecision.NEVER:
            return
        poison_table = self._daemon_state.peering.poison_table
        if poison_table.is_poisoned(self._context.fingerprint, now):
            return
        budget = self._search_state.extra_load_budget(self._context)
        if decision is retries.RetryDecision.CHARGED and not budget.try_spend():
            return
        progress.retry_at = now + (0.0 if untried_targets else _RETRY_PAUSE_S)

    def _try_hedge(
        self, progress: shard_progress.ShardProgress, now: float
    ) -> bool:
        """Returns whether to send a hedge now, and charges the budget for it.

        While an attempt is slow but not overdue, a hedge must leave part of
        the budget for attempts that replace a lost answer. Once the attempt is
        overdue, its answer counts as lost; a hedge is then considered once more
        and may use all of the budget. A request that has crashed a target is
        not hedged.
        """
        latency_window = self._search_state.latency_window(
            self._context.route_name, progress.shard
        )
        overdue_at = progress.latest_attempt_at + latency_window.overdue_delay_s
        is_overdue = now >= overdue_at
        progress.hedge_at = float("inf") if is_overdue else overdue_at
        if (
            not self._attempt_sender.untried_targets(progress)
            or len(progress.tried_targets) >= retries.MAX_ATTEMPTS_PER_SHARD
        ):
            return False
        poison_table = self._daemon_state.peering.poison_table
        if poison_table.crash_count(self._context.fingerprint, now):
            return False
        return self._search_state.extra_load_budget(self._context).try_spend(
            is_required=is_overdue
        )
