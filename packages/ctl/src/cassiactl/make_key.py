"""The subcommand ``make-key``."""

from __future__ import annotations

import hashlib
import secrets

import attrs
import cappa

from cassiactl import arguments
from cassiactl import output

__all__ = ["MakeKey"]

_SECRET_BYTES = 32


@cappa.command(
    name="make-key",
    help="Generates a caller's key and the digest that a release note lists.",
)
@attrs.frozen
class MakeKey:
    """Arguments of the subcommand ``make-key``."""

    json: arguments.JsonFlag = False

    def __call__(self) -> int:
        """Prints a random key and its SHA-256 digest in hexadecimal."""
        key = secrets.token_urlsafe(_SECRET_BYTES)
        digest = hashlib.sha256(key.encode()).hexdigest()
        if self.json:
            output.print_json({"key": key, "digest": digest})
        else:
            output.print_line(f"key:    {key}")
            output.print_line(f"digest: {digest}")
        return output.ExitCode.OK
