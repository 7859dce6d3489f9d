"""Interface to the service that holds the published records."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from cassiahead_gateway import records

__all__ = ["RecordSource", "SourceError", "SourceFault"]


class SourceFault(enum.StrEnum):
    """Why a read failed; the values are metric labels and log fields.

    Attributes:
        HISTORY_GONE: The service does not have the revision to watch from.
        ERA_CHANGED: The service was restored during or before the read, so that
            its answers do not belong together.
        OLD_ERA: The answer is of an era before that of the known records.
        REFUSED: The service responded with an error status.
        UNREACHABLE: No response began in time.
        REJECTED: A response was cut off, too slow, or over a limit on its size.
        MALFORMED: A complete response could not be decoded.
    """

    HISTORY_GONE = "history gone"
    ERA_CHANGED = "era changed"
    OLD_ERA = "old era"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    REJECTED = "rejected"
    MALFORMED = "malformed"


class SourceError(Exception):
    """A read of the configuration service failed.

    Attributes:
        fault: Kind of the failure.
        detail: One line that explains the failure, for the log.
    """

    def __init__(self, fault: SourceFault, detail: str) -> None:
        """Creates the error; its text is the fault and the detail."""
        super().__init__(f"{fault}: {detail}")
        self.fault = fault
        self.detail = detail


class RecordSource(Protocol):
    """Client of the configuration service, implemented by platform adapters."""

    async def list(self) -> records.Update:
        """Reads all records.

        Returns:
            A complete update, whose records are all of its era.

        Raises:
            SourceError: If not all records could be read in one era.
        """

    async def watch(self, after_revision: int, wait_s: float) -> records.Update:
        """Waits for changes after a revision (long poll).

        Args:
            after_revision: Revision up to which the records are known.
            wait_s: Longest time in seconds to wait for a change.

        Returns:
            The changes; none if no record changed in time. If their era is not
            the one of ``after_revision``, changes may have been missed.

        Raises:
            SourceError: If the read failed; changes may have been missed.
        """

    def close(self) -> None:
        """Closes all connections to the configuration service."""
