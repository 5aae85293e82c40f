"""Tests of the failure detection for targets."""

import unittest

from egretfork.passthrough import messages
from egretfork.passthrough import suspicion
from tests.passthrough import support

READY = messages.TargetState.READY


class SuspicionTest(unittest.TestCase):
    """Guards against callers that wait for a dead target.

    A silent target is probed; only two refused probes prove it dead.
    """

    def setUp(self) -> None:
        self.suspicion = suspicion.Suspicion()
        self.suspicion.record_received()

    def is_due(self, milliseconds: int) -> bool:
        """Return whether a probe is due."""
        return self.suspicion.is_probe_due(READY, support.at(milliseconds))

    def test_a_target_that_sent_nothing_yet_is_probed_immediately(
        self,
    ) -> None:
        self.suspicion = suspicion.Suspicion()
        self.assertTrue(self.is_due(30))
        self.assertFalse(self.suspicion.record_probe(listening=False))
        self.assertTrue(self.is_due(180))
        self.assertTrue(self.suspicion.record_probe(listening=False))

    def test_an_idle_target_is_not_probed(self) -> None:
        self.assertFalse(self.is_due(60_000))

    def test_a_target_that_answers_is_not_probed(self) -> None:
        for milliseconds in range(0, 3000, 100):
            self.suspicion.record_sent(support.at(milliseconds))
            self.assertFalse(self.is_due(milliseconds + 50))
            self.suspicion.record_received()

    def test_a_silent_target_is_probed_twice_then_dead(self) -> None:
        self.suspicion.record_sent(support.at(0))
        self.suspicion.record_sent(support.at(200))
        self.assertFalse(self.is_due(240))
        self.assertTrue(self.is_due(250))
        self.assertFalse(self.suspicion.record_probe(listening=False))
        self.assertFalse(self.is_due(300))
        self.assertTrue(self.is_due(400))
        self.assertTrue(self.suspicion.record_probe(listening=False))
        self.assertFalse(self.is_due(800))

    def test_a_slow_target_is_probed_rarely(self) -> None:
        self.suspicion.record_sent(support.at(0))
        probes = 0
        for milliseconds in range(0, 5000, 50):
            if self.is_due(milliseconds):
                probes += 1
                self.assertFalse(self.suspicion.record_probe(listening=True))
        self.assertLessEqual(probes, 6)

    def test_an_answer_between_two_refusals(self) -> None:
        self.suspicion.record_sent(support.at(0))
        self.suspicion.record_probe(listening=False)
        self.suspicion.record_received()
        self.assertFalse(self.suspicion.record_probe(listening=False))


if __name__ == "__main__":
    unittest.main()
