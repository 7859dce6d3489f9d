"""The subcommand ``explain``."""

from __future__ import annotations

from typing import Annotated

import attrs
import cappa

from cassiactl import arguments
from cassiactl import output

__all__ = ["Explain"]


@cappa.command(
    name="explain",
    help="Shows the decisions that an entry made about one request.",
)
@attrs.frozen
class Explain:
    """Arguments of the subcommand ``explain``."""

    daemon: arguments.EntryAddress
    request_id: Annotated[
        str, cappa.Arg(help="Request id, as given in the answer to the caller.")
    ]
    json: arguments.JsonFlag = False

    def __call__(self) -> int:
        """Prints one line per decision, or all decisions as JSON."""
        try:
            explanation = output.fetch(
                self.daemon, f"/explain/{self.request_id}"
            )
        except OSError as error:
            return output.fail(str(error), output.ExitCode.UNREACHABLE)
        decisions = explanation.get("decisions")
        if not decisions:
            return output.fail(
                f"{self.daemon} has no decisions about {self.request_id}",
                output.ExitCode.REFUSED,
            )
        if self.json:
            output.print_json(explanation)
            return output.ExitCode.OK
        first_at = next((d["at"] for d in decisions if "at" in d), 0.0)
        for decision in decisions:
            output.print_line(_format_decision(decision, first_at))
        return output.ExitCode.OK


def _format_decision(decision: dict[str, object], first_at: float) -> str:
    decided_at = decision.pop("at", None)
    event = decision.pop("event")
    offset_text = (
        f"{(decided_at - first_at) * 1000:8.1f} ms"
        if isinstance(decided_at, float)
        else ""
    )
    fields = "  ".join(f"{k}={v}" for k, v in decision.items())
    return f"{offset_text:>11}  {event}  {fields}"
