"""Attempts of started requests that wait for a target with capacity."""

from __future__ import annotations

from collections.abc import Callable
import math

import attrs

__all__ = ["PendingAttempt", "PendingAttempts"]


@attrs.define(eq=False)
class PendingAttempt:
    """The next attempt of a started request at one service.

    Attributes:
        owner: Key of the attempt; has at most one at a time.
        service: Service that the attempt would be sent to.
        allowed_regions: Regions whose targets may run it; empty for all.
        priority: Priority of the request; 0 is the highest.
        required_count: Number of services that the request needed at once.
        ends_at: When the wait ends, in seconds on the monotonic clock.
        retry: Makes the attempt if a target has capacity; removes it if it no
            longer waits.
        is_withheld: Whether the last capacity is kept for another request.
    """

    owner: object
    service: str
    allowed_regions: tuple[str, ...]
    priority: int
    required_count: int
    ends_at: float
    retry: Callable[[], None]
    is_withheld: bool = False


@attrs.define(eq=False)
class PendingAttempts:
    """The waiting attempts by service, in the order in which they began."""

    _by_service: dict[str, dict[object, PendingAttempt]] = attrs.field(
        factory=dict
    )

    def __bool__(self) -> bool:
        """Returns whether any attempt waits."""
        return bool(self._by_service)

    @property
    def ends_at(self) -> float:
        """When the next wait ends; infinite if none."""
        return min((a.ends_at for a in self._all()), default=math.inf)

    def add(self, attempt: PendingAttempt) -> bool:
        """Adds an attempt unless its owner has one; returns whether added."""
        attempts = self._by_service.setdefault(attempt.service, {})
        if attempt.owner in attempts:
            return False
        attempts[attempt.owner] = attempt
        return True

    def remove(self, service: str, owner: object) -> None:
        """Removes the attempt of an owner, if it waits."""
        attempts = self._by_service.get(service)
        if attempts is not None:
            attempts.pop(owner, None)
            if not attempts:
                del self._by_service[service]

    def of(self, service: str) -> list[PendingAttempt]:
        """Returns the attempts that wait for a service."""
        return list(self._by_service.get(service, {}).values())

    def services(self) -> set[str]:
        """Returns the services that attempts wait for."""
        return set(self._by_service)

    def withheld_services(self) -> set[str]:
        """Returns the services whose last capacity is kept from attempts."""
        return {a.service for a in self._all() if a.is_withheld}

    def awaited_services(self) -> set[tuple[str, tuple[str, ...]]]:
        """Returns the awaited services, with the allowed regions."""
        return {(a.service, a.allowed_regions) for a in self._all()}

    def _all(self) -> list[PendingAttempt]:
        return [a for d in self._by_service.values() for a in d.values()]
