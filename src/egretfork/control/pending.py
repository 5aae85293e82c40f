"""Queries of clients that wait for their results."""

import dataclasses

from egretfork.control import api

MAX_PENDING = 1024


@dataclasses.dataclass(slots=True)
class PendingQuery:
    """A query in progress.

    Attributes:
        index: index of the appended entry, 0 before it is appended.
        term: term of the appended entry.
    """

    client: bytes
    query: api.Query
    index: int = 0
    term: int = 0


class PendingQueries:
    """Queries in progress by the token of their consensus event."""

    def __init__(self) -> None:
        self._queries: dict[int, PendingQuery] = {}
        self._last_token = 0

    def __len__(self) -> int:
        """Return the number of queries."""
        return len(self._queries)

    @property
    def is_full(self) -> bool:
        """Return whether no further query can be added."""
        return len(self._queries) >= MAX_PENDING

    def draw_token(self) -> int:
        """Return a token that no query has had."""
        self._last_token += 1
        return self._last_token

    def add(self, token: int, client: bytes, query: api.Query) -> None:
        """Add a query that was not appended yet."""
        self._queries[token] = PendingQuery(client, query)

    def set_position(self, token: int, index: int, term: int) -> None:
        """Note the log entry that a query waits for, if it is known."""
        pending = self._queries.get(token)
        if pending is not None:
            pending.index = index
            pending.term = term

    def pop(self, token: int) -> PendingQuery | None:
        """Remove a query; return it if it is known."""
        return self._queries.pop(token, None)

    def pop_at(self, index: int) -> list[PendingQuery]:
        """Remove and return the queries that wait for an entry."""
        tokens = [
            token
            for token, pending in self._queries.items()
            if pending.index == index
        ]
        return [self._queries.pop(token) for token in tokens]

    def pop_all(self) -> list[PendingQuery]:
        """Remove and return all queries."""
        removed = list(self._queries.values())
        self._queries.clear()
        return removed
