"""Computes how a change of configuration affects the capacity of layouts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from cassiahead_notes import api

__all__ = ["LayoutCapacity", "layout_capacities", "is_usable"]


@attrs.frozen
class LayoutCapacity:
    """Capacity of one layout before and after a change.

    Attributes:
        layout: Name of the layout.
        slots_before: Total slots of the usable targets before the change.
        slots_after: Total slots of the usable targets after the change.
        fewest_replicas: Number of usable targets of the shard that has the
            fewest after the change.
    """

    layout: str
    slots_before: int
    slots_after: int
    fewest_replicas: int


def is_usable(configuration: api.Configuration, target: str) -> bool:
    """Returns whether a target may get new work.

    False if the target is leaving or its failure domain is taken out.

    Raises:
        KeyError: If the configuration has no such target.
    """
    spec = configuration.targets[target]
    domain = configuration.failure_domains[spec.failure_domain]
    return not spec.leaving and not domain.taken_out


def layout_capacities(
    before: api.Configuration, after: api.Configuration
) -> list[LayoutCapacity]:
    """Returns the capacity of each layout that exists after a change.

    Args:
        before: Configuration before the change; a layout that is missing here
            counts as having no slots.
        after: Configuration after the change.

    Returns:
        The capacities, sorted by name of the layout.
    """
    return [
        LayoutCapacity(
            layout=name,
            slots_before=_total_slots(before, before.layouts.get(name)),
            slots_after=_total_slots(after, layout),
            fewest_replicas=min(
                sum(1 for target in targets if is_usable(after, target))
                for targets in layout.shards.values()
            ),
        )
        for name, layout in sorted(after.layouts.items())
    ]


def _total_slots(
    configuration: api.Configuration, layout: api.Layout | None
) -> int:
    if layout is None:
        return 0
    targets = {t for shard in layout.shards.values() for t in shard}
    return sum(
        configuration.targets[t].slots
        for t in targets
        if is_usable(configuration, t)
    )
