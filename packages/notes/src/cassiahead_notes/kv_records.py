"""Parses note records from the configuration service's key-value store."""

from __future__ import annotations

import base64
import binascii
from typing import Any

from cassiahead_notes import ledger

__all__ = ["parse_records"]


def parse_records(items: list[dict[str, Any]]) -> list[ledger.NoteRecord]:
    """Parses note records from items of the key-value store.

    A key ends in ``<number>-<digest>``, and the item's creation index is the
    record's revision. An ASCII value that can't be decoded from base64 and then
    from UTF-8 gives a record with an empty text. That record is refused without
    blocking later ones.

    Args:
        items: Items as the store's HTTP interface returns them, with
            ``Key``, ``Value`` (in base64) and ``CreateIndex``.

    Returns:
        The records in the order of their revisions.

    Raises:
        ValueError: If a creation index isn't an integer, or a value holds
            characters outside ASCII.
        TypeError: If a value isn't a string, or a creation index neither a
            string nor a number.
        KeyError: If an item lacks a field.
    """
    records = []
    for item in items:
        name = item["Key"].rpartition("/")[2]
        _, _, digest = name.partition("-")
        try:
            text = base64.b64decode(item["Value"] or "").decode()
        except (binascii.Error, UnicodeDecodeError):
            text = ""
        revision = int(item["CreateIndex"])
        records.append(ledger.NoteRecord(revision, digest, text))
    return sorted(records, key=lambda record: record.revision)
