"""Reads note records out of the configuration service's key-value store."""

from __future__ import annotations

import base64
import binascii
from typing import Any

from cassiahead_notes import ledger

__all__ = ["parse_records"]


def parse_records(plain: list[dict[str, Any]]) -> list[ledger.NoteRecord]:
    """Reads note records out of entries of the key-value store.

    A key ends in ``<number>-<digest>``; the entry's creation index is the
    record's revision.

    Returns:
        The records in the order of their revisions.

    Raises:
        ValueError: If a revision is no number.
        KeyError: If an entry lacks a field.
    """
    records = []
    for entry in plain:
        name = entry["Key"].rpartition("/")[2]
        _, _, digest = name.partition("-")
        try:
            text = base64.b64decode(entry["Value"] or "").decode()
        except (binascii.Error, UnicodeDecodeError):
            text = ""
        revision = int(entry["CreateIndex"])
        records.append(ledger.NoteRecord(revision, digest, text))
    return sorted(records, key=lambda record: record.revision)
