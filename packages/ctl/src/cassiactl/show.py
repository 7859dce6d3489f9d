"""The subcommand ``show``."""

from __future__ import annotations

from typing import Annotated

import attrs
import cappa

from cassiactl import arguments
from cassiactl import output

__all__ = ["Show"]

_SUMMARY_FIELDS = (
    "ready",
    "standing",
    "freshness_age_s",
    "number",
    "head",
    "revision",
    "digest",
)


@cappa.command(
    name="show",
    help=(
        "Shows the configurations that daemons have in force. Exit code 1 if "
        "they differ, 3 if a daemon does not answer."
    ),
)
@attrs.frozen
class Show:
    """Arguments of the subcommand ``show``."""

    daemons: Annotated[
        list[str],
        cappa.Arg(
            help="Operators' addresses of daemons, such as 127.0.0.1:7102."
        ),
    ]
    json: arguments.JsonFlag = False

    def __call__(self) -> int:
        """Prints one line per daemon, or the full configurations as JSON."""
        digests = set()
        exit_code = output.ExitCode.OK
        in_force_by_address = {}
        for address in self.daemons:
            try:
                in_force = output.fetch(address, "/inforce")
            except OSError as error:
                output.fail(str(error), output.ExitCode.UNREACHABLE)
                exit_code = output.ExitCode.UNREACHABLE
                continue
            digests.add(in_force["digest"])
            in_force_by_address[address] = in_force
            if not self.json:
                summary = "  ".join(
                    f"{k}={in_force[k]}" for k in _SUMMARY_FIELDS
                )
                output.print_line(f"{address}  {summary}")
        if self.json:
            output.print_json(in_force_by_address)
        if exit_code == output.ExitCode.OK and len(digests) > 1:
            return output.fail(
                "the daemons have different configurations in force",
                output.ExitCode.REFUSED,
            )
        return exit_code
