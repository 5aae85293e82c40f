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

    ``movable`` is the number of waiting requests that peers may run; what
    makes a request movable does not change while it waits.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._works: list[works.Work] = []
        self.movable = 0

    def __len__(self) -> int:
        return len(self._works)

    @property
    def full(self) -> bool:
        """Return whether no further request may wait."""
        return len(self._works) >= self.limit

    def push(self, work: works.Work) -> None:
        """Add a request; the caller has checked ``full``."""
        bisect.insort(self._works, work, key=_read_position)
        self.movable += work.movable

    def take(
        self, accept: typing.Callable[[works.Work], bool]
    ) -> works.Work | None:
        """Remove and return the first acceptable request."""
        for index, work in enumerate(self._works):
            if accept(work):
                return self._pop(index)
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
            self._pop(index)
            return True
        return False

    def _pop(self, index: int) -> works.Work:
        work = self._works.pop(index)
        self.movable -= work.movable
        return work

    def list_until(self, deadline: datetime.timedelta) -> list[works.Work]:
        """Return the requests whose deadline is not after this one."""
        end = bisect.bisect_right(
            self._works, deadline, key=lambda work: work.deadline
        )
        return self._works[:end]
