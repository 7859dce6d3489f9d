"""Position in the history of the published records.

The configuration service counts its changes by revisions. When it is restored
from a backup, it loses the latest changes and issues their revisions again, and
its era rises by one. Revisions of different eras are therefore not comparable;
positions are.

Load pattern: a service that is restored, once or several times in a row, while
processes that know different parts of its history compare what they know.
"""

from __future__ import annotations

import attrs

__all__ = ["UNKNOWN", "RecordPosition"]


@attrs.frozen(order=True)
class RecordPosition:
    """Point up to which records are known, ordered by era and then revision.

    Attributes:
        era: Number of times that the configuration service was restored.
        revision: Revision of the service within the era.
    """

    era: int = 0
    revision: int = 0


# Position of a process that knows no records.
UNKNOWN = RecordPosition()
