"""Bounded queue of waiting requests, ordered by deadline."""

import bisect
import datetime
import typing

from egretfork.agent import work as work_module

SortKey = tuple[datetime.timedelta, int]


def _make_sort_key(work: work_module.WorkItem) -> SortKey:
    return (work.deadline, work.work_id)


class DeadlineQueue:
    """Requests that wait for a slot, earliest deadline first.

    Args:
        limit: maximum number of waiting requests.

    ``movable_count`` is the number of waiting requests that may be handed over
    to peers. Whether a request is movable does not change while it waits.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._items: list[work_module.WorkItem] = []
        self.movable_count = 0

    def __len__(self) -> int:
        return len(self._items)

    @property
    def is_full(self) -> bool:
        """Return whether the queue has reached its limit."""
        return len(self._items) >= self.limit

    def push(self, work: work_module.WorkItem) -> None:
        """Add a request without checking the limit; see ``is_full``."""
        bisect.insort(self._items, work, key=_make_sort_key)
        self.movable_count += work.is_movable

    def pop_first(
        self, accept: typing.Callable[[work_module.WorkItem], bool]
    ) -> work_module.WorkItem | None:
        """Remove and return the first acceptable request."""
        for index, work in enumerate(self._items):
            if accept(work):
                return self._pop(index)
        return None

    def find_first(
        self, accept: typing.Callable[[work_module.WorkItem], bool]
    ) -> work_module.WorkItem | None:
        """Return the first acceptable request."""
        return next(filter(accept, self._items), None)

    def remove(self, work: work_module.WorkItem) -> bool:
        """Remove a request; return whether it was in the queue."""
        index = bisect.bisect_left(
            self._items, _make_sort_key(work), key=_make_sort_key
        )
        if index < len(self._items) and self._items[index] is work:
            self._pop(index)
            return True
        return False

    def _pop(self, index: int) -> work_module.WorkItem:
        work = self._items.pop(index)
        self.movable_count -= work.is_movable
        return work

    def list_due_by(
        self, deadline: datetime.timedelta
    ) -> list[work_module.WorkItem]:
        """Return the requests with a deadline up to the given one."""
        end = bisect.bisect_right(
            self._items, deadline, key=lambda work: work.deadline
        )
        return self._items[:end]
