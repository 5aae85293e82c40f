"""Bounded queue of waiting requests, ordered by deadline."""

import bisect
import datetime
import typing

from egretfork.agent import work as works

Position = tuple[datetime.timedelta, int]


def _read_position(work: works.Work) -> Position:
    return (work.deadline, work.number)


class DeadlineQueue:
    """Requests that wait for a slot, earliest deadline first.

    Args:
        limit: requests that may wait; later ones are not accepted.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._works: list[works.Work] = []

    def __len__(self) -> int:
        return len(self._works)

    def __iter__(self) -> typing.Iterator[works.Work]:
        return iter(tuple(self._works))

    @property
    def full(self) -> bool:
        """Return whether no further request may wait."""
        return len(self._works) >= self.limit

    def push(self, work: works.Work) -> None:
        """Add a request; the caller has checked ``full``."""
        bisect.insort(self._works, work, key=_read_position)

    def take(
        self, accept: typing.Callable[[works.Work], bool]
    ) -> works.Work | None:
        """Remove and return the first acceptable request."""
        for index, work in enumerate(self._works):
            if accept(work):
                return self._works.pop(index)
        return None

    def find(
        self, accept: typing.Callable[[works.Work], bool]
    ) -> works.Work | None:
        """Return the first acceptable request."""
        return next(filter(accept, self._works), None)

    def remove(self, work: works.Work) -> bool:
        """Remove a request; return whether it was waiting."""
        index = bisect.bisect_left(
            self._works, _read_position(work), key=_read_position
        )
        if index < len(self._works) and self._works[index] is work:
            del self._works[index]
            return True
        return False

    def count_before(self, deadline: datetime.timedelta) -> int:
        """Return how many requests are ahead of a deadline."""
        return bisect.bisect_right(
            self._works, deadline, key=lambda work: work.deadline
        )
