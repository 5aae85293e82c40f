"""In-memory cluster of control members with network and disk faults."""

import collections
import collections.abc
import dataclasses
import datetime
import heapq
import itertools
import random

import msgspec

from egretfork.control import api
from egretfork.control import commands
from egretfork.control import core
from egretfork.control import election
from egretfork.control import entries
from egretfork.control import events
from egretfork.control import log
from egretfork.control import membership
from egretfork.control import raft
from egretfork.control import storage
from egretfork import model
from tests.control import fakes

STEP = datetime.timedelta(milliseconds=50)
MAX_DELAY_MS = 40
DEPARTURE_TIMEOUT = datetime.timedelta(seconds=2)


class Oracle:
    """Checks answers and published configurations for consistency."""

    def __init__(self) -> None:
        self.submitted: dict[str, commands.OperatorCommand] = {}
        self.outcomes: dict[str, commands.Outcome] = {}
        self.accepted: dict[int, str] = {}
        self.published: dict[int, tuple[model.Service, ...]] = {0: ()}

    def check_outcome(self, outcome: commands.Outcome) -> None:
        """Check an outcome against all earlier ones."""
        known = self.outcomes.setdefault(outcome.request_id, outcome)
        assert known == outcome, f"conflicting: {known} and {outcome}"
        command = self.submitted[outcome.request_id]
        if outcome.reason or not isinstance(command, commands.Apply):
            return
        assert outcome.version == command.base_version + 1
        holder = self.accepted.setdefault(outcome.version, outcome.request_id)
        assert holder == outcome.request_id, f"version reused: {outcome}"
        self._check_content(outcome.version, command.services)

    def _check_content(
        self, version: int, services: tuple[model.Service, ...]
    ) -> None:
        ordered = tuple(sorted(services, key=lambda item: item.name))
        known = self.published.setdefault(version, ordered)
        assert known == ordered, f"version {version} has two contents"

    def check_published(self, configuration: model.Configuration) -> None:
        """Check a configuration that a member publishes."""
        self._check_content(configuration.version, configuration.services)


@dataclasses.dataclass(slots=True)
class FakeMember:
    """A control process and its disk."""

    name: str
    identity: str
    address: model.Endpoint
    disk: fakes.FakeFileSystem
    control_core: core.ControlCore | None = None
    member_storage: storage.Storage | None = None
    frozen_until: datetime.timedelta = datetime.timedelta()
    queued_events: list[core.CoreEvent] = dataclasses.field(
        default_factory=list
    )
    published: model.Configuration = model.Configuration()
    lost: bool = False
    disk_image: fakes.FakeFileSystem | None = None

    @property
    def is_up(self) -> bool:
        return self.control_core is not None

    @property
    def is_leader(self) -> bool:
        return bool(
            self.control_core
            and self.control_core.consensus.leadership is not None
        )


class Cluster:
    """Members with a simulated network and clock."""

    def __init__(
        self,
        seed: int,
        compact_after_entries: int = 25,
        desired_voters: int = 0,
        timing: election.Timing = election.DEFAULT_TIMING,
    ) -> None:
        self._desired_voters = desired_voters
        self._timing = timing
        self.rng = random.Random(seed)
        self.now = datetime.timedelta()
        self.oracle = Oracle()
        self.members: list[FakeMember] = []
        self.blocked_links: set[tuple[str, str]] = set()
        self.cut_off: set[str] = set()
        self.loss = 0.0
        self.replies: dict[bytes, api.Reply] = {}
        self._compact_after_entries = compact_after_entries
        self._processed_sender = ""
        self._queue: list[tuple[datetime.timedelta, int, bytes]] = []
        self._numbers = itertools.count(1)

    # Members

    def add_member(self, *, first: bool = False) -> FakeMember:
        """Create a data folder and start a member."""
        number = next(self._numbers)
        member = FakeMember(
            name=f"m{number}",
            identity=f"id{number}",
            address=model.Endpoint("127.0.0.1", 1000 + number),
            disk=fakes.FakeFileSystem(),
        )
        described = self.describe(member)
        voter = msgspec.structs.replace(described, voter=True)
        storage.Storage(member.disk).initialise(
            storage.StoredIdentity(member.identity, member.name),
            (voter,) if first else (),
        )
        self.members.append(member)
        self.start(member)
        return member

    def describe(self, member: FakeMember) -> entries.Member:
        return entries.Member(
            member.identity, member.name, member.address, voter=False
        )

    def start(self, member: FakeMember) -> None:
        """Start a member from its disk."""
        member.disk.failures = 0
        member.published = model.Configuration()
        member.queued_events.clear()
        self._load(member)

    def reopen_failed(self, member: FakeMember) -> None:
        """Load the disk of a member again if a write has failed."""
        if member.member_storage is None or not member.member_storage.failure:
            return
        try:
            self._load(member)
        except OSError:
            return

    def _load(self, member: FakeMember) -> None:
        member_storage = storage.Storage(member.disk)
        loaded = member_storage.load()
        member.member_storage = member_storage
        member.control_core = core.ControlCore(
            member.name,
            self.build_raft(loaded),
            self._compact_after_entries,
            self._build_membership_manager(),
        )
        self._publish(member, member.control_core.configuration)

    def build_raft(self, loaded: storage.LoadedState) -> raft.Raft:
        """Build the consensus core; overridden to check the tests."""
        held: log.Log = loaded.log
        return raft.Raft(
            identity=loaded.identity,
            vote=loaded.vote,
            initial_log=held,
            sequence=loaded.sequence,
            peer_sequences=loaded.peer_sequences,
            generator=self.rng,
            now=self.now,
            timing=self._timing,
            commit_index=loaded.commit_index,
        )

    def _build_membership_manager(self) -> membership.MembershipManager | None:
        if not self._desired_voters:
            return None
        return membership.MembershipManager(self._desired_voters)

    def replace_disk(self, member: FakeMember) -> FakeMember:
        """Start a member with an empty disk at the address of another."""
        self.crash(member)
        member.lost = True
        replacement = self.add_member()
        replacement.address = member.address
        return replacement

    def request_joins(self) -> None:
        """Send join requests from members without a leader to all others."""
        requesting = [
            member
            for member in self.members
            if member.control_core
            and member.control_core.status is api.MemberStatus.ACTIVE
            and not member.control_core.consensus.leader
            and not member.is_leader
            and self.now >= member.frozen_until
        ]
        for sender, receiver in itertools.product(requesting, self.members):
            if self._is_delivered(sender.identity, receiver.identity):
                described = self.describe(sender)
                self._deliver(receiver, core.JoinRequested(described))

    def run_with_joins(self, duration: datetime.timedelta) -> None:
        """Advance the time; members request to join every 400 ms."""
        end = self.now + duration
        while self.now < end:
            self.request_joins()
            self.run(8 * STEP)

    def read_log(self, member: FakeMember) -> log.Log:
        """Return the log of a running or stopped member."""
        if member.control_core is not None:
            return member.control_core.consensus.log
        return storage.Storage(member.disk.copy()).load().log

    def crash(self, member: FakeMember) -> None:
        """Crash a member and lose its unsynced writes."""
        member.control_core = None
        member.disk.failures = 0
        member.disk.crash(self.rng)

    def find_leader(self) -> FakeMember | None:
        """Return the leader of the highest term."""
        leaders = [member for member in self.members if member.is_leader]
        return max(
            leaders,
            key=lambda item: item.control_core.consensus.term,  # type: ignore
            default=None,
        )

    # Events

    def ask(self, member: FakeMember, query: api.Query) -> bytes:
        """Send a query to a member and return the ID of the client."""
        client = str(next(self._numbers)).encode()
        if isinstance(query, api.Submit):
            command = query.command
            if not isinstance(command, commands.Declare):
                self.oracle.submitted.setdefault(command.request_id, command)
        self._deliver(member, core.QueryReceived(client, query))
        return client

    def resign(self, member: FakeMember) -> None:
        """Let a member transfer its leadership."""
        self._deliver(member, events.Resigned())

    def stop_for_good(self, member: FakeMember) -> None:
        """Stop a member as its shell does; its machine is then removed."""
        self._deliver(member, events.Resigned())
        self._deliver(member, events.Departing())
        end = self.now + DEPARTURE_TIMEOUT
        while self.now < end and not (
            member.control_core and member.control_core.may_stop
        ):
            self.run(STEP)
        self.crash(member)
        member.lost = True

    def run(self, duration: datetime.timedelta) -> None:
        """Advance the time."""
        end = self.now + duration
        while self.now < end:
            self.now += STEP
            while self._queue and self._queue[0][0] <= self.now:
                self._receive(heapq.heappop(self._queue)[2])
            for member in self.members:
                self._deliver(member, events.Tick())

    def run_until(
        self,
        condition: collections.abc.Callable[[], bool],
        limit_s: int = 60,
    ) -> None:
        """Advance the time until a condition holds."""
        end = self.now + datetime.timedelta(seconds=limit_s)
        while not condition():
            assert self.now < end, "the expected state was not reached"
            self.run(STEP)

    def _receive(self, data: bytes) -> None:
        envelope = api.decode_incoming(data, "")
        assert isinstance(envelope, entries.Envelope)
        receiver = next(
            item for item in self.members if item.identity == envelope.receiver
        )
        event = events.Received(
            envelope.sender, envelope.sequence, envelope.message
        )
        self._deliver(receiver, event)

    def _deliver(self, member: FakeMember, event: core.CoreEvent) -> None:
        if not member.is_up:
            return
        if self.now < member.frozen_until:
            if not isinstance(event, events.Tick):
                member.queued_events.append(event)
            return
        queued_events, member.queued_events = member.queued_events, []
        for item in (*queued_events, event):
            self._handle(member, item)

    def _handle(self, member: FakeMember, event: core.CoreEvent) -> None:
        assert (
            member.control_core is not None
            and member.member_storage is not None
        )
        actions = member.control_core.handle(event, self.now)
        is_message = isinstance(event, events.Received)
        self._processed_sender = event.sender if is_message else ""
        try:
            for action in actions:
                self._execute(member, member.member_storage, action)
        except storage.StorageError as error:
            self._handle(member, core.SaveFailed(str(error)))

    def _execute(
        self,
        member: FakeMember,
        member_storage: storage.Storage,
        action: core.CoreAction,
    ) -> None:
        match action:
            case events.Send():
                self._send_message(member, member_storage.sequence, action)
            case core.SendReply():
                self._record_reply(action)
            case core.Publish():
                self._publish(member, action.configuration)
            case core.StopDissemination() | core.PublishRouting():
                pass
            case _:
                member_storage.save(action)

    def _record_reply(self, action: core.SendReply) -> None:
        self.replies[action.client] = action.reply
        if isinstance(action.reply, api.Concluded) and (
            action.reply.outcome.request_id
        ):
            self.oracle.check_outcome(action.reply.outcome)

    def _publish(
        self, member: FakeMember, configuration: model.Configuration
    ) -> None:
        assert configuration.version >= member.published.version
        member.published = configuration
        self.oracle.check_published(configuration)

    def _send_message(
        self, member: FakeMember, sequence: int, action: events.Send
    ) -> None:
        if not self._has_route(member, action.receiver):
            return
        if not self._is_delivered(member.identity, action.receiver):
            return
        envelope = entries.Envelope(
            member.identity,
            action.receiver,
            sequence,
            action.message,
        )
        delay_ms = self.rng.uniform(1, MAX_DELAY_MS)
        due = self.now + datetime.timedelta(milliseconds=delay_ms)
        item = (due, next(self._numbers), api.encode(envelope))
        heapq.heappush(self._queue, item)

    def _is_delivered(self, sender: str, receiver: str) -> bool:
        """Return whether the network delivers a message sent now."""
        is_cut = (sender, receiver) in self.blocked_links or bool(
            self.cut_off & {sender, receiver}
        )
        return not is_cut and self.rng.random() >= self.loss

    def _has_route(self, member: FakeMember, receiver: str) -> bool:
        """Return whether a member can send to an identity.

        It knows the address, or sends on the connection of the message that
        it is processing.
        """
        assert member.control_core is not None
        known = member.control_core.consensus.known_members
        return (
            receiver == self._processed_sender
            or receiver in entries.list_identities(known)
        )

    # Operators

    def build_services(self, text: str) -> tuple[model.Service, ...]:
        """Return services whose content is unique to a version."""
        return tuple(
            model.Service(
                name=f"service-{number}",
                addresses=(f"127.0.0.{number}:5683",),
                targets=(f"{text}-*",),
            )
            for number in (1, 2)
        )

    def apply(
        self, member: FakeMember, request_id: str, base_version: int
    ) -> bytes:
        """Submit new services to a member."""
        command = commands.Apply(
            request_id=request_id,
            base_version=base_version,
            author="operator",
            submitted_ms=0,
            services=self.build_services(request_id),
        )
        return self.ask(member, api.Submit(1, command))

    def resend(self, member: FakeMember, request_id: str) -> bytes:
        """Submit an earlier command again."""
        command = self.oracle.submitted[request_id]
        return self.ask(member, api.Submit(1, command))

    # Repair and final checks

    def repair(self) -> None:
        """End all faults and restart stopped members."""
        self.blocked_links.clear()
        self.cut_off.clear()
        self.loss = 0.0
        for member in self.members:
            member.frozen_until = self.now
            member.disk.failures = 0
            if member.lost:
                continue
            if (
                member.member_storage is not None
                and member.member_storage.failure
            ):
                self.crash(member)
            if not member.is_up:
                self.start(member)

    def read_status(self, member: FakeMember) -> api.StatusRead:
        """Return the status of a running member."""
        reply = self.replies[self.ask(member, api.Status(1))]
        assert isinstance(reply, api.StatusRead)
        return reply

    def list_active(self) -> list[FakeMember]:
        """Return the leader and the running members it replicates to."""
        leader = self.find_leader()
        if leader is None or leader.control_core is None:
            return []
        known = entries.list_identities(
            leader.control_core.consensus.log.members
        )
        return [
            member
            for member in self.members
            if member.identity in known and member.is_up and not member.lost
        ]

    def has_converged(self) -> bool:
        """Return whether all active members have the same commit index."""
        active = self.list_active()
        commits = {
            (
                member.control_core.consensus.commit_index,
                member.control_core.consensus.log.last_index,
            )
            for member in active
            if member.control_core
        }
        return len(commits) == 1 and all(
            commit_index == last for commit_index, last in commits
        )

    def check_final(self) -> None:
        """Repair, wait for convergence and check the state of all members."""
        self.repair()
        self.run_until(self.has_converged)
        states = [
            member.control_core.machine.state
            for member in self.list_active()
            if member.control_core
        ]
        for state in states:
            assert state == states[0]
            self._check_state(state.version, state.services)
        self._check_history(states[0].applied.values())

    def _check_state(
        self, version: int, services: tuple[model.Service, ...]
    ) -> None:
        newest = max(self.oracle.accepted, default=0)
        assert version >= newest, f"accepted version {newest} is lost"
        assert version == max(self.oracle.published)
        assert self.oracle.published[version] == services

    def _check_history(
        self, applied: collections.abc.Iterable["object"]
    ) -> None:
        kept = [item.outcome for item in applied]  # type: ignore
        versions = collections.Counter(
            outcome.version
            for outcome in kept
            if not outcome.reason and outcome.action == "apply"
        )
        assert all(count == 1 for count in versions.values())
        for outcome in kept:
            self.oracle.check_outcome(outcome)
        kept_ids = {outcome.request_id for outcome in kept}
        missing = self.oracle.outcomes.keys() - kept_ids
        assert not missing or len(kept) == 1024, f"lost: {missing}"


def build_group(cluster: Cluster, size: int) -> list[FakeMember]:
    """Start a group of one and add members up to the given size."""
    first = cluster.add_member(first=True)
    cluster.run_until(lambda: first.is_leader)
    for _ in range(size - 1):
        join(cluster, cluster.add_member())
    return list(cluster.members)


def join(cluster: Cluster, member: FakeMember) -> None:
    """Add a learner, wait until it has caught up and promote it."""
    new = cluster.describe(member)
    change(cluster, api.AddMember(1, new))
    change(cluster, api.PromoteMember(1, member.identity))


def change(cluster: Cluster, query: api.Query) -> None:
    """Retry a membership change until it is committed."""

    def is_done() -> bool:
        leader = cluster.find_leader()
        if leader is None:
            return False
        client = cluster.ask(leader, query)
        cluster.run(3 * STEP)
        return isinstance(cluster.replies.get(client), api.MembersChanged)

    cluster.run_until(is_done)


def form_group(
    seed: int,
    voters: int,
    compact_after_entries: int = 25,
    timing: election.Timing = election.DEFAULT_TIMING,
) -> Cluster:
    """Return a group whose members have become voters by joining."""
    group = Cluster(seed, compact_after_entries, voters, timing)
    first = group.add_member(first=True)
    group.run_until(lambda: first.is_leader)
    for _ in range(voters - 1):
        group.add_member()
    group.run_with_joins(datetime.timedelta(seconds=6))
    return group
