"""Tests of deltas, transfers, the rate limit and the message codec."""

import datetime
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from egretfork.gossip import deltas
from egretfork.gossip import messages
from egretfork.gossip import rate_limit
from egretfork.gossip import transfer
from egretfork import model
from egretfork import reasons
from tests import gossip_network

PEER = model.Endpoint("10.0.0.9", 7000)
START = datetime.timedelta()

NAMES = strategies.sampled_from([f"s-{number}" for number in range(6)])
SERVICES = strategies.dictionaries(NAMES, strategies.integers(1, 3)).map(
    lambda slots: tuple(
        gossip_network.make_service(name, slots=value)
        for name, value in slots.items()
    )
)
GROUPS = strategies.dictionaries(NAMES, strategies.integers(1, 3)).map(
    lambda epochs: tuple(
        model.RecordGroup(name, epoch, (model.AgentIdentity("a", 1),))
        for name, epoch in epochs.items()
    )
)

DRAINED = strategies.sets(NAMES).map(tuple)


@strategies.composite
def configurations(draw, version: int):
    return deltas.normalize(
        model.Configuration(
            version,
            draw(SERVICES),
            draw(GROUPS),
            draw(strategies.integers(0, 3)),
            draw(DRAINED),
        )
    )


class DeltaTest(unittest.TestCase):
    """Guards against a configuration that is applied only in part."""

    @hypothesis.given(old=configurations(1), new=configurations(2))
    def test_applied_delta_equals_published_whole(self, old, new) -> None:
        for base in (old, deltas.EMPTY):
            data = deltas.pack(deltas.compute(base, new))
            self.assertEqual(transfer.assemble(data, old), new)

    def test_every_field_of_a_configuration_is_carried(self) -> None:
        # Guards against a new field that is left out of deltas.
        whole = msgspec.structs.replace(
            gossip_network.make_configuration(1),
            record_groups=(model.RecordGroup("s-1", 1, ()),),
            record_revision=7,
            drained_agents=("s-1-a",),
        )
        for field in msgspec.structs.fields(model.Configuration):
            self.assertNotEqual(getattr(whole, field.name), field.default)
        data = deltas.pack(deltas.compute(deltas.EMPTY, whole))
        self.assertEqual(transfer.assemble(data, deltas.EMPTY), whole)

    def test_a_part_names_the_drained_agents_of_its_service(self) -> None:
        whole = model.Configuration(
            version=1,
            services=(
                gossip_network.make_service("s-1", targets=("s-1-*",)),
                gossip_network.make_service("s-2", targets=("s-2-*",)),
            ),
            drained_agents=("s-1-a", "s-2-b"),
        )
        part = deltas.select_part(whole, "s-2")
        self.assertEqual(part.drained_agents, ("s-2-b",))

    def test_delta_of_another_base_is_rejected(self) -> None:
        first, second, third = (
            gossip_network.make_configuration(version) for version in (1, 2, 3)
        )
        data = deltas.pack(deltas.compute(second, third))
        self.assertIsInstance(transfer.assemble(data, first), reasons.Failure)

    def test_result_with_another_checksum_is_rejected(self) -> None:
        old = gossip_network.make_configuration(1)
        new = gossip_network.make_configuration(2)
        delta = deltas.compute(old, new)
        partial = msgspec.structs.replace(delta, services=delta.services[1:])
        result = transfer.assemble(deltas.pack(partial), old)
        self.assertIsInstance(result, reasons.Failure)

    @hypothesis.given(data=strategies.binary(max_size=64))
    def test_damaged_data_gives_a_failure(self, data) -> None:
        self.assertIsInstance(deltas.unpack(data), reasons.Failure)
        self.assertIsInstance(messages.unpack_batch(data), reasons.Failure)

    def test_cut_data_gives_a_failure(self) -> None:
        whole = deltas.pack(
            deltas.compute(deltas.EMPTY, gossip_network.make_configuration(1))
        )
        for end in range(len(whole)):
            self.assertIsInstance(deltas.unpack(whole[:end]), reasons.Failure)


class TransferTest(unittest.TestCase):
    """Guards against transfers that stall or lead to an older revision."""

    def setUp(self) -> None:
        self.history = transfer.History()
        for version in range(1, 40):
            configuration = gossip_network.make_configuration(
                version, services=300
            )
            self.history.advance(deltas.normalize(configuration))

    def test_whole_state_in_pieces_of_datagram_size(self) -> None:
        puller = transfer.Puller("")
        request = puller.start(
            PEER, messages.INITIAL_REVISION, self.history.revision, START
        )
        data, now = None, START
        for _ in range(50):
            for piece in self.history.serve(request):
                size = len(messages.encode(piece))
                self.assertLess(size, messages.MAX_MESSAGE_BYTES)
                # Pieces with an even index are lost unless requested alone.
                if piece.index % 2 or len(request.indexes) == 1:
                    data = puller.add(piece, messages.INITIAL_REVISION) or data
            if data is not None:
                break
            now += datetime.timedelta(seconds=3)
            _, request = puller.poll(now)
        result = transfer.assemble(data, deltas.EMPTY)
        self.assertEqual(result, self.history.newest)

    def test_silent_peer_is_given_up(self) -> None:
        puller = transfer.Puller("")
        puller.start(
            PEER, messages.INITIAL_REVISION, self.history.revision, START
        )
        for second in range(30):
            puller.poll(datetime.timedelta(seconds=second))
        self.assertFalse(puller.active)

    def test_base_that_is_no_longer_kept_gives_the_whole_state(self) -> None:
        pieces = self.history.make_pieces(
            "", messages.ConfigurationRevision(2, 0), self.history.revision
        )
        self.assertEqual(pieces[0].base, messages.INITIAL_REVISION)

    def test_order_moves_forward_in_both_numbers(self) -> None:
        for version, record_revision in ((38, 9), (39, 0), (1, 0)):
            configuration = gossip_network.make_configuration(
                version, record_revision
            )
            self.assertFalse(self.history.advance(configuration))
        later = gossip_network.make_configuration(39, 1)
        self.assertTrue(self.history.advance(later))
        # A later version with an earlier record revision does not follow.
        mixed = gossip_network.make_configuration(40, 0)
        self.assertFalse(self.history.advance(mixed))


class BudgetTest(unittest.TestCase):
    """Guards against gossip traffic above the rate limit."""

    def test_no_second_exceeds_the_limit(self) -> None:
        queue = rate_limit.SendQueue(5_500, 2_500)
        sent: list[tuple[int, int]] = []
        for number in range(200):
            message = messages.PackedRecords(number.to_bytes(2, "big") * 250)
            queue.put(rate_limit.Priority.RECORDS, PEER, message)
        for step in range(200):
            now = datetime.timedelta(milliseconds=step * 50)
            for action in queue.drain(now):
                size = len(messages.encode(action.message))
                sent.append((step, size + messages.HEADER_BYTES))
        for start in range(180):
            window = (s for t, s in sent if start <= t < start + 20)
            self.assertLess(sum(window), 8_000)
        self.assertGreater(sum(size for _, size in sent), 45_000)

    def test_configuration_goes_first(self) -> None:
        queue = rate_limit.SendQueue(5_500, 2_500)
        for number in range(50):
            message = messages.PackedRecords(number.to_bytes(2, "big") * 250)
            queue.put(rate_limit.Priority.EXCHANGE, PEER, message)
        queue.drain(START)
        offer = messages.Offer("", messages.ConfigurationRevision(1, 0), 1)
        queue.put(rate_limit.Priority.CONFIGURATION, PEER, offer)
        sends = queue.drain(START)
        self.assertEqual([item.message for item in sends], [offer])

    def test_received_bytes_hold_back_sending(self) -> None:
        queue = rate_limit.SendQueue(5_500, 2_500)
        queue.charge(2_400, START)
        message = messages.PackedRecords(bytes(500))
        queue.put(rate_limit.Priority.RECORDS, PEER, message)
        self.assertEqual(queue.drain(START), [])
        later = datetime.timedelta(seconds=1)
        self.assertEqual(len(queue.drain(later)), 1)


class MessageTest(unittest.TestCase):
    """Guards against datagrams that crash the receiver."""

    @hypothesis.given(data=strategies.binary(max_size=64))
    def test_malformed_datagram(self, data) -> None:
        result = messages.decode(data, "peer")
        if not isinstance(result, reasons.Failure):
            self.assertIsInstance(result, messages.AnyMessage)
