"""Processor time of agent and control by the size of their state."""

import collections.abc
import datetime
import pathlib
import statistics
import tempfile
import time

from egretfork import actions
from egretfork.agent import events
from egretfork.bench import cells
from egretfork.bench import control
from egretfork.routing import ranking
from egretfork import wire

CHANGES = 20
ROUNDS = 9
BATCH = 200
HINT_DELAY = datetime.timedelta(milliseconds=100)
IDLE_TIMEOUT = datetime.timedelta(hours=1)
SETTLE_TIME = datetime.timedelta(seconds=5)


class AgentLoad:
    """One agent with open flows, fed without sockets."""

    def __init__(self, flows: int) -> None:
        self._cell = cells.Cell(1, HINT_DELAY, IDLE_TIMEOUT, 0)
        self._address = self._cell.add_agent()
        self._flows = flows
        self._message_id = 0
        self._cell.run(SETTLE_TIME)
        for number in range(flows):
            self._cell.send_request(number)
            self._cell.run(cells.TICK)
        self._agent = self._cell.agents[self._address]
        assert self._agent.flow_count == flows

    def measure(self) -> tuple[float, float]:
        """Return the microseconds of a new request and of its repeat."""
        requests: list[float] = []
        repeats: list[float] = []
        for _ in range(ROUNDS):
            batch = self._build_batch()
            requests.append(_time_us(batch, self._serve))
            repeats.append(_time_us(batch, self._repeat))
            self._cell.run(SETTLE_TIME)
        return statistics.median(requests), statistics.median(repeats)

    def _build_batch(self) -> list[bytes]:
        step = max(self._flows // BATCH, 1)
        self._message_id += 1
        return [
            wire.encode(self._build_datagram(number * step % self._flows))
            for number in range(BATCH)
        ]

    def _build_datagram(self, number: int) -> wire.Forwarded:
        flow = cells.build_caller(number)
        return wire.Forwarded(
            cells.SERVICE,
            1,
            flow,
            ranking.compute_bucket(cells.SERVICE, flow.caller),
            (self._address,),
            0,
            0,
            cells.ENTRY,
            cells.build_request(self._message_id),
        )

    def _serve(self, data: bytes) -> None:
        for action in self._receive(data):
            if isinstance(action, actions.SendToTarget):
                answer = cells.answer_at_once(action.payload)
                assert answer is not None
                event = events.TargetDatagram(cells.TARGET, answer)
                _encode(self._agent.handle(event, self._cell.now))

    def _repeat(self, data: bytes) -> None:
        _encode(self._receive(data))

    def _receive(self, data: bytes) -> collections.abc.Sequence[events.Action]:
        message = wire.decode(data, "")
        assert isinstance(message, wire.Message)
        event = events.MessageReceived(cells.ENTRY, message)
        return self._agent.handle(event, self._cell.now)


def _encode(decided: collections.abc.Sequence[events.Action]) -> None:
    for action in decided:
        if isinstance(action, actions.SendMessage):
            wire.encode(action.message)


def _time_us(
    batch: list[bytes], function: collections.abc.Callable[[bytes], None]
) -> float:
    start = time.process_time()
    for data in batch:
        function(data)
    return (time.process_time() - start) / len(batch) * 1e6


def measure_change_ms(services: int) -> float:
    """Return the processor time of one change through core and files."""
    with tempfile.TemporaryDirectory() as name:
        common = control.pick_settings(pathlib.Path(name), "bench")
        start = time.process_time()
        control.make_changes(common, services, CHANGES)
        return (time.process_time() - start) / CHANGES * 1e3


def measure_answer_us() -> float:
    """Return the time of the stand-in of the target in ``AgentLoad``."""
    data = cells.build_request(1)
    return _time_us([data] * BATCH, _answer)


def _answer(data: bytes) -> None:
    cells.answer_at_once(data)
