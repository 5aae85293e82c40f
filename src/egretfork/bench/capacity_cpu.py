"""CPU time of agent and control by the size of their state."""

import collections.abc
import datetime
import pathlib
import statistics
import tempfile
import time

from egretfork import actions
from egretfork.agent import events
from egretfork.bench import agent_simulation
from egretfork.bench import control
from egretfork.routing import ranking
from egretfork import wire

CHANGES = 20
ROUNDS = 9
BATCH_REQUESTS = 200
HINT_DELAY = datetime.timedelta(milliseconds=100)
IDLE_TIMEOUT = datetime.timedelta(hours=1)
SETTLE_TIME = datetime.timedelta(seconds=5)


class AgentBenchmark:
    """Agent core with open flows, without sockets."""

    def __init__(self, flows: int) -> None:
        self._simulation = agent_simulation.AgentSimulation(
            1, HINT_DELAY, IDLE_TIMEOUT, 0
        )
        self._address = self._simulation.add_agent()
        self._flows = flows
        self._message_id = 0
        self._simulation.run(SETTLE_TIME)
        for number in range(flows):
            self._simulation.send_request(number)
            self._simulation.run(agent_simulation.TICK_INTERVAL)
        self._agent = self._simulation.agents[self._address]
        assert self._agent.flow_count == flows

    def measure(self) -> tuple[float, float]:
        """Return the microseconds per new request and per duplicate."""
        request_times: list[float] = []
        duplicate_times: list[float] = []
        for _ in range(ROUNDS):
            batch = self._build_batch()
            request_times.append(_time_us(batch, self._handle_request))
            duplicate_times.append(_time_us(batch, self._handle_duplicate))
            self._simulation.run(SETTLE_TIME)
        return statistics.median(request_times), statistics.median(
            duplicate_times
        )

    def _build_batch(self) -> list[bytes]:
        step = max(self._flows // BATCH_REQUESTS, 1)
        self._message_id += 1
        return [
            wire.encode(self._build_datagram(number * step % self._flows))
            for number in range(BATCH_REQUESTS)
        ]

    def _build_datagram(self, number: int) -> wire.Forwarded:
        flow = agent_simulation.build_flow_key(number)
        return wire.Forwarded(
            agent_simulation.SERVICE,
            1,
            flow,
            ranking.compute_bucket(agent_simulation.SERVICE, flow.caller),
            (self._address,),
            0,
            0,
            agent_simulation.ENTRY_ADDRESS,
            agent_simulation.build_request(self._message_id),
        )

    def _handle_request(self, data: bytes) -> None:
        for action in self._receive(data):
            if isinstance(action, actions.SendToTarget):
                answer = agent_simulation.build_target_answer(action.payload)
                assert answer is not None
                event = events.TargetDatagram(
                    agent_simulation.TARGET_ADDRESS, answer
                )
                _encode(self._agent.handle(event, self._simulation.now))

    def _handle_duplicate(self, data: bytes) -> None:
        _encode(self._receive(data))

    def _receive(self, data: bytes) -> collections.abc.Sequence[events.Action]:
        message = wire.decode(data, "")
        assert isinstance(message, wire.Message)
        event = events.MessageReceived(agent_simulation.ENTRY_ADDRESS, message)
        return self._agent.handle(event, self._simulation.now)


def _encode(emitted: collections.abc.Sequence[events.Action]) -> None:
    for action in emitted:
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
    """Return the CPU time of a change, storage included, in ms."""
    with tempfile.TemporaryDirectory() as name:
        control_settings = control.build_settings(pathlib.Path(name), "bench")
        start = time.process_time()
        control.apply_changes(control_settings, services, CHANGES)
        return (time.process_time() - start) / CHANGES * 1e3


def measure_answer_us() -> float:
    """Return the time of the simulated target in ``AgentBenchmark``."""
    data = agent_simulation.build_request(1)
    return _time_us([data] * BATCH_REQUESTS, _build_answer)


def _build_answer(data: bytes) -> None:
    agent_simulation.build_target_answer(data)
