"""What a published record stands for, once it is decoded."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from cassiahead_gateway import api

__all__ = [
    "ConfigurationPublished",
    "Decoder",
    "DomainTakenOut",
    "Published",
    "TargetPublished",
    "Unusable",
]


@attrs.frozen
class ConfigurationPublished:
    """The newest configuration."""

    configuration: api.Configuration


@attrs.frozen
class TargetPublished:
    """A target's entry."""

    target: api.Target


@attrs.frozen
class DomainTakenOut:
    """A failure domain whose targets get no new work."""

    failure_domain: str


@attrs.frozen
class Unusable:
    """A record that can't be read; it stands for nothing.

    Attributes:
        reason: What is wrong with it, for the log.
    """

    reason: str


Published = ConfigurationPublished | TargetPublished | DomainTakenOut | Unusable

# Decodes a record's key and text; None for a record of no concern.
Decoder = Callable[[str, str], Published | None]
