"""Output and HTTP access shared by the subcommands."""

from __future__ import annotations

import asyncio
import enum
import json
import sys
from typing import Any

from tornado import httpclient

__all__ = ["ExitCode", "fail", "fetch", "print_json", "print_line"]

_FETCH_TIMEOUT_S = 3.0


class ExitCode(enum.IntEnum):
    """Exit codes of all subcommands.

    Attributes:
        OK: Success.
        REFUSED: The release note or the settings are invalid, nothing is known
            about the request, or the daemons have different configurations.
        USAGE: The command line is invalid, or a file named on it could not be
            read.
        UNREACHABLE: A daemon or the configuration service did not answer.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3


def print_json(document: Any) -> None:  # noqa: ANN401
    """Prints a JSON document with sorted keys, indented by two spaces."""
    sys.stdout.write(json.dumps(document, indent=2, sort_keys=True) + "\n")


def print_line(text: str) -> None:
    """Prints one line to standard output."""
    sys.stdout.write(text + "\n")


def fail(text: str, code: ExitCode) -> int:
    """Prints an error to standard error.

    Args:
        text: The error, one line without a line end.
        code: Exit code of the subcommand.

    Returns:
        ``code``, so that the subcommand can return it.
    """
    sys.stderr.write(text + "\n")
    return code


def fetch(address: str, path: str) -> Any:  # noqa: ANN401
    """Reads a JSON document over HTTP, whatever the status of the response.

    Args:
        address: ``IP:port`` of a daemon's operators' server or of the
            configuration service.
        path: Path with query.

    Raises:
        OSError: If the connection was refused or reset, no response arrived
            within 3 s, or the connection was closed without a response.
        ValueError: If the response is not JSON.
    """
    return asyncio.run(_fetch(f"http://{address}{path}"))


async def _fetch(url: str) -> Any:  # noqa: ANN401
    client = httpclient.AsyncHTTPClient()
    try:
        response = await client.fetch(
            url, request_timeout=_FETCH_TIMEOUT_S, raise_error=False
        )
    except httpclient.HTTPClientError as error:
        # Raised only if there is no response: ``raise_error`` is False.
        raise OSError(f"{url}: {error}") from error
    finally:
        client.close()
    return json.loads(response.body)
