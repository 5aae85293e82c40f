"""Tests of an entry's table of agents."""

import unittest

import msgspec

from egretfork.passthrough import agents
from egretfork.passthrough import messages
from tests.passthrough import support

ADDRESS = support.agent_address(1)


class AgentTableTest(unittest.TestCase):
    """Guards against beliefs that begin with an outdated announcement."""

    def setUp(self) -> None:
        self.table = agents.AgentTable(support.at(0))
        self.current = messages.Announcement(
            agent="agent-2",
            availability_zone="zone-a",
            incarnation=9000,
            sequence=1,
            service=support.SERVICE,
            state=messages.TargetState.READY,
            slots=2,
            flows=0,
            running=0,
        )
        self.table.handle_announcement(self.current, ADDRESS, support.at(0))

    def announce(
        self, time_ms: int, **changes: object
    ) -> agents.AnnouncementChange:
        """Pass a changed announcement to the table."""
        changed = msgspec.structs.replace(self.current, **changes)
        return self.table.handle_announcement(
            changed, ADDRESS, support.at(time_ms)
        )

    def test_a_late_stop_of_an_earlier_agent(self) -> None:
        for agent in ("agent-1", "agent-2"):
            change = self.announce(
                100,
                agent=agent,
                incarnation=4000,
                sequence=50,
                state=messages.TargetState.ENDED,
                stopping=True,
            )
            self.assertIs(change, agents.AnnouncementChange.NONE)
            self.assertIn(ADDRESS, self.table)

    def test_a_late_state_of_another_agent(self) -> None:
        change = self.announce(
            100, agent="agent-1", incarnation=4000, service="other"
        )
        self.assertIs(change, agents.AnnouncementChange.NONE)

    def test_an_agent_of_another_vm_whose_clock_is_behind(self) -> None:
        change = self.announce(
            2000, agent="agent-3", incarnation=4000, service="other"
        )
        self.assertIs(change, agents.AnnouncementChange.STATE)

    def test_the_stop_of_an_agent(self) -> None:
        change = self.announce(
            100, sequence=2, state=messages.TargetState.ENDED, stopping=True
        )
        self.assertIs(change, agents.AnnouncementChange.REMOVED)
        self.assertNotIn(ADDRESS, self.table)


if __name__ == "__main__":
    unittest.main()
