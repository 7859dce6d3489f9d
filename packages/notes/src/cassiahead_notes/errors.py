"""Error of a refused release note, with a code and the offending JSON path."""

from __future__ import annotations

import enum

import attrs

__all__ = ["NoteErrorCode", "NoteError"]


class NoteErrorCode(enum.StrEnum):
    """Stable codes of the reasons to refuse a release note.

    ``CONFLICTS_WITH_BOOKED`` means that an accepted note changes one of the
    same items at a later time, or that the refused note would take effect at or
    before ``ledger.Ledger.settled``. ``DANGLING_REFERENCE`` means that an item
    refers to one that doesn't exist.
    """

    MALFORMED = "CN01"
    NUMBER_OUT_OF_ORDER = "CN02"
    PREDECESSOR_MISMATCH = "CN03"
    ALREADY_EXISTS = "CN04"
    DOES_NOT_EXIST = "CN05"
    BAD_VALUE = "CN06"
    DANGLING_REFERENCE = "CN07"
    CONFLICTS_WITH_BOOKED = "CN08"
    DIGEST_MISMATCH = "CN09"


@attrs.frozen
class NoteError(Exception):
    """Raised for a release note that is refused.

    Attributes:
        code: Reason code.
        path: JSON path of the offending value, such as ``$.add.targets.t1``.
        detail: Explanation for the operator.
    """

    code: NoteErrorCode
    path: str
    detail: str

    def __str__(self) -> str:
        """Returns the code, the path and the detail on one line."""
        return f"{self.code.value} {self.path}: {self.detail}"
