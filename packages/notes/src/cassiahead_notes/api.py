"""Data types of release notes and of the configuration that results.

Field names are the keys of the JSON in which notes are published.
"""

from __future__ import annotations

import enum
from typing import TypeVar

import attrs

__all__ = [
    "SECTIONS",
    "Account",
    "Configuration",
    "Items",
    "FailureDomain",
    "Fleet",
    "Key",
    "Layout",
    "ItemNames",
    "Note",
    "Route",
    "RouteKind",
    "Target",
]

SECTIONS = (
    "failure_domains",
    "accounts",
    "keys",
    "targets",
    "layouts",
    "routes",
)

_Item = TypeVar("_Item")


class RouteKind(enum.StrEnum):
    """How a route distributes its requests over the shards of its layout.

    ``SEARCH`` queries all shards. ``LOOKUP`` and ``ORDER`` query only the shard
    of the record that the request names. An order isn't idempotent.
    """

    SEARCH = "search"
    LOOKUP = "lookup"
    ORDER = "order"


@attrs.frozen
class FailureDomain:
    """A group of hosts that may fail together.

    Attributes:
        taken_out: Whether targets and processes in the failure domain get no
            new work.
    """

    taken_out: bool = False


@attrs.frozen
class Account:
    """A client account with its fleet-wide limit.

    Attributes:
        rate_per_s: Requests admitted per second, over all hosts together.
        burst: Requests admitted at once, over all hosts together.
        weight: Weight in the fair queues of contended targets and layouts,
            which serve accounts in proportion to their weights.
    """

    rate_per_s: float
    burst: float
    weight: float = 1.0


@attrs.frozen
class Key:
    """A caller's API key, stored under the SHA-256 digest of its secret.

    Attributes:
        account: Name of the client account that the key belongs to.
    """

    account: str


@attrs.frozen
class Target:
    """A back end that holds shards and answers requests for them.

    Attributes:
        address: IP address and port, such as ``127.0.0.1:9000``.
        failure_domain: Name of the failure domain that the target runs in.
        slots: Maximum number of requests in flight at once, from the whole
            fleet.
        connections: Maximum number of connections open at once, from the whole
            fleet.
        cold_slots: Maximum number of requests in flight at once while the
            target is cold, from the whole fleet.
        leaving: Whether the target gets no new work.
    """

    address: str
    failure_domain: str
    slots: int
    connections: int
    cold_slots: int = 1
    leaving: bool = False


@attrs.frozen
class Layout:
    """A partition of an index into shards.

    Attributes:
        generation: Layout generation, which targets return in their answers.
        shards: Names of the targets that hold each shard, by shard name.
    """

    generation: int
    shards: dict[str, tuple[str, ...]]


@attrs.frozen
class Route:
    """A route that callers use.

    Attributes:
        kind: How requests are distributed over the shards of the layout.
        layout: Name of the layout queried.
        deadline_ms: Time allowed for a whole request, in milliseconds.
        min_coverage: Minimum fraction of shards in a usable answer, 0 to 1.
        open: Whether requests need no API key.
        soft_deadline_ms: Time in milliseconds after which a request is
            answered as soon as ``min_coverage`` is reached; None to wait for
            all shards until the deadline.
        max_extra_load: Maximum number of hedges and retries per first attempt,
            0 to 1.
    """

    kind: RouteKind
    layout: str
    deadline_ms: int
    min_coverage: float = 1.0
    open: bool = False
    max_extra_load: float = 0.05
    soft_deadline_ms: int | None = None


@attrs.frozen
class Fleet:
    """Limits on the number of daemons.

    The limits of each client account are divided into as many rights as the
    entry ceiling, those of each target into as many as the relay ceiling.

    Attributes:
        entry_ceiling: Maximum number of entry daemons that may run at once.
        relay_ceiling: Maximum number of relay daemons that may run at once.
    """

    entry_ceiling: int
    relay_ceiling: int


@attrs.frozen
class Items:
    """Items that a note adds or changes, by name in each section.

    ``fleet`` is a single item without a name; None leaves it unchanged.
    """

    failure_domains: dict[str, FailureDomain] = attrs.field(factory=dict)
    accounts: dict[str, Account] = attrs.field(factory=dict)
    keys: dict[str, Key] = attrs.field(factory=dict)
    targets: dict[str, Target] = attrs.field(factory=dict)
    layouts: dict[str, Layout] = attrs.field(factory=dict)
    routes: dict[str, Route] = attrs.field(factory=dict)
    fleet: Fleet | None = None


@attrs.frozen
class ItemNames:
    """Names of the items that a note withdraws, for each section."""

    failure_domains: tuple[str, ...] = ()
    accounts: tuple[str, ...] = ()
    keys: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()
    layouts: tuple[str, ...] = ()
    routes: tuple[str, ...] = ()


@attrs.frozen
class Note:
    """A release note: a numbered change of the configuration.

    Attributes:
        number: Position in the sequence of notes, from 1.
        predecessor: Digest of the previous accepted note; empty for note 1.
        effective: Time at which the note takes effect, in seconds since the
            epoch.
        title: Purpose of the note, for operators.
        add: Items that must not exist yet.
        change: Items that must exist and are replaced.
        withdraw: Items that must exist and are removed.
        settles: If set, all notes effective up to this time (seconds since
            the epoch) are merged into one base configuration, and later notes
            must take effect after this time.
    """

    number: int
    predecessor: str
    effective: float
    title: str
    add: Items = attrs.field(factory=Items)
    change: Items = attrs.field(factory=Items)
    withdraw: ItemNames = attrs.field(factory=ItemNames)
    settles: float | None = None


@attrs.frozen
class Configuration:
    """Items in force at one time, by name in each section, and the fleet."""

    fleet: Fleet = Fleet(entry_ceiling=1, relay_ceiling=1)
    failure_domains: dict[str, FailureDomain] = attrs.field(factory=dict)
    accounts: dict[str, Account] = attrs.field(factory=dict)
    keys: dict[str, Key] = attrs.field(factory=dict)
    targets: dict[str, Target] = attrs.field(factory=dict)
    layouts: dict[str, Layout] = attrs.field(factory=dict)
    routes: dict[str, Route] = attrs.field(factory=dict)
