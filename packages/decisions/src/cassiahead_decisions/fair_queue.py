"""A short queue that is fair between client accounts (deficit round robin)."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["FairQueue", "QueuedItem"]

_T = TypeVar("_T")


@attrs.frozen
class QueuedItem(Generic[_T]):
    """An item in the queue.

    Attributes:
        account: Client account that it runs for.
        weight: The account's weight.
        deadline: Time after which it is of no use.
        item: What waits.
    """

    account: str
    weight: float
    deadline: float
    item: _T


@attrs.define
class FairQueue(Generic[_T]):
    """Serves accounts in turn by weight; bounded for each account.

    Within one account the newest request is served first once the queue is
    past half its bound, since the oldest will miss their deadlines.
    """

    max_items_per_account: int
    _queues: dict[str, collections.deque[QueuedItem[_T]]] = attrs.field(
        factory=dict
    )
    _turns: collections.deque[str] = attrs.field(factory=collections.deque)
    _deficits: dict[str, float] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Returns the number of items that wait."""
        return sum(len(queue) for queue in self._queues.values())

    def push(self, waiting: QueuedItem[_T]) -> QueuedItem[_T] | None:
        """Adds an item.

        Returns:
            The item that is shed to keep the bound, if any: the oldest of
            the same account.
        """
        queue = self._queues.get(waiting.account)
        if queue is None:
            queue = self._queues[waiting.account] = collections.deque()
            self._turns.append(waiting.account)
            self._deficits[waiting.account] = 0.0
        queue.append(waiting)
        return (
            queue.popleft() if len(queue) > self.max_items_per_account else None
        )

    def pop(self) -> QueuedItem[_T] | None:
        """Takes the next item in fair order; None if nothing waits."""
        while self._turns:
            account = self._turns[0]
            queue = self._queues[account]
            if not queue:
                self._retire(account)
                continue
            if self._deficits[account] < 1.0:
                self._deficits[account] += queue[0].weight
                self._turns.rotate(-1)
                continue
            self._deficits[account] -= 1.0
            return self._take(queue)
        return None

    def pop_least_loaded(
        self, load_by_account: Mapping[str, float]
    ) -> QueuedItem[_T] | None:
        """Takes the next item of the account with the least under way.

        Args:
            load_by_account: Work under way by account, compared by weight.

        Returns:
            The item, or None if nothing waits.
        """
        waiting = [account for account in self._turns if self._queues[account]]
        if not waiting:
            return None
        calmest = min(
            waiting,
            key=lambda a: (
                load_by_account.get(a, 0.0) / self._queues[a][0].weight
            ),
        )
        # Accounts with as much under way take turns.
        self._turns.remove(calmest)
        self._turns.append(calmest)
        return self._take(self._queues[calmest])

    def remove_expired(self, now: float) -> list[QueuedItem[_T]]:
        """Removes and returns the items whose deadline has passed."""
        expired: list[QueuedItem[_T]] = []
        for account, queue in self._queues.items():
            late = [w for w in queue if w.deadline <= now]
            if late:
                expired.extend(late)
                kept = (w for w in queue if w.deadline > now)
                self._queues[account] = collections.deque(kept)
        return expired

    def remove(self, item: _T) -> bool:
        """Removes one item; returns whether it was there."""
        for queue in self._queues.values():
            for waiting in queue:
                if waiting.item is item:
                    queue.remove(waiting)
                    return True
        return False

    def _take(self, queue: collections.deque[QueuedItem[_T]]) -> QueuedItem[_T]:
        newest_first = len(queue) > self.max_items_per_account // 2
        return queue.pop() if newest_first else queue.popleft()

    def _retire(self, account: str) -> None:
        self._turns.popleft()
        del self._queues[account]
        del self._deficits[account]
