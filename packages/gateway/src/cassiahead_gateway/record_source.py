"""Reading the published records from the platform's service."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from cassiahead_gateway import records

__all__ = ["RecordSource", "SourceError", "SourceFault"]


class SourceFault(enum.StrEnum):
    """Why a read failed."""

    HISTORY_GONE = "history gone"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"


class SourceError(Exception):
    """A read that failed.

    Attributes:
        fault: Why.
        detail: One line for the log.
    """

    def __init__(self, fault: SourceFault, detail: str) -> None:
        """Creates the error."""
        super().__init__(f"{fault}: {detail}")
        self.fault = fault
        self.detail = detail


class RecordSource(Protocol):
    """The platform's service, as the adapter reads it."""

    async def list(self) -> records.Update:
        """Reads all records.

        Raises:
            SourceError: If not all could be read.
        """

    async def watch(self, after_revision: int, wait_s: float) -> records.Update:
        """Waits for changes.

        Args:
            after_revision: Revision that is known.
            wait_s: Seconds to wait for a change.

        Returns:
            What changed; no changes if nothing did.

        Raises:
            SourceError: If it is not known whether something changed.
        """

    def close(self) -> None:
        """Closes all connections."""
