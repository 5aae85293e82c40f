"""Tests the validation and conversion of endpoints' heartbeats."""

import json
import sys
import typing
import unittest

import hypothesis
from hypothesis import strategies

from tests import platform  # noqa: F401  (adds the adapter to the path)

from egretfork_platform import registrations

from egretfork import model
from egretfork.passthrough import reports
from egretfork import reasons
from tests.passthrough import support

WALL_CLOCK_MS = 1787509026000
ADDRESS = model.Endpoint("10.128.0.9", 8080)


def parse_changed(
    **changes: typing.Any,
) -> reports.TargetReport | reasons.Failure:
    """Parse a valid heartbeat with changes; ``None`` omits a field."""
    body = {
        "service": "mail",
        "address": "10.128.0.9:8080",
        "zone": "bcs-a",
        "version": "v1",
        "concurrency": 2,
        "state": "ready",
        "warmupRemainingMs": 250,
        "sequence": 4,
        "born": 1787509025714,
    } | changes
    kept = {key: value for key, value in body.items() if value is not None}
    return registrations.parse_heartbeat(
        "i-1", json.dumps(kept).encode(), ADDRESS, WALL_CLOCK_MS
    )


class HeartbeatTest(unittest.TestCase):
    """Guards against heartbeats that are converted or accepted wrongly."""

    def test_valid(self) -> None:
        expected = reports.TargetReport(
            "i-1", 1787509025714, 4, "mail", 2, False, 250, 286
        )
        self.assertEqual(parse_changed(), expected)

    def test_leaving(self) -> None:
        report = parse_changed(state="draining", born=None)
        assert isinstance(report, reports.TargetReport)
        self.assertTrue(report.leaving)
        self.assertEqual(report.born_ms, 0)

    def test_invalid(self) -> None:
        for changes in (
            {"state": "gone"},
            {"state": None},
            {"service": None},
            {"service": 7},
            {"service": ""},
            {"concurrency": 0},
            {"concurrency": "2"},
            {"sequence": None},
            {"sequence": -1},
            {"born": "yesterday"},
            {"born": 1.5},
            {"address": "10.128.0.9:70000"},
            {"address": "10.128.0.9"},
            {"address": ""},
            {"address": None},
            {"address": "10.128.0.8:8080"},
            {"address": "10.128.0.9:8081"},
            {"zone": None},
            {"zone": ""},
            {"zone": 1},
            {"version": None},
            {"version": ["v1"]},
            {"warmupRemainingMs": None},
            {"warmupRemainingMs": "0"},
            {"warmupRemainingMs": -1},
        ):
            with self.subTest(changes):
                self.assertIsInstance(
                    parse_changed(**changes), reasons.Failure
                )

    def test_numbers_that_messages_cannot_carry(self) -> None:
        # Guards against an agent that ends when it announces such a number.
        for field in ("concurrency", "sequence", "warmupRemainingMs", "born"):
            for number in (2**63, 2**64, 10**30, sys.float_info.max):
                with self.subTest(field, number=number):
                    result = parse_changed(**{field: number})
                    self.assertIsInstance(result, reasons.Failure)

    @hypothesis.given(
        strategies.sampled_from((1, 2**31 - 1, 2**31, 2**64)),
        strategies.lists(
            strategies.sampled_from((0, 1, 2**31, 2**63 - 1, 2**63)),
            max_size=3,
        ),
        strategies.sampled_from((None, 1, 2**31, 2**63 - 1)),
        strategies.floats(0, 1e8),
    )
    def test_accepted_reports_are_announced(
        self,
        concurrency: int,
        sequences: list[int],
        born: int | None,
        warmup_ms: float,
    ) -> None:
        # Guards against an accepted report that the agent or a later tick
        # fails on.
        network = support.Network(("mail",), 1)
        core = network.agents[0]
        for sequence in sequences:
            report = parse_changed(
                concurrency=concurrency,
                sequence=sequence,
                born=born or WALL_CLOCK_MS - 100,
                warmupRemainingMs=warmup_ms,
            )
            if isinstance(report, reports.TargetReport):
                requested_actions = core.handle_report(report, network.now)
                network.execute(requested_actions, support.agent_address(0))
            network.advance(300, reports=False)

    def test_nested_too_deeply(self) -> None:
        # Guards against an error that is not the sender's (500).
        result = registrations.parse_heartbeat(
            "i-1", b'{"service": ' + b"[" * 100_000, ADDRESS, WALL_CLOCK_MS
        )
        self.assertIsInstance(result, reasons.Failure)

    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_bytes(self, body: bytes) -> None:
        result = registrations.parse_heartbeat(
            "i-1", body, ADDRESS, WALL_CLOCK_MS
        )
        self.assertIsInstance(result, (reasons.Failure, reports.TargetReport))


if __name__ == "__main__":
    unittest.main()
