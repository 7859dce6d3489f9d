"""Command line arguments that several subcommands have."""

from __future__ import annotations

from typing import Annotated

import cappa

__all__ = ["EntryAddress", "JsonFlag"]

EntryAddress = Annotated[
    str,
    cappa.Arg(help="Operators' address of the entry, such as 127.0.0.1:7102."),
]
JsonFlag = Annotated[bool, cappa.Arg(long=True, help="Print JSON.")]
