"""Tests of the request engine over a fake network."""

import unittest

from tests import request_support as support

ANSWERED = ("answered", "")


class FirstPathTest(unittest.TestCase):
    """Guards the plain path of requests through one and more agents."""

    def test_idempotent_request_is_answered(self):
        fixture = support.Fixture(count=1, members=())
        request = fixture.submit(fixture.addresses[0], b"read")
        fixture.run(500)
        self.assertEqual(ANSWERED, fixture.outcome(request))
        self.assertEqual(b"done read", fixture.payload(request))

    def test_keyed_request_runs_once_when_resent_everywhere(self):
        fixture = support.Fixture(count=4)
        key = fixture.make_key(1)
        requests = [
            fixture.submit(address, b"write", key)
            for address in fixture.addresses
        ]
        fixture.run(1000)
        late = fixture.submit(fixture.addresses[3], b"write", key)
        fixture.run(1000)
        for request in (*requests, late):
            self.assertEqual(ANSWERED, fixture.outcome(request))
            self.assertEqual(b"done write", fixture.payload(request))
        self.assertEqual(1, fixture.targets.count(b"write"))

    def test_keyed_request_without_group_is_unknown(self):
        fixture = support.Fixture(count=1, members=())
        key = fixture.make_key(1)
        request = fixture.submit(fixture.addresses[0], b"write", key)
        fixture.run(2000)
        self.assertEqual(
            ("unknown", "records_unreachable"), fixture.outcome(request)
        )
        self.assertEqual(0, fixture.targets.count(b"write"))

    def test_waiting_requests_are_pulled_by_free_peers(self):
        fixture = support.Fixture(count=3)
        first = fixture.addresses[0]
        requests = [
            fixture.submit(first, b"%d" % number) for number in range(6)
        ]
        fixture.run(120)
        for request in requests:
            self.assertEqual(ANSWERED, fixture.outcome(request))
        ran_at = {agent for agent, _ in fixture.targets.runs}
        self.assertEqual(set(fixture.addresses), ran_at)
