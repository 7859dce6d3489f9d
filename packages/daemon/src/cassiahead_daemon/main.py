"""The command ``cassiahead``, which runs a daemon."""

from __future__ import annotations

import asyncio
import pathlib
import sys
from typing import Annotated

import attrs
import cappa

from cassiahead_daemon import application
from cassiahead_daemon import settings as settings_lib
from cassiahead_telemetry import events

__all__ = ["Cassiahead", "main"]

_EXIT_INVALID_SETTINGS = 2


@cappa.command(name="cassiahead", help="Runs one daemon of the query tier.")
@attrs.frozen
class Cassiahead:
    """Arguments of the command; cappa shows further text here as help."""

    settings: Annotated[
        pathlib.Path, cappa.Arg(long=True, help="Settings file, in JSON.")
    ]
    check: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings and exit.")
    ] = False

    def __call__(self) -> None:
        """Runs the daemon until SIGTERM or SIGINT, or checks its settings.

        Raises:
            cappa.Exit: With status 2 if the settings are invalid.
        """
        try:
            settings = settings_lib.load(self.settings)
        except settings_lib.SettingsError as error:
            sys.stderr.write(f"{error.code} {error}\n")
            raise cappa.Exit(code=_EXIT_INVALID_SETTINGS) from error
        if self.check:
            sys.stdout.write(f"{self.settings}: settings are valid\n")
            return
        events.configure_stderr_logging(settings.log_level)
        asyncio.run(_run(settings))


def main() -> None:
    """Parses the command line and runs the command."""
    cappa.invoke(Cassiahead)


async def _run(settings: settings_lib.Settings) -> None:
    await application.Application.from_settings(settings).run()


if __name__ == "__main__":
    main()
