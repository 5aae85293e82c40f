"""Decisions of a control process: consensus, state machine, leader's duties.

No sockets, files or clocks: events go in, actions come out.
"""

import dataclasses
import datetime

from egretfork.control import api
from egretfork.control import commands
from egretfork.control import duties
from egretfork.control import entries
from egretfork.control import events
from egretfork.control import joining
from egretfork.control import raft
from egretfork.control import reading
from egretfork.control import state
from egretfork import model
from egretfork.passthrough import routing
from egretfork import reasons

COMPACT_AFTER_ENTRIES = 1000

# Entries stay in memory until they are compacted; a file of the design
# size has about 100 KB.
COMPACT_AFTER_BYTES = 2 * 1024 * 1024
MAX_PENDING = 1024

# Token of changes that no query waits for.
MEMBER_CHANGE_TOKEN = 0


@dataclasses.dataclass(frozen=True, slots=True)
class QueryReceived:
    """A query of a client."""

    client: bytes
    query: api.Query


@dataclasses.dataclass(frozen=True, slots=True)
class Announced:
    """Newest announcements of all targets."""

    announcements: tuple[model.TargetAnnouncement, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmed:
    """Versions that nodes have in force."""

    confirmations: tuple[commands.NodeVersion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SaveFailed:
    """A write or sync failed; this member takes part no longer."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequested:
    """A control process asks to be a member."""

    member: entries.Member


CoreEvent = (
    events.Tick
    | events.Received
    | events.Resigned
    | QueryReceived
    | Announced
    | Confirmed
    | JoinRequested
    | SaveFailed
)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Send a reply to a client."""

    client: bytes
    reply: api.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Disseminate a committed configuration."""

    configuration: model.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class PublishRouting:
    """Disseminate the routing of a committed declaration."""

    routing: routing.Routing


@dataclasses.dataclass(frozen=True, slots=True)
class DropNode:
    """Stop the dissemination to a node that is gone for good."""

    node: str


CoreAction = (
    events.Save | events.Send | Answer | Publish | PublishRouting | DropNode
)


@dataclasses.dataclass(slots=True)
class Pending:
    """A query in progress and its entry's position once there is one."""

    client: bytes
    query: api.Query
    index: int = 0
    term: int = 0


class ControlCore:
    """One control process without its sockets and files."""

    def __init__(
        self,
        name: str,
        consensus: raft.Raft,
        compact_after_entries: int = COMPACT_AFTER_ENTRIES,
        joins: joining.Joining | None = None,
    ) -> None:
        self._name = name
        self._joins = joins
        self._raft = consensus
        self._compact_after_entries = compact_after_entries
        self._machine = state.StateMachine(consensus.log.snapshot.state)
        for entry in consensus.list_committed():
            if entry.command:
                self._machine.apply(commands.decode(entry.command))
        self._duties = duties.Duties()
        self._pending: dict[int, Pending] = {}
        self._next_token = 1
        self._status = api.MemberStatus.ACTIVE
        self._detail = ""
        self._actions: list[CoreAction] = []

    @property
    def configuration(self) -> model.Configuration:
        """Return the newest configuration known to be committed."""
        return self._machine.configuration

    @property
    def declaration(self) -> routing.Declaration:
        """Return the newest declaration known to be committed."""
        return self._machine.state.declaration

    @property
    def status(self) -> api.MemberStatus:
        """Return whether the process takes part."""
        return self._status

    @property
    def has_pending(self) -> bool:
        """Return whether queries wait for their result."""
        return bool(self._pending)

    @property
    def consensus(self) -> raft.Raft:
        """Return the consensus core, for inspection."""
        return self._raft

    @property
    def machine(self) -> state.StateMachine:
        """Return the state machine, for inspection."""
        return self._machine

    def handle(
        self, event: CoreEvent, now: datetime.timedelta
    ) -> list[CoreAction]:
        """Process one event and return what the shell has to do."""
        self._actions = []
        match event:
            case SaveFailed():
                self._stop(api.MemberStatus.STORAGE_FAILED, event.detail)
            case QueryReceived():
                self._on_query(event, now)
            case Announced():
                self._duties.note_announcements(event.announcements)
            case JoinRequested():
                if self._joins is not None:
                    self._joins.note_request(event.member, now)
            case Confirmed():
                self._duties.nodes.note_confirmations(event.confirmations)
            case _:
                self._on_consensus_event(event, now)
        return self._actions

    def _on_consensus_event(
        self,
        event: events.Tick | events.Received | events.Resigned,
        now: datetime.timedelta,
    ) -> None:
        if self._status is not api.MemberStatus.ACTIVE:
            return
        self._run(event, now)
        if isinstance(event, events.Tick):
            self._carry_out_duties(now)
            self._change_members(now)
            self._compact(now)

    # Queries

    def _on_query(self, event: QueryReceived, now: datetime.timedelta) -> None:
        query = event.query
        if isinstance(query, api.Status):
            self._answer(event.client, self._read_status(query))
        elif self._status is not api.MemberStatus.ACTIVE:
            self._refuse_inactive(event)
        elif self._raft.leading is None or len(self._pending) >= MAX_PENDING:
            self._redirect(event.client, query)
        else:
            token = self._next_token
            self._next_token += 1
            self._pending[token] = Pending(event.client, query)
            self._run(_convert(token, query), now)

    def _refuse_inactive(self, event: QueryReceived) -> None:
        reason = reasons.ControlRefusal.STORAGE_FAILED
        self._answer(
            event.client,
            api.QueryRefused(event.query.number, reason, self._detail),
        )

    def _redirect(self, client: bytes, query: api.Query) -> None:
        leader = next(
            (
                member.address
                for member in self._raft.log.members
                if member.identity == self._raft.leader
            ),
            None,
        )
        self._answer(client, api.Redirect(query.number, leader))

    def _answer(self, client: bytes, reply: api.Reply) -> None:
        self._actions.append(Answer(client, reply))

    # Consensus

    def _run(self, event: events.Event, now: datetime.timedelta) -> None:
        for action in self._raft.handle(event, now):
            self._on_consensus_action(action, now)

    def _on_consensus_action(
        self, action: events.Action, now: datetime.timedelta
    ) -> None:
        match action:
            case events.Commit():
                self._commit(action.added, now)
            case events.InstallState():
                self._machine = state.StateMachine(action.snapshot.state)
                self._publish()
                self._publish_routing()
            case events.Placed():
                self._place(action)
            case events.Refused() | events.NotLeader() | events.ReadReady():
                self._conclude_early(action)
            case events.LeadershipLost():
                self._give_up_pending("leadership was lost")
            case events.RollbackDetected():
                self._stop(
                    api.MemberStatus.ROLLED_BACK,
                    f"{action.peer} saw write {action.seen_sequence} of this"
                    f" member but the disk ends at {action.own_sequence};"
                    " initialise a new data folder and join as a new member",
                )
            case _:
                self._actions.append(action)

    def _place(self, action: events.Placed) -> None:
        pending = self._pending.get(action.token)
        if pending is not None:
            pending.index = action.index
            pending.term = action.term

    def _conclude_early(
        self, action: events.Refused | events.NotLeader | events.ReadReady
    ) -> None:
        pending = self._pending.pop(action.token, None)
        if pending is None:
            return
        match action:
            case events.Refused():
                reply: api.Reply = api.QueryRefused(
                    pending.query.number, action.reason, action.detail
                )
                self._answer(pending.client, reply)
            case events.NotLeader():
                self._redirect(pending.client, pending.query)
            case events.ReadReady():
                self._answer(pending.client, self._read(pending.query))

    def _commit(
        self, added: tuple[entries.Entry, ...], now: datetime.timedelta
    ) -> None:
        before = self._machine.configuration
        declared = self.declaration.version
        for entry in added:
            self._apply(entry, now)
        if self._machine.configuration != before:
            self._publish()
        if self.declaration.version != declared:
            self._publish_routing()

    def _apply(self, entry: entries.Entry, now: datetime.timedelta) -> None:
        outcome: commands.Outcome | None = None
        if entry.command:
            command = commands.decode(entry.command)
            outcome = self._machine.apply(command)
            forgotten = self._duties.note_applied(command, outcome, now)
            if forgotten:
                self._actions.append(DropNode(forgotten))
        placed = [
            token
            for token, pending in self._pending.items()
            if pending.index == entry.index
        ]
        for token in placed:
            self._conclude(self._pending.pop(token), entry, outcome)

    def _conclude(
        self,
        pending: Pending,
        entry: entries.Entry,
        outcome: commands.Outcome | None,
    ) -> None:
        number = pending.query.number
        if pending.term != entry.term:
            reply: api.Reply = api.OutcomeUnknown(number, "leader changed")
        elif outcome is not None:
            reply = api.Concluded(number, outcome)
        else:
            reply = api.MembersChanged(number, entry.members or ())
        self._answer(pending.client, reply)

    def _give_up_pending(self, detail: str) -> None:
        """Answer all queries; one that was placed may still take effect."""
        for pending in self._pending.values():
            if pending.index:
                unknown = api.OutcomeUnknown(pending.query.number, detail)
                self._answer(pending.client, unknown)
            else:
                self._redirect(pending.client, pending.query)
        self._pending.clear()

    def _stop(self, status: api.MemberStatus, detail: str) -> None:
        self._status = status
        self._detail = detail
        self._give_up_pending(detail)

    def _publish(self) -> None:
        self._actions.append(Publish(self._machine.configuration))

    def _publish_routing(self) -> None:
        self._actions.append(PublishRouting(self.declaration.routing))

    # Duties of the leader

    def _change_members(self, now: datetime.timedelta) -> None:
        leader = self._raft.leading
        held = self._raft.log
        if self._joins is None or leader is None:
            return
        if self._raft.commit < max(held.members_index, leader.first_index):
            # One change at a time, and none before the term's first entry.
            return
        group = joining.Group(
            held.members,
            self._raft.commit,
            self._raft.identity,
            leader.peers,
        )
        change = self._joins.decide(group, MEMBER_CHANGE_TOKEN, now)
        if change is not None:
            self._run(change, now)

    def _carry_out_duties(self, now: datetime.timedelta) -> None:
        if self._raft.leading is None or not self._duties.is_due(now):
            return
        if self._raft.commit < self._raft.log.last_index:
            # Decisions are made on the state that all entries lead to.
            return
        for command in list(self._duties.decide(self._machine.state, now)):
            self._run(events.Proposed(0, commands.encode(command)), now)

    def _compact(self, now: datetime.timedelta) -> None:
        held = self._raft.log
        applied = self._raft.commit - held.snapshot.index
        if applied >= self._compact_after_entries or (
            applied and held.size_bytes >= COMPACT_AFTER_BYTES
        ):
            encoded = self._machine.encode()
            self._run(events.Compacted(self._raft.commit, encoded), now)

    # Reads

    def _read(self, query: api.Query) -> api.Reply:
        if isinstance(query, api.Show):
            return api.Shown(
                query.number,
                self._machine.configuration,
                self._machine.state.author,
            )
        if isinstance(query, api.ReadDeclaration):
            return api.DeclarationRead(query.number, self.declaration)
        request_id = query.request_id if isinstance(query, api.History) else ""
        if not request_id:
            return api.HistoryRead(query.number, self._machine.list_outcomes())
        found = self._machine.find(request_id)
        return api.HistoryRead(query.number, (found,) if found else ())

    def _read_status(self, query: api.Status) -> api.StatusRead:
        return reading.read_status(
            reading.Source(
                name=self._name,
                status=self._status,
                detail=self._detail,
                consensus=self._raft,
                state=self._machine.state,
                nodes=self._duties.nodes,
            ),
            query.number,
        )


def _convert(token: int, query: api.Query) -> events.Event:
    """Return the consensus event of a query."""
    match query:
        case api.Submit():
            return events.Proposed(token, commands.encode(query.command))
        case api.AddMember():
            return events.MemberAdded(token, query.member)
        case api.PromoteMember():
            return events.MemberPromoted(token, query.identity)
        case api.RemoveMember():
            return events.MemberRemoved(token, query.identity)
        case _:
            return events.ReadProposed(token)
