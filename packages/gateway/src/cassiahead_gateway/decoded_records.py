"""Types of the decoded published records."""

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
    """A record that holds a version of the configuration.

    Attributes:
        configuration: The decoded configuration.
    """

    configuration: api.Configuration


@attrs.frozen
class TargetRecord:
    """A record that publishes a target.

    Attributes:
        target: The decoded target.
    """

    target: api.Target


@attrs.frozen
class DomainTakenOutRecord:
    """A record that takes a failure domain out.

    Targets in the failure domain get no new work while the record exists.

    Attributes:
        failure_domain: Name of the failure domain.
    """

    failure_domain: str


@attrs.frozen
class UnusableRecord:
    """A record that cannot be decoded and is logged.

    If the last record of the same key was a target or a failure domain taken
    out, that ends as if the record had been deleted. A configuration stays in
    force.

    Attributes:
        reason: Why the record cannot be decoded, for the log.
    """

    reason: str


DecodedRecord = (
    ConfigurationRecord | TargetRecord | DomainTakenOutRecord | UnusableRecord
)

# Decodes a record's key and text; returns None for a record that the gateway
# does not use.
RecordDecoder = Callable[[str, str], DecodedRecord | None]
