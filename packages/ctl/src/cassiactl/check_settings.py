"""The subcommand ``check-settings``."""

from __future__ import annotations

import pathlib
from typing import Annotated

import attrs
import cappa

from cassiactl import output
from cassiahead_gateway import settings as settings_lib

__all__ = ["CheckSettings"]


@cappa.command(
    name="check-settings",
    help="Checks the settings file of a gateway. Exit code 1 if unusable.",
)
@attrs.frozen
class CheckSettings:
    """Arguments of the subcommand ``check-settings``."""

    settings: Annotated[pathlib.Path, cappa.Arg(help="Settings file, in JSON.")]

    def __call__(self) -> int:
        """Prints that the settings are valid, or the first invalid setting."""
        try:
            settings = settings_lib.load(self.settings)
        except settings_lib.SettingsError as error:
            return output.fail(f"{error.code} {error}", output.ExitCode.REFUSED)
        output.print_line(
            f"{self.settings}: settings of {settings.name} in "
            f"{settings.failure_domain} are valid"
        )
        return output.ExitCode.OK
