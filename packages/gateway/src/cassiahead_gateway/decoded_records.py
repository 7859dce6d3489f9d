"""What a published record stands for, once it is decoded."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from cassiahead_gateway import api

__all__ = [
    "ConfigurationRecord",
    "RecordDecoder",
    "DomainTakenOutRecord",
    "DecodedRecord",
    "TargetRecord",
    "UnusableRecord",
]


@attrs.frozen
class ConfigurationRecord:
    """The newest configuration."""

    configuration: api.Configuration


@attrs.frozen
class TargetRecord:
    """A target's entry."""

    target: api.Target


@attrs.frozen
class DomainTakenOutRecord:
    """A failure domain whose targets get no new work."""

    failure_domain: str


@attrs.frozen
class UnusableRecord:
    """A record that can't be read; it stands for nothing.

    Attributes:
        reason: What is wrong with it, for the log.
    """

    reason: str


DecodedRecord = (
    ConfigurationRecord | TargetRecord | DomainTakenOutRecord | UnusableRecord
)

# Decodes a record's key and text; None for a record of no concern.
RecordDecoder = Callable[[str, str], DecodedRecord | None]
