"""Core of a control process: consensus, state machine and leader tasks.

The core performs no I/O and reads no clock. It processes events and returns
actions.
"""

import dataclasses
import datetime

from egretfork.control import api
from egretfork.control import commands
from egretfork.control import entries
from egretfork.control import events
from egretfork.control import leader_tasks
from egretfork.control import membership
from egretfork.control import pending
from egretfork.control import raft
from egretfork.control import state
from egretfork.control import status_report
from egretfork import model
from egretfork.passthrough import routing
from egretfork import reasons

COMPACT_AFTER_ENTRIES = 1000

# Limits the memory of entries that are not compacted yet. A services file
# of the design size has about 100 KB.
COMPACT_AFTER_BYTES = 2 * 1024 * 1024

# Token of proposals that no query waits for.
MEMBER_CHANGE_TOKEN = 0


@dataclasses.dataclass(frozen=True, slots=True)
class QueryReceived:
    """A client sent a query."""

    client: bytes
    query: api.Query


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementsReceived:
    """The gossip service has new announcements of all targets."""

    announcements: tuple[model.TargetAnnouncement, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmationsReceived:
    """Nodes confirmed the configuration versions that they use."""

    confirmations: tuple[commands.NodeVersion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SaveFailed:
    """A write or sync failed; this member stops participating."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequested:
    """A control process requests to become a member."""

    member: entries.Member


CoreEvent = (
    events.Tick
    | events.Received
    | events.Resigned
    | events.Departing
    | QueryReceived
    | AnnouncementsReceived
    | ConfirmationsReceived
    | JoinRequested
    | SaveFailed
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendReply:
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
class StopDissemination:
    """Stop the dissemination to a node removed by an operator."""

    node: str


CoreAction = (
    events.Save
    | events.Send
    | SendReply
    | Publish
    | PublishRouting
    | StopDissemination
)


class ControlCore:
    """Core of one control process, without sockets and files."""

    def __init__(
        self,
        name: str,
        consensus: raft.Raft,
        compact_after_entries: int = COMPACT_AFTER_ENTRIES,
        membership_manager: membership.MembershipManager | None = None,
    ) -> None:
        self._name = name
        self._membership_manager = membership_manager
        self._raft = consensus
        self._compact_after_entries = compact_after_entries
        self._machine = state.StateMachine(consensus.log.snapshot.state)
        for entry in consensus.list_committed():
            if entry.command:
                self._machine.apply(commands.decode(entry.command))
        self._leader_tasks = leader_tasks.LeaderTasks()
        self._pending = pending.PendingQueries()
        self._status = api.MemberStatus.ACTIVE
        self._detail = ""
        self._actions: list[CoreAction] = []

    @property
    def configuration(self) -> model.Configuration:
        """Return the latest configuration known to be committed."""
        return self._machine.configuration

    @property
    def declaration(self) -> routing.Declaration:
        """Return the latest declaration known to be committed."""
        return self._machine.state.declaration

    @property
    def status(self) -> api.MemberStatus:
        """Return whether the process participates, and if not, why."""
        return self._status

    @property
    def has_pending(self) -> bool:
        """Return whether queries are waiting for their results."""
        return len(self._pending) > 0

    @property
    def may_stop(self) -> bool:
        """Return whether the group no longer relies on this process."""
        is_active = self._status is api.MemberStatus.ACTIVE
        return self._raft.may_stop or not is_active

    @property
    def consensus(self) -> raft.Raft:
        """Return the consensus core, for inspection."""
        return self._raft

    @property
    def machine(self) -> state.StateMachine:
        """Return the state machine, for inspection."""
        return self._machine

    def list_inactive_voters(
        self, now: datetime.timedelta
    ) -> tuple[membership.InactiveVoter, ...]:
        """Return the voters that take no part, if this member leads."""
        group = self._read_group()
        if group is None:
            return ()
        return membership.describe_inactive_voters(group, now)

    def handle(
        self, event: CoreEvent, now: datetime.timedelta
    ) -> list[CoreAction]:
        """Process one event and return the actions for the shell."""
        self._actions = []
        match event:
            case SaveFailed():
                self._stop(api.MemberStatus.STORAGE_FAILED, event.detail)
            case QueryReceived():
                self._on_query(event, now)
            case AnnouncementsReceived():
                self._leader_tasks.update_announcements(event.announcements)
            case JoinRequested():
                if self._membership_manager is not None:
                    self._membership_manager.add_request(event.member, now)
            case ConfirmationsReceived():
                self._leader_tasks.confirmations.update_confirmations(
                    event.confirmations
                )
            case _:
                self._on_consensus_event(event, now)
        return self._actions

    def _on_consensus_event(
        self,
        event: (
            events.Tick | events.Received | events.Resigned | events.Departing
        ),
        now: datetime.timedelta,
    ) -> None:
        if self._status is not api.MemberStatus.ACTIVE:
            return
        self._run_consensus(event, now)
        if isinstance(event, events.Tick):
            self._propose_leader_commands(now)
            self._change_members(now)
            self._compact(now)

    # Queries

    def _on_query(self, event: QueryReceived, now: datetime.timedelta) -> None:
        query = event.query
        if isinstance(query, api.Status):
            self._answer(event.client, self._read_status(query))
        elif self._status is not api.MemberStatus.ACTIVE:
            self._refuse_inactive(event)
        elif self._raft.leadership is None or self._pending.is_full:
            self._redirect(event.client, query)
        else:
            token = self._pending.draw_token()
            consensus_event = _build_consensus_event(token, query)
            self._pending.add(token, event.client, query)
            self._run_consensus(consensus_event, now)

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
        self._actions.append(SendReply(client, reply))

    # Consensus

    def _run_consensus(
        self, event: events.Event, now: datetime.timedelta
    ) -> None:
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
            case events.Appended():
                self._pending.set_position(
                    action.token, action.index, action.term
                )
            case (
                events.MembershipChangeRefused()
                | events.NotLeader()
                | events.ReadReady()
            ):
                self._finish_uncommitted(action)
            case events.LeadershipLost():
                self._fail_pending("leadership lost")
            case events.LeaveReceived():
                self._on_leave(action.identity, now)
            case events.RollbackDetected():
                self._stop(
                    api.MemberStatus.ROLLED_BACK,
                    f"{action.peer} received write sequence"
                    f" {action.observed_sequence} from this member, but the"
                    f" last one on disk is {action.own_sequence};"
                    " initialise a new data folder and join as a new member",
                )
            case _:
                self._actions.append(action)

    def _finish_uncommitted(
        self,
        action: (
            events.MembershipChangeRefused
            | events.NotLeader
            | events.ReadReady
        ),
    ) -> None:
        found = self._pending.pop(action.token)
        if found is None:
            return
        match action:
            case events.MembershipChangeRefused():
                reply: api.Reply = api.QueryRefused(
                    found.query.number, action.reason, action.detail
                )
                self._answer(found.client, reply)
            case events.NotLeader():
                self._redirect(found.client, found.query)
            case events.ReadReady():
                self._answer(found.client, self._build_read_reply(found.query))

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
            forgotten = self._leader_tasks.handle_applied(
                command, outcome, now
            )
            if forgotten:
                self._actions.append(StopDissemination(forgotten))
        for waiting in self._pending.pop_at(entry.index):
            self._finish_committed(waiting, entry, outcome)

    def _finish_committed(
        self,
        waiting: pending.PendingQuery,
        entry: entries.Entry,
        outcome: commands.Outcome | None,
    ) -> None:
        number = waiting.query.number
        if waiting.term != entry.term:
            reply: api.Reply = api.OutcomeUnknown(number, "leader changed")
        elif outcome is not None:
            reply = api.Concluded(number, outcome)
        else:
            reply = api.MembersChanged(number, entry.members or ())
        self._answer(waiting.client, reply)

    def _fail_pending(self, detail: str) -> None:
        """Answer all queries; appended commands may still take effect."""
        for waiting in self._pending.pop_all():
            if waiting.index:
                unknown = api.OutcomeUnknown(waiting.query.number, detail)
                self._answer(waiting.client, unknown)
            else:
                self._redirect(waiting.client, waiting.query)

    def _stop(self, status: api.MemberStatus, detail: str) -> None:
        self._status = status
        self._detail = detail
        self._fail_pending(detail)

    def _publish(self) -> None:
        self._actions.append(Publish(self._machine.configuration))

    def _publish_routing(self) -> None:
        self._actions.append(PublishRouting(self.declaration.routing))

    # Leader tasks

    def _change_members(self, now: datetime.timedelta) -> None:
        group = self._read_committed_group()
        if self._membership_manager is None or group is None:
            return
        change = self._membership_manager.choose_change(
            group, MEMBER_CHANGE_TOKEN, now
        )
        if change is not None:
            self._run_consensus(change, now)

    def _read_committed_group(self) -> membership.GroupState | None:
        """Return the state of the group if this member leads it.

        It is ``None`` as well while the previous change, or the first entry
        of this term, is not committed yet.
        """
        leader = self._raft.leadership
        if leader is None or self._raft.commit_index < max(
            self._raft.log.members_index, leader.term_start_index
        ):
            return None
        return self._read_group()

    def _read_group(self) -> membership.GroupState | None:
        """Return the state of the group if this member leads it."""
        leader = self._raft.leadership
        if leader is None:
            return None
        return membership.GroupState(
            self._raft.log.members,
            self._raft.commit_index,
            self._raft.identity,
            leader.peers,
        )

    def _on_leave(self, identity: str, now: datetime.timedelta) -> None:
        """Answer a member that is about to stop."""
        manager = self._membership_manager
        may_stop = True
        if manager is not None:
            manager.add_departure(identity, now)
            group = self._read_committed_group()
            may_stop = group is not None and manager.may_stop(
                group, identity, now
            )
        reply = entries.LeaveReply(may_stop)
        self._actions.append(events.Send(identity, reply))

    def _propose_leader_commands(self, now: datetime.timedelta) -> None:
        if (
            self._raft.leadership is None
            or not self._leader_tasks.start_if_due(now)
        ):
            return
        if self._raft.commit_index < self._raft.log.last_index:
            # Commands are derived from the state after all log entries.
            return
        for command in list(
            self._leader_tasks.propose(self._machine.state, now)
        ):
            self._run_consensus(
                events.Proposed(0, commands.encode(command)), now
            )

    def _compact(self, now: datetime.timedelta) -> None:
        member_log = self._raft.log
        applied = self._raft.commit_index - member_log.snapshot.index
        if applied >= self._compact_after_entries or (
            applied and member_log.size_bytes >= COMPACT_AFTER_BYTES
        ):
            encoded = self._machine.encode()
            self._run_consensus(
                events.SnapshotCreated(self._raft.commit_index, encoded), now
            )

    # Reads

    def _build_read_reply(self, query: api.Query) -> api.Reply:
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
        found = self._machine.find_outcome(request_id)
        return api.HistoryRead(query.number, (found,) if found else ())

    def _read_status(self, query: api.Status) -> api.StatusRead:
        return status_report.read_status(
            status_report.Source(
                name=self._name,
                status=self._status,
                detail=self._detail,
                consensus=self._raft,
                state=self._machine.state,
                confirmations=self._leader_tasks.confirmations,
            ),
            query.number,
        )


def _build_consensus_event(token: int, query: api.Query) -> events.Event:
    """Return the consensus event that corresponds to a query."""
    match query:
        case api.Submit():
            return events.Proposed(token, commands.encode(query.command))
        case api.AddMember():
            return events.AddMemberProposed(token, query.member)
        case api.PromoteMember():
            return events.PromoteMemberProposed(token, query.identity)
        case api.RemoveMember():
            return events.RemoveMemberProposed(token, query.identity)
        case _:
            return events.ReadRequested(token)
