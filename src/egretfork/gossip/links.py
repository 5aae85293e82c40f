"""An agent's subscriptions and the entries that it knows."""

import dataclasses
import datetime
import random

from egretfork import model

SUBSCRIPTIONS = 2
MIN_KNOWN_ENTRIES = 6
MAX_KNOWN_ENTRIES = 32


@dataclasses.dataclass(slots=True)
class Link:
    """Subscription to one entry.

    Attributes:
        entry: the entry.
        due_at: when the next renewal is sent.
        attempts: renewals in a row without an answer.
        seen: order of the own announcement that the entry is known to have.
    """

    entry: model.Endpoint
    due_at: datetime.timedelta
    attempts: int = 0
    seen: tuple[int, int] = (0, 0)


class Links:
    """Choice of the entries that an agent subscribes to."""

    def __init__(
        self, seeds: tuple[model.Endpoint, ...], generator: random.Random
    ) -> None:
        self._seeds = seeds
        self._entries = list(seeds)
        self._generator = generator
        self.active: list[Link] = []

    @property
    def knows_few(self) -> bool:
        """Return whether more entries are to be asked for."""
        return len(self._entries) < MIN_KNOWN_ENTRIES

    def find(self, entry: model.Endpoint) -> Link | None:
        """Return the subscription to an entry."""
        return next(
            (link for link in self.active if link.entry == entry), None
        )

    def learn(self, entries: tuple[model.Endpoint, ...]) -> None:
        """Remember entries, the latest ones longest."""
        self._entries = [
            *(item for item in self._entries if item not in entries),
            *entries,
        ][-MAX_KNOWN_ENTRIES:]

    def forget(self, entry: model.Endpoint) -> None:
        """Drop an entry that does not answer."""
        self._entries = [item for item in self._entries if item != entry]

    def renew_all(self, now: datetime.timedelta) -> None:
        """Make all renewals due."""
        for link in self.active:
            link.due_at = now

    def fill(
        self, now: datetime.timedelta, avoided: model.Endpoint | None = None
    ) -> None:
        """Add a subscription if there are too few and an entry is known."""
        if len(self.active) >= SUBSCRIPTIONS:
            return
        used = {link.entry for link in self.active}
        known = dict.fromkeys([*self._entries, *self._seeds])
        free = [entry for entry in known if entry not in used]
        candidates = [entry for entry in free if entry != avoided]
        if not candidates and not self.active:
            candidates = free
        if candidates:
            entry = self._generator.choice(candidates)
            self.active.append(Link(entry=entry, due_at=now))
