"""The subcommand ``replicas``."""

from __future__ import annotations

from typing import Any

import attrs
import cappa

from cassiactl import arguments
from cassiactl import output

__all__ = ["Replicas"]


@cappa.command(
    name="replicas",
    help=(
        "Shows how an entry rates each target: latency, consecutive failures "
        "and for how long the target is still avoided."
    ),
)
@attrs.frozen
class Replicas:
    """Arguments of the subcommand ``replicas``."""

    daemon: arguments.EntryAddress
    json: arguments.JsonFlag = False

    def __call__(self) -> int:
        """Prints one line per target, or all targets as JSON."""
        try:
            replicas = output.fetch(self.daemon, "/replicas")["replicas"]
        except OSError as error:
            return output.fail(str(error), output.ExitCode.UNREACHABLE)
        if self.json:
            output.print_json(replicas)
            return output.ExitCode.OK
        for target, replica_state in replicas.items():
            output.print_line(_format_target(target, replica_state))
        return output.ExitCode.OK


def _format_target(target: str, replica_state: dict[str, Any]) -> str:
    line = (
        f"{target}  {replica_state['latency'] * 1000:.1f} ms  "
        f"outstanding={replica_state['outstanding']}"
    )
    if replica_state["failures"]:
        line += (
            f"  failures={replica_state['failures']}"
            f"  avoided for {replica_state['avoided_for']:.1f} s"
        )
    return line
