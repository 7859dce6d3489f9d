"""Bounded queue that is fair between client accounts (deficit round robin).

In an overload an account with many requests would otherwise delay the requests
of all other accounts.
"""

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
    """An item with the data that the queue orders items by.

    Attributes:
        account: Client account that the item belongs to.
        weight: Weight of the account; accounts are served in proportion to
            their weights.
        deadline: Time after which the item is useless, in seconds on this
            process's monotonic clock.
        item: The item.
    """

    account: str
    weight: float
    deadline: float
    item: _T


@attrs.define
class FairQueue(Generic[_T]):
    """Serves accounts in turn by weight, with a bounded queue per account.

    Once an account's queue is longer than half of its bound, the account's
    newest item is served first, since the oldest items will miss their
    deadlines.

    Attributes:
        max_items_per_account: Bound of each account's queue.
    """

    max_items_per_account: int
    _queues: dict[str, collections.deque[QueuedItem[_T]]] = attrs.field(
        factory=dict
    )
    # Accounts in the order in which they are served next.
    _service_order: collections.deque[str] = attrs.field(
        factory=collections.deque
    )
    # Items of each account that may still be removed in its turn; a fraction is
    # kept for the account's next turn.
    _deficits: dict[str, float] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Returns the number of queued items."""
        return sum(len(queue) for queue in self._queues.values())

    def push(self, queued_item: QueuedItem[_T]) -> QueuedItem[_T] | None:
        """Adds an item.

        Returns:
            The account's oldest item, which is shed, if the account's queue
            was full; None otherwise.
        """
        queue = self._queues.get(queued_item.account)
        if queue is None:
            queue = self._queues[queued_item.account] = collections.deque()
            self._service_order.append(queued_item.account)
            self._deficits[queued_item.account] = 0.0
        queue.append(queued_item)
        return (
            queue.popleft() if len(queue) > self.max_items_per_account else None
        )

    def pop(self) -> QueuedItem[_T] | None:
        """Removes and returns the next item by deficit round robin.

        Returns:
            The item, or None if the queue is empty.
        """
        while self._service_order:
            account = self._service_order[0]
            queue = self._queues[account]
            if not queue:
                self._remove_first_account(account)
                continue
            if self._deficits[account] < 1.0:
                self._deficits[account] += queue[0].weight
                self._service_order.rotate(-1)
                continue
            self._deficits[account] -= 1.0
            return self._pop_from(queue)
        return None

    def pop_least_loaded(
        self, load_by_account: Mapping[str, float]
    ) -> QueuedItem[_T] | None:
        """Removes and returns the next item of the least loaded account.

        Args:
            load_by_account: Work in flight by account. Accounts are compared
                by this load divided by their weight.

        Returns:
            The item, or None if the queue is empty.
        """
        accounts = [a for a in self._service_order if self._queues[a]]
        if not accounts:
            return None
        least_loaded = min(
            accounts,
            key=lambda a: (
                load_by_account.get(a, 0.0) / self._queues[a][0].weight
            ),
        )
        # Accounts with equal load take turns.
        self._service_order.remove(least_loaded)
        self._service_order.append(least_loaded)
        return self._pop_from(self._queues[least_loaded])

    def remove_expired(self, now: float) -> list[QueuedItem[_T]]:
        """Removes and returns the items whose deadline has passed."""
        expired: list[QueuedItem[_T]] = []
        for account, queue in self._queues.items():
            expired_of_account = [q for q in queue if q.deadline <= now]
            if expired_of_account:
                expired.extend(expired_of_account)
                kept = (q for q in queue if q.deadline > now)
                self._queues[account] = collections.deque(kept)
        return expired

    def remove(self, item: _T) -> bool:
        """Removes one item; returns whether it was queued."""
        for queue in self._queues.values():
            for queued_item in queue:
                if queued_item.item is item:
                    queue.remove(queued_item)
                    return True
        return False

    def _pop_from(
        self, queue: collections.deque[QueuedItem[_T]]
    ) -> QueuedItem[_T]:
        newest_first = len(queue) > self.max_items_per_account // 2
        return queue.pop() if newest_first else queue.popleft()

    def _remove_first_account(self, account: str) -> None:
        self._service_order.popleft()
        del self._queues[account]
        del self._deficits[account]
