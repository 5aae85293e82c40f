"""Tests of the shell of a control process."""

import asyncio
import collections.abc
import datetime
import itertools
import logging
import random
import unittest
from unittest import mock

from egretfork import clock
from egretfork.control import api
from egretfork.control import commands
from egretfork.control import core
from egretfork.control import election
from egretfork.control import entries
from egretfork.control import events
from egretfork.control import membership
from egretfork.control import raft
from egretfork.control import shell
from egretfork.control import state
from egretfork.control import storage
from egretfork import metrics
from egretfork import model
from egretfork.passthrough import contact
from egretfork.passthrough import hub
from egretfork.passthrough import messages
from egretfork.passthrough import output
from egretfork.passthrough import routing
from egretfork import prebound
from tests.control import fakes
from tests.control import processes
from tests.control import test_declarations

SECOND = datetime.timedelta(seconds=1)
OWN_IDENTITY = "m-1"
HOST = "127.0.0.1"
UNUSABLE = (
    model.Endpoint(HOST, 0),
    model.Endpoint("999.0.0.1", 7720),
    model.Endpoint("*", 7720),
    model.Endpoint("a\x00b", 7720),
)
TICKS = 5
MAX_POLLS = 600
ALWAYS = 1_000_000
TIMING = election.Timing(
    startup_timeout_min=datetime.timedelta(milliseconds=50),
    startup_timeout_max=datetime.timedelta(milliseconds=100),
)


class FakeDissemination:
    """Records the versions of the routings that the service publishes."""

    def __init__(self) -> None:
        self.versions: list[int] = []

    def publish(self, configuration: model.Configuration) -> None:
        """Do nothing."""

    def publish_routing(self, newest: routing.Routing) -> None:
        """Record the version."""
        self.versions.append(newest.version)

    def list_confirmations(self) -> tuple[commands.NodeVersion, ...]:
        """Return no confirmations."""
        return ()

    def forget(self, node: str) -> None:
        """Do nothing."""


def open_member(
    disk: fakes.FakeFileSystem,
) -> tuple[core.ControlCore, storage.Storage]:
    """Load a member from its disk."""
    member_storage = storage.Storage(disk)
    loaded = member_storage.load()
    consensus = raft.Raft(
        identity=loaded.identity,
        vote=loaded.vote,
        initial_log=loaded.log,
        sequence=loaded.sequence,
        peer_sequences=loaded.peer_sequences,
        generator=random.Random(1),
        now=clock.MonotonicClock().now(),
        commit_index=loaded.commit_index,
        timing=TIMING,
    )
    return core.ControlCore("control-1", consensus), member_storage


def describe_voter(identity: str, port: int) -> entries.Member:
    """Return a voter on this machine."""
    return entries.Member(identity, "", model.Endpoint(HOST, port), voter=True)


def build_directory(
    seeds: tuple[model.Endpoint, ...],
) -> hub.DirectoryService:
    """Return the directory of a control process."""
    return hub.DirectoryService(
        model.Endpoint(HOST, 0),
        "control-1",
        model.Endpoint(HOST, 0),
        contact.ContactCore(
            messages.Role.CONTROL, "control-1", seeds, datetime.timedelta()
        ),
        clock.MonotonicClock(),
        metrics.Metrics(),
        prebound.PreboundSockets(()),
        fakes.FakeFileSystem(),
    )


class ControlShellTest(unittest.IsolatedAsyncioTestCase):
    def build_service(
        self, others: tuple[entries.Member, ...] = ()
    ) -> shell.ControlService:
        """Return the service of a voter among other members."""
        self.disk = fakes.FakeFileSystem()
        self.dissemination = FakeDissemination()
        own = describe_voter(OWN_IDENTITY, processes.pick_port())
        storage.Storage(self.disk).initialise(
            storage.StoredIdentity(OWN_IDENTITY, "control-1"), (own, *others)
        )
        return self.build_stored_service(own.address)

    def build_stored_service(
        self, address: model.Endpoint
    ) -> shell.ControlService:
        """Return the service of the member on the current disk."""
        control_core, member_storage = open_member(self.disk)
        return shell.ControlService(
            address,
            control_core,
            member_storage,
            self.dissemination,
            clock.MonotonicClock(),
            metrics.Metrics(),
            lambda: open_member(self.disk),
        )

    async def poll(
        self, condition: collections.abc.Callable[[], bool]
    ) -> None:
        """Wait until a condition holds, for a limited number of times."""
        for _ in range(MAX_POLLS):
            if condition():
                return
            await asyncio.sleep(shell.TICK_INTERVAL.total_seconds())
        self.fail("the expected state was not reached")

    async def test_members_with_unusable_addresses(self) -> None:
        # Guards against processes that end, again after each start, because
        # of one entry in the list of members.
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)
        others = tuple(
            entries.Member(f"m-{number}", "", address, voter=False)
            for number, address in enumerate(UNUSABLE, 2)
        )
        service = self.build_service(others)
        await service.start()
        self.addAsyncCleanup(service.stop)
        await asyncio.sleep(TICKS * shell.TICK_INTERVAL.total_seconds())
        self.assertFalse(service.crashed)
        reply = await service.submit_query(api.Status(1))
        self.assertIsInstance(reply, api.StatusRead)

    async def test_a_snapshot_is_published_after_a_failed_write(self) -> None:
        # Guards against a control process that serves an older routing until
        # the next change: a write failed between the two files of a snapshot.
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)
        service = self.build_service()
        self.disk.failures = ALWAYS
        await service.start()
        self.addAsyncCleanup(service.stop)
        machine = state.StateMachine()
        machine.apply(commands.Declare(test_declarations.build(3)))
        member = service.control_core.consensus.log.members[0]
        snapshot = entries.Snapshot(5, 1, (member,), machine.encode())
        await self.poll(
            lambda: service.control_core.status
            is api.MemberStatus.STORAGE_FAILED
        )
        self.disk.failures = 0
        storage.Storage(self.disk).save(events.SaveSnapshot(9, snapshot, ()))
        await self.poll(lambda: len(self.dissemination.versions) > 1)
        self.assertEqual(self.dissemination.versions, [-1, 3])

    async def test_a_member_whose_stored_members_are_all_gone(self) -> None:
        # Guards against a returned member that stays out: it knows no
        # address at which a member of today listens.
        gone = tuple(
            describe_voter(f"m-{number}", processes.pick_port())
            for number in (2, 3)
        )
        returned = self.build_service(gone)
        own = returned.control_core.consensus.known_members[0]
        other = describe_voter("m-4", processes.pick_port())
        self.disk = fakes.FakeFileSystem()
        member_storage = storage.Storage(self.disk)
        member_storage.initialise(
            storage.StoredIdentity(other.identity, "control-4"), ()
        )
        today = entries.Snapshot(5, 1, (own, other))
        member_storage.save(events.SaveSnapshot(2, today, ()))
        for service in (returned, self.build_stored_service(other.address)):
            await service.start()
            self.addAsyncCleanup(service.stop)
        await self.poll(
            lambda: returned.control_core.consensus.commit_index > 5
        )
        known = returned.control_core.consensus.known_members
        self.assertEqual(known, (own, other))

    async def test_an_inactive_voter_is_logged_once(self) -> None:
        # Guards against a voter that is counted on and that nobody knows to
        # be out.
        service = self.build_service()
        voter = membership.InactiveVoter(
            "m-2", SECOND, 2 * SECOND, 3 * SECOND, 4, 5
        )
        with (
            mock.patch.object(
                core.ControlCore,
                "list_inactive_voters",
                side_effect=itertools.chain(
                    [(), (voter,), (voter,)], itertools.repeat(())
                ),
            ),
            self.assertLogs(shell.LOGGER) as logged,
        ):
            await service.start()
            self.addAsyncCleanup(service.stop)
            await self.poll(
                lambda: service.control_core.consensus.leadership is not None
            )
        written = [
            record
            for record in logged.records
            if record.getMessage() == "voter_inactive"
        ]
        self.assertEqual(len(written), 1)
        self.assertEqual(
            vars(written[0])["detail"],
            "heard_ms_ago=1000 replied_ms_ago=2000 caught_up_ms_ago=3000"
            " match=4 commit=5",
        )

    async def test_a_process_with_an_unusable_address_may_not_join(
        self,
    ) -> None:
        control = self.build_service()
        directory = build_directory(())
        requests: list[entries.Member] = []
        control.handle_join_request = requests.append  # type: ignore
        directory.attach(control)
        usable = model.Endpoint(HOST, 7720)
        for address in (*UNUSABLE, usable):
            request = messages.JoinRequest("m-9", "control-9", address)
            directory.handle_datagram(messages.encode(request), usable)
        self.assertEqual([member.address for member in requests], [usable])

    async def test_only_a_process_that_takes_part_asks_to_join(self) -> None:
        # Guards against a process that is added as a learner and removed
        # again for as long as its disk fails.
        control = self.build_service()
        directory = build_directory((model.Endpoint(HOST, 7721),))
        with mock.patch.object(output.ActionExecutor, "execute") as execute:
            directory.request_join(control)
            self.assertEqual(execute.call_count, 1)
            control.control_core.handle(
                core.SaveFailed("no space"), datetime.timedelta()
            )
            directory.request_join(control)
            self.assertEqual(execute.call_count, 1)


if __name__ == "__main__":
    unittest.main()
