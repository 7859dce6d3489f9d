"""HTTP handlers for operators and the balancer."""

from __future__ import annotations

from http import HTTPStatus
import json
from typing import TYPE_CHECKING
from typing import Any

import cattrs

from cassiahead_daemon import handlers
from cassiahead_notes import codec
from cassiahead_telemetry import exposition
from cassiahead_wire import clock

if TYPE_CHECKING:
    from cassiahead_daemon import daemon_state as daemon_state_lib
    from cassiahead_daemon import entry as entry_lib

__all__ = ["operator_routes"]

_CONVERTER = cattrs.Converter()


def operator_routes(
    daemon_state: daemon_state_lib.DaemonState, entry: entry_lib.Entry | None
) -> list[Any]:
    """Returns the routes of the server for operators and the balancer."""
    handler_arguments = {"daemon_state": daemon_state}
    return [
        (r"/healthz", HealthHandler),
        (r"/readyz", ReadyHandler, handler_arguments),
        (r"/metrics", MetricsHandler, handler_arguments),
        (r"/inforce", InForceHandler, handler_arguments),
        (r"/explain/([0-9a-f-]+)", ExplainHandler, handler_arguments),
        (r"/replicas", ReplicasHandler, {"entry": entry}),
    ]


class HealthHandler(handlers.JsonHandler):
    """Liveness check."""

    async def get(self) -> None:
        """Answers 200 while the process runs."""
        self.write_json(HTTPStatus.OK, {"alive": True})


class _DaemonStateHandler(handlers.JsonHandler):
    def initialize(self, daemon_state: daemon_state_lib.DaemonState) -> None:
        """Sets the daemon state that is shown."""
        self._daemon_state = daemon_state


class ReadyHandler(_DaemonStateHandler):
    """Readiness check, for the balancer."""

    async def get(self) -> None:
        """Answers 200 if the daemon is ready, else 503 with the reason."""
        reason = self._daemon_state.unready_reason()
        status = HTTPStatus.OK if reason is None else 503
        self.write_json(status, {"ready": reason is None, "reason": reason})


class MetricsHandler(_DaemonStateHandler):
    """Serves the metrics to Prometheus."""

    async def get(self) -> None:
        """Writes the metrics in the text format."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(exposition.prometheus_text())


class InForceHandler(_DaemonStateHandler):
    """Shows the configuration in force."""

    async def get(self) -> None:
        """Writes the configuration and the state of daemon and ledger."""
        now = clock.monotonic()
        peering = self._daemon_state.peering
        configuration = self._daemon_state.configuration()
        ledger = peering.note_log.ledger
        body = {
            "process": _CONVERTER.unstructure(self._daemon_state.process),
            "ready": self._daemon_state.unready_reason() is None,
            "standing": peering.standing(now).value,
            "freshness_age_s": round(peering.freshness.age_s(now), 3),
            "number": ledger.number,
            "head": ledger.head,
            "revision": ledger.revision,
            "digest": codec.digest(configuration),
            "homes": sorted(peering.borrower.held_resources()),
            "booked": [
                {"number": n.number, "effective": n.effective, "title": n.title}
                for n in ledger.booked
            ],
            "configuration": json.loads(codec.encode(configuration)),
        }
        self.write_json(HTTPStatus.OK, body)


class ReplicasHandler(handlers.JsonHandler):
    """Shows the latency and health of each target as seen by an entry."""

    def initialize(self, entry: entry_lib.Entry | None) -> None:
        """Sets the entry; None on a relay."""
        self._entry = entry

    async def get(self) -> None:
        """Writes a ``ReplicaView`` by target; 404 on a relay."""
        if self._entry is None:
            self.write_json(HTTPStatus.NOT_FOUND, {"replicas": {}})
            return
        views = self._entry.replica_views(clock.monotonic())
        self.write_json(
            HTTPStatus.OK, {"replicas": _CONVERTER.unstructure(views)}
        )


class ExplainHandler(_DaemonStateHandler):
    """Shows the decisions taken for one request."""

    async def get(self, request_id: str) -> None:
        """Writes the decisions in order; 404 if none are kept."""
        decisions = self._daemon_state.telemetry.decisions.for_request(
            request_id
        )
        status = HTTPStatus.OK if decisions else HTTPStatus.NOT_FOUND
        self.write_json(
            status, {"request_id": request_id, "decisions": decisions}
        )
