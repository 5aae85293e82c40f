"""Anti-entropy exchange of announcements, nodes and suspicions."""

import collections.abc
import datetime
import random

import msgspec

from egretfork.gossip import membership
from egretfork.gossip import messages
from egretfork.gossip import store
from egretfork import model
from egretfork import reasons
from egretfork import wire

MAX_BUCKETS_PER_REQUEST = 8
MAX_CELL_DATAGRAMS = 2
# More new records than this in one reply mean that this node was behind its
# peers. It does not forward them, because its peers already have them.
MAX_FORWARDED_PULLED = 8
PACK_LIMIT_BYTES = 1_150

_EMPTY = messages.RecordBatch()


class Exchange:
    """Records of a process, and those that it has yet to push."""

    def __init__(self, generator: random.Random) -> None:
        self.records = store.Store()
        self.membership = membership.Membership(self.records)
        self.nodes_changed = False
        self._generator = generator
        self._targets: dict[str, None] = {}
        self._nodes: dict[str, None] = {}
        self._suspicions: dict[str, None] = {}

    @property
    def pending(self) -> bool:
        """Return whether records wait to be pushed."""
        return bool(self._targets or self._nodes or self._suspicions)

    def merge(
        self,
        batch: messages.RecordBatch,
        now: datetime.timedelta,
        pulled: bool = False,
    ) -> tuple[int, messages.RecordBatch]:
        """Store the records of a batch that are newer than the stored ones.

        Returns:
            The number of new records, and the stored records that are newer
            than those received.
        """
        targets = [
            (item.agent, self.membership.merge_target(item, now))
            for item in batch.targets
        ]
        nodes = [
            (item.name, self.membership.merge_node(item))
            for item in batch.nodes
        ]
        suspicions = [
            (item.agent, self.membership.merge_suspicion(item, now))
            for item in batch.suspicions
        ]
        new_targets = _select_keys(targets, membership.MergeOutcome.NEWER)
        new_nodes = _select_keys(nodes, membership.MergeOutcome.NEWER)
        new_suspicions = _select_keys(
            suspicions, membership.MergeOutcome.NEWER
        )
        self.nodes_changed = self.nodes_changed or bool(new_nodes)
        count = len(new_targets) + len(new_nodes) + len(new_suspicions)
        if not pulled or count <= MAX_FORWARDED_PULLED:
            self._targets.update(dict.fromkeys(new_targets))
            self._nodes.update(dict.fromkeys(new_nodes))
            self._suspicions.update(dict.fromkeys(new_suspicions))
        older = _select_keys(targets, membership.MergeOutcome.OLDER)
        older += _select_keys(suspicions, membership.MergeOutcome.OLDER)
        return count, self._collect(
            dict.fromkeys(older),
            dict.fromkeys(_select_keys(nodes, membership.MergeOutcome.OLDER)),
            {},
        )

    def take_pending(self) -> messages.RecordBatch:
        """Return and clear the records that wait to be pushed."""
        batch = self._collect(self._targets, self._nodes, self._suspicions)
        self._targets = {}
        self._nodes = {}
        self._suspicions = {}
        return batch

    def collect_service(self, service: str) -> messages.RecordBatch:
        """Return all records of a service."""
        names = dict.fromkeys(sorted(self.records.list_service(service)))
        return self._collect(names, {}, names)

    def mark_left(self, name: str) -> messages.RecordBatch:
        """Return the records that mark a node or an agent as left."""
        node = self.records.nodes.get(name)
        target = self.records.targets.get(name)
        return messages.RecordBatch(
            nodes=(msgspec.structs.replace(node, left=True),) if node else (),
            targets=(
                (store.mark_left(target.announcement),) if target else ()
            ),
        )

    def make_bucket_request(
        self, hashes: bytes
    ) -> messages.BucketRequest | None:
        """Return a request for buckets that differ from a peer's, if any."""
        buckets = self.records.find_different_buckets(hashes)
        if not buckets:
            return None
        count = min(MAX_BUCKETS_PER_REQUEST, len(buckets))
        chosen = self._generator.sample(buckets, count)
        return messages.BucketRequest(
            tuple(self.records.hash_cells(bucket) for bucket in chosen)
        )

    def answer_bucket_request(
        self, request: messages.BucketRequest
    ) -> list[messages.CellRecords]:
        """Return the records of differing cells, up to the datagram limit."""
        cells = [
            cell
            for hashes in request.buckets
            for cell in self.records.find_different_cells(hashes)
        ]
        self._generator.shuffle(cells)
        answers: list[messages.CellRecords] = []
        while cells and len(answers) < MAX_CELL_DATAGRAMS:
            answers.extend(self._pack_cells(cells))
        return [
            messages.CellRecords(
                item.cells, item.data, last=index == len(answers) - 1
            )
            for index, item in enumerate(answers)
        ]

    def compare_cells(
        self, cells: collections.abc.Iterable[int], batch: messages.RecordBatch
    ) -> list[messages.CellRecords]:
        """Return the records that the sender of complete cells lacks.

        The reply is limited to ``MAX_CELL_DATAGRAMS``, because a node that
        started empty lacks thousands of records and each peer that sends it
        a digest would send them all. Later exchanges carry the rest.
        """
        own = join_batches(
            self.records.get_cell(cell)
            for cell in cells
            if 0 <= cell < store.CELLS
        )
        targets = {
            item.agent: store.rank_target(item) for item in batch.targets
        }
        nodes = {item.name: item.rank for item in batch.nodes}
        suspicions = set(batch.suspicions)
        missing = messages.RecordBatch(
            targets=tuple(
                item
                for item in own.targets
                if store.rank_target(item)
                > targets.get(item.agent, _get_unknown_rank(item.state))
            ),
            nodes=tuple(
                item
                for item in own.nodes
                if item.rank > nodes.get(item.name, (-1, 0, False))
            ),
            suspicions=tuple(
                item for item in own.suspicions if item not in suspicions
            ),
        )
        return [
            messages.CellRecords((), messages.pack_batch(part), last=False)
            for part in split_batch(missing)[:MAX_CELL_DATAGRAMS]
        ]

    def _collect(
        self,
        targets: collections.abc.Iterable[str],
        nodes: collections.abc.Iterable[str],
        suspicions: collections.abc.Iterable[str],
    ) -> messages.RecordBatch:
        known = self.records.targets
        return messages.RecordBatch(
            targets=tuple(
                known[name].announcement for name in targets if name in known
            ),
            nodes=tuple(
                self.records.nodes[name]
                for name in nodes
                if name in self.records.nodes
            ),
            suspicions=tuple(
                item
                for name in suspicions
                if name in known
                for item in store.list_suspicions(known[name])
            ),
        )

    def _pack_cells(self, cells: list[int]) -> list[messages.CellRecords]:
        """Remove cells from the list and pack as many as fit one datagram.

        A cell that exceeds one datagram is sent in several.
        """
        count = min(len(cells), 8)
        while count:
            batch = join_batches(
                self.records.get_cell(item) for item in cells[:count]
            )
            data = messages.pack_batch(batch)
            if len(data) <= PACK_LIMIT_BYTES:
                taken, cells[:] = tuple(cells[:count]), cells[count:]
                return [messages.CellRecords(taken, data, last=False)]
            count = min(count - 1, count * PACK_LIMIT_BYTES // len(data))
        batch = self.records.get_cell(cells.pop(0))
        return [
            messages.CellRecords((), messages.pack_batch(part), last=False)
            for part in split_batch(batch)
        ]


def join_batches(
    batches: collections.abc.Iterable[messages.RecordBatch],
) -> messages.RecordBatch:
    """Concatenate several batches."""
    items = list(batches)
    return messages.RecordBatch(
        targets=tuple(item for batch in items for item in batch.targets),
        nodes=tuple(item for batch in items for item in batch.nodes),
        suspicions=tuple(item for batch in items for item in batch.suspicions),
    )


def select_agents(
    batch: messages.RecordBatch, agents: collections.abc.Container[str]
) -> messages.RecordBatch:
    """Return the records of a batch that concern the given agents."""
    return messages.RecordBatch(
        targets=tuple(item for item in batch.targets if item.agent in agents),
        suspicions=tuple(
            item for item in batch.suspicions if item.agent in agents
        ),
    )


def split_batch(batch: messages.RecordBatch) -> list[messages.RecordBatch]:
    """Split a batch into batches that each fit one datagram."""
    if batch == _EMPTY:
        return []
    if len(messages.pack_batch(batch)) <= PACK_LIMIT_BYTES:
        return [batch]
    longest = max(len(batch.targets), len(batch.nodes), len(batch.suspicions))
    if longest == 1:
        return [batch]
    halves = [
        messages.RecordBatch(
            targets=_get_half(batch.targets, second),
            nodes=_get_half(batch.nodes, second),
            suspicions=_get_half(batch.suspicions, second),
        )
        for second in (False, True)
    ]
    return [part for half in halves for part in split_batch(half)]


def make_messages(batch: messages.RecordBatch) -> list[wire.Message]:
    """Encode a batch as messages, compressed where that saves bytes."""
    return [_make_message(part) for part in split_batch(batch)]


def unpack_records(
    message: messages.PackedRecords | messages.CellRecords,
) -> messages.RecordBatch | reasons.Failure:
    """Decode the records of a compressed message."""
    return messages.unpack_batch(message.data)


def _make_message(batch: messages.RecordBatch) -> wire.Message:
    plain = messages.Records(batch)
    packed = messages.PackedRecords(messages.pack_batch(batch))
    if len(packed.data) + 4 < len(messages.encode(plain)):
        return packed
    return plain


def _get_half(
    items: tuple[messages.Item, ...], second: bool
) -> tuple[messages.Item, ...]:
    middle = (len(items) + 1) // 2
    return items[middle:] if second else items[:middle]


def _get_unknown_rank(state: model.TargetState) -> store.Rank:
    # A node that does not know a target needs no record that it left.
    if state is model.TargetState.LEFT:
        return (1 << 62, 0, False)
    return (-1, 0, False)


def _select_keys(
    outcomes: list[tuple[str, membership.MergeOutcome]],
    outcome: membership.MergeOutcome,
) -> list[str]:
    return [name for name, item in outcomes if item is outcome]
