"""Seeded histories of losses, returns and repairs of control processes.

At most ``TOLERATED`` members are lost at a time; a member stays lost for
``CATCH_UP_TIME`` after it is back. Each history ends with the loss of
``TOLERATED`` disks. A leader has to come back, and what was acknowledged has
to be kept. ``python -m tests.control.histories`` runs many histories.
"""

import collections.abc
import datetime
import itertools
import multiprocessing

import click

from egretfork.control import api
from egretfork.control import commands
from egretfork.control import election
from tests.control import cluster
from tests.control import test_declarations

SECOND = datetime.timedelta(seconds=1)
VOTERS = 5
TOLERATED = 2
EVENTS = 16
CATCH_UP_TIME = 4 * SECOND
RECOVERY_TIME = 12 * SECOND
ABSENT = datetime.timedelta.max
# The values of the users' platform, whose adapter is not installed here.
TIMING = election.Timing(
    heartbeat=datetime.timedelta(milliseconds=200),
    election_timeout_min=datetime.timedelta(milliseconds=800),
    election_timeout_max=datetime.timedelta(milliseconds=1600),
    startup_timeout_min=datetime.timedelta(milliseconds=150),
    startup_timeout_max=datetime.timedelta(milliseconds=500),
)


class History:
    """One group and the random events that happen to it.

    Attributes:
        events: what has happened, in order, for the report of a failure.
    """

    def __init__(self, seed: int, loss: float) -> None:
        self.group = cluster.form_group(seed, VOTERS, timing=TIMING)
        self.group.loss = loss
        self.events: list[str] = []
        self._versions = itertools.count(2)
        self._submitted: dict[bytes, int] = {}
        # Time until which a member counts as lost, by identity.
        self._lost_until: dict[str, datetime.timedelta] = {}

    def run(self) -> str:
        """Run the history; return what went wrong, empty if nothing."""
        self._declare()
        for _ in range(EVENTS):
            chosen = self.group.rng.choice(self._list_possible())
            chosen()
            self._run(self.group.rng.uniform(0, 3) * SECOND)
            self._declare()
        self._end_absences()
        self._run(RECOVERY_TIME)
        if self.group.find_leader() is None:
            return "no leader after all are back"
        self._declare()
        self._run(SECOND)
        self._lose_tolerated_disks()
        self._run(RECOVERY_TIME)
        return self._check_end()

    # Members

    def _list_members(self) -> list[cluster.FakeMember]:
        return [item for item in self.group.members if not item.lost]

    def _list_lost(self) -> list[cluster.FakeMember]:
        return [
            item
            for item in self._list_members()
            if self._lost_until.get(item.identity, self.group.now)
            > self.group.now
        ]

    def _list_absent(self) -> list[cluster.FakeMember]:
        return [
            item
            for item in self._list_members()
            if self._lost_until.get(item.identity) == ABSENT
        ]

    def _list_healthy(self) -> list[cluster.FakeMember]:
        lost = self._list_lost()
        return [item for item in self._list_members() if item not in lost]

    def _mark_back(self, member: cluster.FakeMember) -> None:
        self._lost_until[member.identity] = self.group.now + CATCH_UP_TIME

    def _note(self, what: str, member: cluster.FakeMember) -> None:
        self.events.append(f"{self.group.now} {what} {member.identity}")

    # Events

    def _list_possible(self) -> list[collections.abc.Callable[[], None]]:
        possible = [self._restart_all]
        if len(self._list_lost()) < TOLERATED:
            possible += [self._stop, self._cut_off, self._pause]
            possible += [self._lose_disk, self._lose_disk, self._move]
        if self._list_absent():
            possible += [self._bring_back, self._bring_back_without_disk]
        return possible

    def _pick_healthy(self) -> cluster.FakeMember:
        return self.group.rng.choice(self._list_healthy())

    def _stop(self) -> None:
        member = self._pick_healthy()
        self._note("stop", member)
        self._lost_until[member.identity] = ABSENT
        self.group.crash(member)

    def _cut_off(self) -> None:
        member = self._pick_healthy()
        self._note("cut off", member)
        self._lost_until[member.identity] = ABSENT
        self.group.cut_off.add(member.identity)

    def _pause(self) -> None:
        member = self._pick_healthy()
        self._note("pause", member)
        self._lost_until[member.identity] = ABSENT
        member.frozen_until = ABSENT

    def _end_absence(self, member: cluster.FakeMember) -> None:
        self.group.cut_off.discard(member.identity)
        member.frozen_until = self.group.now
        self._mark_back(member)

    def _bring_back(self) -> None:
        member = self.group.rng.choice(self._list_absent())
        self._note("bring back", member)
        self._end_absence(member)
        if not member.is_up:
            self.group.start(member)

    def _bring_back_without_disk(self) -> None:
        member = self.group.rng.choice(self._list_absent())
        self._note("bring back without disk", member)
        self._end_absence(member)
        self._mark_back(self.group.replace_disk(member))

    def _lose_disk(self) -> None:
        member = self._pick_healthy()
        self._note("lose disk", member)
        self._mark_back(self.group.replace_disk(member))

    def _move(self) -> None:
        """Replace a member by one at another address, as planned."""
        member = self._pick_healthy()
        self._note("move", member)
        self.group.add_member()
        self._run(CATCH_UP_TIME)
        self.group.stop_for_good(member)

    def _restart_all(self) -> None:
        """Kill all processes at the same moment."""
        self.events.append(f"{self.group.now} restart all")
        present = [m for m in self._list_members() if m.is_up]
        for member in present:
            self.group.crash(member)
        self._run(self.group.rng.uniform(0, 1) * SECOND)
        for member in present:
            self.group.start(member)
        self._run(CATCH_UP_TIME)

    def _end_absences(self) -> None:
        for member in self._list_absent():
            self._note("bring back", member)
            self._end_absence(member)
            if not member.is_up:
                self.group.start(member)

    def _lose_tolerated_disks(self) -> None:
        healthy = self._list_healthy()
        lost = self.group.rng.sample(healthy, TOLERATED)
        if self.group.rng.random() < 0.5:
            for member in (m for m in healthy if m not in lost):
                self.group.crash(member)
                self.group.start(member)
        for member in lost:
            self._note("lose disk", member)
            self.group.replace_disk(member)

    # Operator

    def _declare(self) -> None:
        """Submit a declaration to the leader, if there is one."""
        leader = self.group.find_leader()
        if leader is None:
            return
        version = next(self._versions)
        command = commands.Declare(test_declarations.build(version))
        client = self.group.ask(leader, api.Submit(1, command))
        self._submitted[client] = version

    def _run(self, duration: datetime.timedelta) -> None:
        self.group.run_with_joins(duration)

    def _check_end(self) -> str:
        leader = self.group.find_leader()
        if leader is None or leader.control_core is None:
            return "no leader after the loss of disks"
        acknowledged = max(
            version
            for client, version in self._submitted.items()
            if isinstance(self.group.replies.get(client), api.Concluded)
        )
        held = leader.control_core.declaration.version
        if held < acknowledged:
            return f"version {acknowledged} is lost, {held} is held"
        return ""


def run_history(seed: int, loss: float) -> str:
    """Run a history; return its failure and events, empty if it passed."""
    history = History(seed, loss)
    failure = history.run()
    if not failure:
        return ""
    return "\n  ".join((f"seed {seed}: {failure}", *history.events))


@click.command()
@click.option("--first", default=0, help="First seed.")
@click.option("--seeds", default=100, help="Number of seeds.")
@click.option("--loss", default=0.0, help="Share of messages that are lost.")
@click.option("--jobs", default=2, help="Number of processes.")
def main(first: int, seeds: int, loss: float, jobs: int) -> None:
    """Run many histories and print those that fail."""
    arguments = [(seed, loss) for seed in range(first, first + seeds)]
    with multiprocessing.Pool(jobs) as pool:
        failures = [
            item for item in pool.starmap(run_history, arguments, 1) if item
        ]
    for failure in failures:
        click.echo(failure)
    click.echo(f"{len(failures)} of {seeds} histories failed, loss {loss}")


if __name__ == "__main__":
    main()
