"""Memory that a process holds for its peers, within a limit."""

from __future__ import annotations

from collections.abc import Callable

import attrs

__all__ = [
    "SMALL_MESSAGE_BYTES",
    "HeldMemory",
    "MemoryBudget",
    "process_budget",
    "replace_process_budget",
]

# The first bytes of each message count as small, so that large messages of some
# peers do not make the small ones of other peers fail.
SMALL_MESSAGE_BYTES = 32 * 1024
_DEFAULT_MAX_LARGE_BYTES = 32 * 1024 * 1024


@attrs.define
class MemoryBudget:
    """Counts the bytes that a process holds for its peers, and limits them.

    Large messages may use only a part of the limit, so that they leave room for
    small ones.

    Attributes:
        reserved_bytes: Number of bytes that are reserved for large messages.
        small_bytes: Number of all other bytes that are held.
        free_memory: Called when bytes exceed the limit; returns whether it has
            made an owner give some back, so that it is worth trying again.
    """

    _max_bytes: int = _DEFAULT_MAX_LARGE_BYTES
    reserved_bytes: int = 0
    small_bytes: int = 0
    free_memory: Callable[[], bool] = lambda: False

    @property
    def held_bytes(self) -> int:
        """Number of bytes held, for small and large messages."""
        return self.reserved_bytes + self.small_bytes

    @property
    def _max_held_bytes(self) -> int:
        return self._max_bytes * 4 // 3

    def set_max_held_bytes(self, byte_count: int) -> None:
        """Sets the limit; three quarters of it may be used by large ones."""
        self._max_bytes = byte_count * 3 // 4

    def try_reserve(self, byte_count: int) -> bool:
        """Reserves bytes if the limit on large messages allows them all.

        Returns:
            Whether the bytes have been reserved.
        """
        if self.reserved_bytes + byte_count > self._max_bytes:
            return False
        self.reserved_bytes += byte_count
        return True

    def release(self, byte_count: int) -> None:
        """Gives reserved bytes back."""
        self.reserved_bytes -= byte_count

    def try_hold(self, byte_count: int) -> bool:
        """Counts bytes of a small message if the limit allows them all.

        Returns:
            Whether the bytes have been counted.
        """
        if self.held_bytes + byte_count > self._max_held_bytes:
            return False
        self.small_bytes += byte_count
        return True

    def hold(self, byte_count: int) -> None:
        """Counts bytes of a small message, even beyond the limit."""
        self.small_bytes += byte_count

    def drop(self, byte_count: int) -> None:
        """Counts bytes no longer that ``hold`` or ``try_hold`` counted."""
        self.small_bytes -= byte_count


_process_budget = MemoryBudget()


def process_budget() -> MemoryBudget:
    """Returns the budget that responses to this process count towards."""
    return _process_budget


def replace_process_budget(max_held_bytes: int) -> MemoryBudget:
    """Replaces the process's budget, for what is held from now on.

    Args:
        max_held_bytes: Limit on the bytes held.

    Returns:
        The new budget, without any bytes held.
    """
    global _process_budget
    _process_budget = MemoryBudget()
    _process_budget.set_max_held_bytes(max_held_bytes)
    return _process_budget


@attrs.define(eq=False)
class HeldMemory:
    """What one message holds of a budget."""

    _budget: MemoryBudget
    _small_bytes: int = 0
    _large_bytes: int = 0

    @property
    def byte_count(self) -> int:
        """Number of bytes held."""
        return self._small_bytes + self._large_bytes

    def try_resize(self, byte_count: int) -> bool:
        """Holds as many bytes if the budget allows it.

        Returns:
            Whether it does; if not, fewer bytes are held.
        """
        small_bytes = min(byte_count, SMALL_MESSAGE_BYTES)
        # The owner may have to give back what it holds itself.
        while small_bytes > self._small_bytes and not self._budget.try_hold(
            small_bytes - self._small_bytes
        ):
            if not self._budget.free_memory():
                return False
        if small_bytes < self._small_bytes:
            self._budget.drop(self._small_bytes - small_bytes)
        self._small_bytes = small_bytes
        return self._try_hold_large(byte_count - small_bytes)

    def try_resize_large_part(self, byte_count: int) -> bool:
        """Holds as many bytes, the small part of them even beyond the limit.

        Returns:
            Whether the budget allows the large part; if not, only the small
            part is held.
        """
        small_bytes = min(byte_count, SMALL_MESSAGE_BYTES)
        self._budget.hold(small_bytes - self._small_bytes)
        self._small_bytes = small_bytes
        return self._try_hold_large(byte_count - small_bytes)

    def release(self) -> None:
        """Gives all bytes back."""
        self._budget.drop(self._small_bytes)
        self._budget.release(self._large_bytes)
        self._small_bytes = self._large_bytes = 0

    def _try_hold_large(self, byte_count: int) -> bool:
        while byte_count > self._large_bytes and not self._budget.try_reserve(
            byte_count - self._large_bytes
        ):
            if not self._budget.free_memory():
                return False
        if byte_count < self._large_bytes:
            self._budget.release(self._large_bytes - byte_count)
        self._large_bytes = byte_count
        return True
