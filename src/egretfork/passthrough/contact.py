"""A node's contact with control: finds its processes and newer routings.

A node starts from seeds only. It greets every control process that it
knows of, so that the loss of any of them, or of all seeds, goes unnoticed
as long as one answers.
"""

import datetime
import itertools

import msgspec

from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import basis
from egretfork.passthrough import directory
from egretfork.passthrough import messages
from egretfork.passthrough import routing

GREET_PERIOD = datetime.timedelta(milliseconds=500)
# Period of a node that has not learned yet what it needs.
START_GREET_PERIOD = datetime.timedelta(milliseconds=100)
PULL_TIMEOUT = datetime.timedelta(milliseconds=250)
PULL_ATTEMPTS = 3
PULL_WINDOW = 16
# A control process that neither answers nor is listed is forgotten.
CONTROL_SILENCE_LIMIT = datetime.timedelta(seconds=20)
# Entries stay on an agent's list when control starts with an empty one.
ENTRY_LIMIT = datetime.timedelta(seconds=15)
MAX_CONTROLS = 16
# For how long an entry that has started asks which agents run.
ROSTER_WANTED_FOR = datetime.timedelta(seconds=3)


class Pull(msgspec.Struct):
    """Transfer of a routing in progress.

    Attributes:
        size: bytes of the whole, 0 until the first piece has arrived.
        attempts: timeouts so far.
    """

    source: model.Endpoint
    version: int
    asked_at: datetime.timedelta
    size: int = 0
    attempts: int = 0
    pieces: dict[int, bytes] = msgspec.field(default_factory=dict)

    def list_missing(self) -> list[int]:
        """Return the offsets of the next pieces to ask for."""
        if not self.size:
            return [0]
        offsets = range(0, self.size, directory.PIECE_BYTES)
        missing = (offset for offset in offsets if offset not in self.pieces)
        return list(itertools.islice(missing, PULL_WINDOW))

    def join(self) -> bytes:
        """Return the whole once no piece is missing."""
        return b"".join(data for _, data in sorted(self.pieces.items()))


class ContactCore(basis.Core):
    """Greets control, and pulls each newer routing if the node needs it."""

    def __init__(
        self,
        role: messages.Role,
        name: str,
        seeds: tuple[model.Endpoint, ...],
        now: datetime.timedelta,
    ) -> None:
        super().__init__(now)
        self._role = role
        self._name = name
        self._seeds = seeds
        self._controls = dict.fromkeys(seeds, now)
        self._entries: dict[model.Endpoint, datetime.timedelta] = {}
        self._listings: dict[model.Endpoint, messages.Directory] = {}
        self._greet_at = now
        self._pull: Pull | None = None
        self._started_at = now
        self._rosters: dict[model.Endpoint, frozenset[model.Endpoint]] = {}
        self.newest = routing.Routing()

    @property
    def entries(self) -> tuple[model.Endpoint, ...]:
        """Return the entries that control listed lately."""
        return tuple(sorted(self._entries))

    @property
    def controls(self) -> tuple[model.Endpoint, ...]:
        """Return the control processes that the node knows of."""
        return tuple(self._controls)

    @property
    def rosters(self) -> tuple[frozenset[model.Endpoint], ...]:
        """Return the lists of agents that control processes sent."""
        return tuple(self._rosters.values())

    def set_seeds(
        self, seeds: tuple[model.Endpoint, ...], now: datetime.timedelta
    ) -> None:
        """Take other seeds; control processes known so far stay known."""
        self._seeds = seeds
        self._controls.update(dict.fromkeys(seeds, now))

    def handle_message(
        self,
        message: messages.Message,
        peer: model.Endpoint,
        now: datetime.timedelta,
    ) -> list[actions.Action]:
        """Process a message of control."""
        self._begin(now)
        match message:
            case messages.Directory():
                self._note_directory(message, peer)
            case messages.Piece():
                self._note_piece(message, peer)
            case messages.Roster():
                agents = messages.unpack_endpoints(message.agents)
                self._rosters[peer] = frozenset(agents)
        return self._actions

    def handle_tick(self, now: datetime.timedelta) -> list[actions.Action]:
        """Greet control when it is time, and repeat lost requests."""
        self._begin(now)
        if now >= self._greet_at:
            informed = self._is_informed()
            period = GREET_PERIOD if informed else START_GREET_PERIOD
            self._greet_at = now + period
            self._expire()
            self._greet()
        pull = self._pull
        if pull is not None and now - pull.asked_at >= PULL_TIMEOUT:
            self._repeat_pull(pull)
        return self._actions

    def handle_end(self, now: datetime.timedelta) -> list[actions.Action]:
        """Tell control that the node ends for good."""
        self._begin(now)
        farewell = messages.Greeting(self._role, self._name, 0, ends=True)
        for control in self._controls:
            self._send(control, farewell)
        return self._actions

    # Greetings

    def _is_informed(self) -> bool:
        """Return whether the node could do its work if control failed."""
        match self._role:
            case messages.Role.ENTRY:
                return self.newest.version > 0
            case messages.Role.AGENT:
                return bool(self._entries)
        return True

    def _greet(self) -> None:
        young = self._now - self._started_at < ROSTER_WANTED_FOR
        wants_roster = young and self._role is messages.Role.ENTRY
        for control in self._controls:
            listing = self._listings.get(control)
            checksum = listing.checksum if listing else 0
            greeting = messages.Greeting(
                self._role, self._name, checksum, wants_roster
            )
            self._send(control, greeting)

    def _expire(self) -> None:
        kept = {
            control: heard_at
            for control, heard_at in self._controls.items()
            if control in self._seeds
            or self._now - heard_at < CONTROL_SILENCE_LIMIT
        }
        newest = sorted(kept.items(), key=lambda item: item[1], reverse=True)
        self._controls = dict(newest[:MAX_CONTROLS])
        self._listings = {
            control: listing
            for control, listing in self._listings.items()
            if control in self._controls
        }
        self._entries = {
            entry: listed_at
            for entry, listed_at in self._entries.items()
            if self._now - listed_at < ENTRY_LIMIT
        }

    def _note_directory(
        self, message: messages.Directory, peer: model.Endpoint
    ) -> None:
        self._controls[peer] = self._now
        if message.controls or message.entries:
            self._listings[peer] = message
        listing = self._listings.get(peer)
        # Without addresses the answer means that the listing still holds.
        if listing is not None and listing.checksum == message.checksum:
            for control in listing.controls:
                self._controls.setdefault(control, self._now)
            self._entries.update(dict.fromkeys(listing.entries, self._now))
        if self._role is messages.Role.ENTRY:
            self._pull_if_newer(message.version, peer)

    # Pulls

    def _pull_if_newer(self, version: int, peer: model.Endpoint) -> None:
        if version <= self.newest.version:
            return
        if self._pull is not None and version <= self._pull.version:
            return
        self._pull = Pull(peer, version, self._now)
        self._ask(self._pull)

    def _ask(self, pull: Pull) -> None:
        pull.asked_at = self._now
        for offset in pull.list_missing():
            request = messages.PieceRequest(pull.version, offset)
            self._send(pull.source, request)

    def _repeat_pull(self, pull: Pull) -> None:
        pull.attempts += 1
        if pull.attempts >= PULL_ATTEMPTS:
            # The next greeting names a process that still has the version.
            self._pull = None
            self._log_pull("pull_abandoned", pull)
            return
        self._ask(pull)

    def _note_piece(
        self, message: messages.Piece, peer: model.Endpoint
    ) -> None:
        pull = self._pull
        if pull is None or (peer, message.version) != (
            pull.source,
            pull.version,
        ):
            return
        pull.attempts = 0
        first = not pull.size
        pull.size = message.size
        pull.pieces[message.offset] = message.data
        missing = pull.list_missing()
        if not missing:
            self._finish_pull(pull)
        elif first or len(pull.pieces) % PULL_WINDOW == 1:
            self._ask(pull)

    def _finish_pull(self, pull: Pull) -> None:
        self._pull = None
        try:
            self.newest = directory.unpack_routing(pull.join())
        except ValueError as error:
            self._log_pull("pull_unreadable", pull, str(error))
            return
        self._log_pull("routing_pulled", pull)

    def _log_pull(self, event: str, pull: Pull, reason: str = "") -> None:
        age = self._now - pull.asked_at
        detail = (
            f"version={pull.version} bytes={pull.size}"
            f" asked_ms_ago={age // datetime.timedelta(milliseconds=1)}"
        )
        self._log_event(
            event,
            "pull routing",
            str(pull.source),
            f"{detail} {reason}".rstrip(),
        )
