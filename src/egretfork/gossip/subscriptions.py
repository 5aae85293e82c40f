"""Subscriptions of an agent and the entries that it knows."""

import dataclasses
import datetime
import random

from egretfork import model

SUBSCRIPTIONS = 2
MIN_KNOWN_ENTRIES = 6
MAX_KNOWN_ENTRIES = 32


@dataclasses.dataclass(slots=True)
class Subscription:
    """Subscription to one entry.

    Attributes:
        entry: address of the entry.
        due_at: time of the next renewal.
        attempts: consecutive renewals without a reply.
        acknowledged_order: order of the agent's announcement that the entry
            is known to have.
    """

    entry: model.Endpoint
    due_at: datetime.timedelta
    attempts: int = 0
    acknowledged_order: tuple[int, int] = (0, 0)


class Subscriptions:
    """Selects the entries that an agent subscribes to."""

    def __init__(
        self, seeds: tuple[model.Endpoint, ...], generator: random.Random
    ) -> None:
        self._seeds = seeds
        self._entries = list(seeds)
        self._generator = generator
        self.active: list[Subscription] = []

    @property
    def needs_entries(self) -> bool:
        """Return whether to request the addresses of more entries."""
        return len(self._entries) < MIN_KNOWN_ENTRIES

    def find(self, entry: model.Endpoint) -> Subscription | None:
        """Return the subscription to an entry."""
        return next(
            (
                subscription
                for subscription in self.active
                if subscription.entry == entry
            ),
            None,
        )

    def add_entries(self, entries: tuple[model.Endpoint, ...]) -> None:
        """Add known entries; the oldest ones beyond the limit are dropped."""
        self._entries = [
            *(item for item in self._entries if item not in entries),
            *entries,
        ][-MAX_KNOWN_ENTRIES:]

    def remove_entry(self, entry: model.Endpoint) -> None:
        """Remove a known entry that does not reply."""
        self._entries = [item for item in self._entries if item != entry]

    def make_all_due(self, now: datetime.timedelta) -> None:
        """Make all renewals due now."""
        for subscription in self.active:
            subscription.due_at = now

    def add_missing(
        self, now: datetime.timedelta, avoided: model.Endpoint | None = None
    ) -> None:
        """Add a subscription if there are too few and an entry is available.

        The ``avoided`` entry is used only if there is no other entry and no
        subscription.
        """
        if len(self.active) >= SUBSCRIPTIONS:
            return
        used = {subscription.entry for subscription in self.active}
        known = dict.fromkeys([*self._entries, *self._seeds])
        free = [entry for entry in known if entry not in used]
        candidates = [entry for entry in free if entry != avoided]
        if not candidates and not self.active:
            candidates = free
        if candidates:
            entry = self._generator.choice(candidates)
            self.active.append(Subscription(entry=entry, due_at=now))
