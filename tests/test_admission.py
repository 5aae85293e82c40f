"""Tests whether a peer accepts new flows, by announcement and load hint."""

import datetime
import unittest

from egretfork.agent import admission
from egretfork import model
from egretfork import wire

ADDRESS = model.Endpoint("127.0.0.1", 1000)
READY = model.TargetState.READY


def build_peer(
    announced: model.TargetState,
    hinted: model.TargetState,
    *,
    flows: int = 0,
    shedding: bool = False,
) -> admission.Peer:
    """Return a peer with an announcement and a hint."""
    announcement = model.TargetAnnouncement(
        "mail", "a", 1, 1, ADDRESS, "zone", announced
    )
    hint = wire.LoadHint(
        service="mail",
        agent=announcement.identity,
        address=ADDRESS,
        flows=flows,
        flow_limit=10,
        free_slots=1,
        waiting=0,
        state=hinted,
        shedding=shedding,
    )
    return admission.Peer(announcement, datetime.timedelta(), hint)


class PeerAcceptanceTest(unittest.TestCase):
    """Guards against forwarding new flows to a peer that refuses them."""

    def test_ready(self) -> None:
        self.assertTrue(build_peer(READY, READY).accepts_flows)

    def test_draining_in_load_hint_overrides_announcement(self) -> None:
        peer = build_peer(READY, model.TargetState.DRAINING)
        self.assertFalse(peer.accepts_flows)

    def test_draining_announcement(self) -> None:
        peer = build_peer(model.TargetState.DRAINING, READY)
        self.assertFalse(peer.accepts_flows)

    def test_full_or_shedding(self) -> None:
        self.assertFalse(build_peer(READY, READY, flows=10).accepts_flows)
        self.assertFalse(build_peer(READY, READY, shedding=True).accepts_flows)


if __name__ == "__main__":
    unittest.main()
