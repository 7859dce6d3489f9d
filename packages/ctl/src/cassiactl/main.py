"""Entry point of the command ``cassiactl``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import cappa

from cassiactl import check
from cassiactl import check_settings
from cassiactl import explain
from cassiactl import explain_log
from cassiactl import make_key
from cassiactl import replicas
from cassiactl import show

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Cassiactl", "main"]


@cappa.command(
    name="cassiactl",
    help=(
        "Checks release notes and settings, and shows the configurations and "
        "decisions of cassiahead's daemons."
    ),
)
@attrs.frozen
class Cassiactl:
    """Arguments of the command ``cassiactl``."""

    command: cappa.Subcommands[
        check.Check
        | make_key.MakeKey
        | show.Show
        | explain.Explain
        | explain_log.ExplainLog
        | check_settings.CheckSettings
        | replicas.Replicas
    ]


def main() -> None:
    """Parses the command line and runs the subcommand.

    Raises:
        SystemExit: Always, with the exit code of the subcommand.
    """
    parsed: Cassiactl = cappa.parse(Cassiactl)
    subcommand: Callable[[], int] = parsed.command
    raise SystemExit(subcommand())


if __name__ == "__main__":
    main()
