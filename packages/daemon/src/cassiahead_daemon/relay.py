"""The relay role: runs the sub-requests of entries on the targets it owns.

A relay owns a target if it is the home of the target's resource.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from cassiahead_daemon import daemon_state as daemon_state_lib
from cassiahead_daemon import target_pool
from cassiahead_decisions import target_state
from cassiahead_notes import capacity
from cassiahead_protocol import api
from cassiahead_wire import clock

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from cassiahead_notes import api as notes

__all__ = ["SCATTER_PATH", "Relay"]

SCATTER_PATH = "/inner/scatter"
_HOUSEKEEPING_INTERVAL_S = 0.1


@attrs.define
class Relay:
    """Runs sub-requests on the targets that this relay owns."""

    _daemon_state: daemon_state_lib.DaemonState
    _pool_by_target: dict[str, target_pool.TargetPool] = attrs.field(
        factory=dict
    )
    _was_usable_by_target: dict[str, bool] = attrs.field(factory=dict)
    _in_flight_count: int = 0

    @classmethod
    def from_daemon_state(
        cls, daemon_state: daemon_state_lib.DaemonState
    ) -> Relay:
        """Creates the relay role of a daemon.

        The role is notified of each configuration that comes into force.

        Args:
            daemon_state: State of the daemon.
        """
        relay = cls(daemon_state)
        daemon_state.configuration_listeners.append(relay.configure)
        daemon_state.peering.is_in_use = relay.is_in_use
        return relay

    @property
    def in_flight_count(self) -> int:
        """Number of sub-requests in messages that are not fully answered."""
        return self._in_flight_count

    def configure(self, configuration: notes.Configuration) -> None:
        """Applies the targets of a configuration that has come into force.

        A target that was unusable and is usable again starts cold.
        """
        for name in list(self._pool_by_target):
            if name not in configuration.targets:
                self._pool_by_target.pop(name).suspend()
                self._was_usable_by_target.pop(name, None)
        for name, spec in configuration.targets.items():
            is_usable = capacity.is_usable(configuration, name)
            is_usable_again = is_usable and not self._was_usable_by_target.get(
                name, True
            )
            self._was_usable_by_target[name] = is_usable
            if name in self._pool_by_target:
                self._pool_by_target[name].configure(
                    spec, starts_cold=is_usable_again
                )
            else:
                state = target_state.TargetState(name, spec)
                self._pool_by_target[name] = target_pool.TargetPool(
                    self._daemon_state, state
                )

    def is_in_use(self, resource: str) -> bool:
        """Returns whether a target has requests in flight or open connections.

        Args:
            resource: Resource name of the target.
        """
        pool = self._pool_by_target.get(resource.removeprefix("target:"))
        return pool is not None and pool.is_in_use

    async def run_housekeeping(self) -> None:
        """Maintains the target pools at intervals until cancelled."""
        while True:
            self.do_housekeeping()
            await asyncio.sleep(_HOUSEKEEPING_INTERVAL_S)

    def do_housekeeping(self) -> None:
        """Maintains the target pools.

        The pools of targets that this relay owns accept sub-requests; all other
        pools are suspended.
        """
        homes = self._daemon_state.peering.home_map(
            self._daemon_state.configuration(), clock.monotonic()
        )
        own_address = self._daemon_state.process.address
        for name, pool in self._pool_by_target.items():
            if homes.home_of(target_state.target_resource(name)) == own_address:
                pool.resume()
            else:
                pool.suspend()
            pool.do_housekeeping()

    async def serve(
        self, request: api.ScatterRequest, arrived_at: float
    ) -> AsyncGenerator[api.SubAnswer, None]:
        """Runs the sub-requests of a message concurrently.

        Sub-requests that have not ended are cancelled when the generator is
        closed.

        Args:
            request: The message.
            arrived_at: Arrival of the message, in seconds of
                ``clock.monotonic``.

        Yields:
            The answers in the order in which the sub-requests end.
        """
        deadline = arrived_at + request.remaining
        # Applies a configuration that has newly come into force.
        self._daemon_state.configuration()
        tasks = {
            asyncio.ensure_future(
                self._run_sub_request(request, sub_request, deadline)
            )
            for sub_request in request.items
        }
        self._in_flight_count += len(tasks)
        try:
            for next_answer in asyncio.as_completed(tasks):
                yield await next_answer
        finally:
            self._in_flight_count -= len(tasks)
            for task in tasks:
                task.cancel()

    def close(self) -> None:
        """Closes idle connections to targets and cancels background tasks."""
        for pool in self._pool_by_target.values():
            pool.close()

    async def _run_sub_request(
        self,
        request: api.ScatterRequest,
        sub_request: api.SubRequest,
        deadline: float,
    ) -> api.SubAnswer:
        pool = self._pool_by_target.get(sub_request.target)
        if pool is None or self._daemon_state.refusal_reason() is not None:
            return api.SubAnswer(
                sub_request.shard,
                sub_request.target,
                api.SubStatus.NOT_OWNER,
                api.Outcome.NOT_RUN,
            )
        answer = await pool.run(request, sub_request, deadline)
        self._daemon_state.telemetry.metrics.sub_answers.add(
            1, {"status": answer.status.value}
        )
        return answer
