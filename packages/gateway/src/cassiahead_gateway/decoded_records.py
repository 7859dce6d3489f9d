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
    """A record that takes a failure domain out of service.

    Targets in the failure domain get no new work while the record exists.

    Attributes:
        failure_domain: Name of the failure domain.
    """

    failure_domain: str


@attrs.frozen
class UnusableRecord:
    """A record that cannot be decoded. The reason is logged.

    If the key's previous record published a target or took a failure domain
    out of service, that record counts as deleted. A configuration stays in
    force.

    Attributes:
        reason: Why the record cannot be decoded, for the log.
    """

    reason: str


DecodedRecord = (
    ConfigurationRecord | TargetRecord | DomainTakenOutRecord | UnusableRecord
)

# Decodes a record from its key and text; returns None if the gateway does not
# use the record.
RecordDecoder = Callable[[str, str], DecodedRecord | None]
