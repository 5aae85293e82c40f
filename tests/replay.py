"""Replays traces through entries and agents against stated outcomes.

The format is described in ``tests/traces/README.md``.
"""

import collections
import json
import pathlib
import sys
import typing

import aiocoap
from aiocoap.numbers import codes
import msgspec

from egretfork import coap
from egretfork import reasons
from tests import flows_support

FOLDER = pathlib.Path(__file__).resolve().parent / "traces"
FORMAT = 1
LEAVING_LIMIT_S = 3.0
STALLED_LIMIT_S = 5.0
STALLED_RUN_MS = 10_000_000
SETTLE_S = 12.0
WARM_UP_S = 3.0


class Header(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """First line of a trace."""

    trace: str
    format: int
    deployment: str
    service: str
    targets: int
    slots: int
    entries: int
    callers: int
    delay_ms: tuple[float, float]
    loss: float
    seed: int
    length_ms: int
    expect: dict[str, float]


class Step(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One event of a trace."""

    t: int
    do: str
    caller: int = 0
    method: str = "GET"
    run_ms: float = 0
    deadline_ms: int = 0
    id: int = 0
    target: str = ""
    entry: int = 0


class ReplayWorld(flows_support.Simulation):
    """The in-memory system, with notes of when targets run what."""

    def __init__(self, header: Header) -> None:
        low, high = header.delay_ms
        super().__init__(
            seed=header.seed,
            delay_s=(low / 1000, high / 1000),
            configuration=flows_support.build_configuration(
                slots=header.slots
            ),
        )
        self.runs_by_key: collections.Counter[bytes] = collections.Counter()
        self.leaving_since: dict[str, float] = {}
        self.stalled_since: dict[str, float] = {}
        self.late_work = 0
        self.stalled_runs = 0

    def record_run(self, target: str, message: aiocoap.Message) -> None:
        """Count a run by key, and late runs of leaving targets."""
        super().record_run(target, message)
        key = message.opt.get_option(coap.REQUEST_KEY)
        if key:
            self.runs_by_key[bytes(key[0].encode())] += 1
        leaving = self.leaving_since.get(target, self.now_s)
        self.late_work += self.now_s - leaving > LEAVING_LIMIT_S
        stalled = self.stalled_since.get(target, self.now_s)
        self.stalled_runs += self.now_s - stalled > STALLED_LIMIT_S


class StalledTarget(flows_support.SimTarget):
    """Says that it is ready and answers no request."""

    def find_delay(self, message: aiocoap.Message) -> float:
        """Return a delay longer than any trace for requests."""
        delay = super().find_delay(message)
        if message.opt.uri_path in (("health",), ("feed",)):
            return delay
        return float(STALLED_RUN_MS)


class Replay:
    """One replay of one trace."""

    def __init__(self, header: Header, steps: list[Step]) -> None:
        self.header = header
        self.steps = steps
        self.world = ReplayWorld(header)
        self.callers: list[flows_support.Caller] = []
        self.watches: list[flows_support.Observation] = []
        self.requests: dict[int, tuple[Step, flows_support.Exchange]] = {}
        self.resends: list[tuple[int, flows_support.Exchange]] = []
        self.keys: dict[int, bytes] = {}

    def run(self) -> dict[str, float]:
        """Replay all steps and return the measures."""
        world = self.world
        for _ in range(self.header.entries):
            world.add_entry()
        for number in range(self.header.targets):
            world.add_agent(f"t{number}")
        world.run(WARM_UP_S)
        world.form_record_group()
        world.run(WARM_UP_S)
        world.loss = self.header.loss
        self.callers = [world.add_caller() for _ in range(self.header.callers)]
        for step in self.steps:
            world.schedule(step.t / 1000, self.perform, step)
        world.run(self.header.length_ms / 1000)
        flows = self.count_stable_flows()
        world.loss = 0.0
        world.publish()
        world.run(SETTLE_S)
        return self.measure(flows)

    def perform(self, step: Step) -> None:
        """Carry out one step."""
        getattr(self, f"do_{step.do}")(step)

    def do_session(self, step: Step) -> None:
        self.watches.append(self.callers[step.caller].observe())

    def do_request(self, step: Step) -> None:
        key = b""
        if step.method == "POST":
            key = self.keys[step.id] = self.world.make_request_key()
        exchange = self.send(step, key)
        self.requests[step.id] = (step, exchange)

    def do_resend(self, step: Step) -> None:
        original, _ = self.requests[step.id]
        again = msgspec.structs.replace(original, caller=step.caller)
        exchange = self.send(again, self.keys[step.id])
        self.resends.append((step.id, exchange))

    def send(self, step: Step, key: bytes) -> flows_support.Exchange:
        code = codes.POST if step.method == "POST" else codes.GET
        return self.callers[step.caller].request(
            code,
            key,
            step.deadline_ms,
            uri_query=(f"{flows_support.RUN_QUERY}{step.run_ms}",),
        )

    def do_publish(self, step: Step) -> None:
        self.world.publish()

    def do_drain(self, step: Step) -> None:
        self.world.nodes[step.target].target.state = "draining"
        self.world.leaving_since[step.target] = self.world.now_s
        self.world.schedule(2.5, self.world.form_record_group)

    def do_join(self, step: Step) -> None:
        self.world.add_agent(step.target)

    def do_restart(self, step: Step) -> None:
        self.world.stop(self.world.nodes[step.target])
        self.world.schedule(2.5, self.world.form_record_group)
        self.world.schedule(3.0, self.restart_stopped, step.target)

    def restart_stopped(self, name: str) -> None:
        if self.world.nodes[name].alive:
            self.world.schedule(0.5, self.restart_stopped, name)
            return
        self.world.add_agent(name)

    def do_crash(self, step: Step) -> None:
        self.world.crash(self.world.nodes[step.target])
        self.world.schedule(9.0, self.world.form_record_group)

    def do_stall(self, step: Step) -> None:
        target = self.world.nodes[step.target].target
        target.__class__ = StalledTarget
        self.world.stalled_since[step.target] = self.world.now_s

    def do_entry_down(self, step: Step) -> None:
        self.world.entries[step.entry].alive = False

    def do_entry_up(self, step: Step) -> None:
        self.world.add_entry()

    def count_stable_flows(self) -> list[int]:
        """Return the open flows of the targets that stay."""
        names = {node.name for node in self.world.find_ready_nodes()}
        names -= set(self.world.stalled_since)
        counts = self.world.count_flows()
        return [counts[name] for name in names if name in counts]

    def measure(self, flows: list[int]) -> dict[str, float]:
        """Return the measures, from what callers and targets saw."""
        exchanges = [exchange for _, exchange in self.requests.values()]
        told = [read_outcome(exchange) for exchange in exchanges]
        unanswered = sum(1 for item in told if item == "unanswered")
        answered = sum(1 for item in told if item == "answered")
        runs = self.world.runs_by_key
        return {
            "requests": len(told),
            "answered_share": answered / max(len(told), 1),
            "refused": sum(1 for item in told if item == "refused"),
            "unknown": sum(1 for item in told if item == "unknown"),
            "unanswered": unanswered,
            "run_twice": sum(1 for count in runs.values() if count > 1),
            "refused_but_run": self.count_refused_but_run(),
            "broken_flows": sum(
                1 for watch in self.watches if self.is_broken(watch)
            ),
            "late_work": self.world.late_work,
            "stalled_work": self.world.stalled_runs,
            "late_refusals": sum(
                1
                for step, item in self.requests.values()
                if is_late(step, item)
            ),
            "goodput": self.measure_goodput(),
            "imbalance": max(flows) * len(flows) / max(sum(flows), 1),
        }

    def is_broken(self, watch: flows_support.Observation) -> bool:
        return watch.ended or watch.value != self.world.feed_value

    def count_refused_but_run(self) -> int:
        """Count keys of which some caller heard that they were not run."""
        sent = [(number, item) for number, (_, item) in self.requests.items()]
        refused = {
            self.keys[number]
            for number, exchange in (*sent, *self.resends)
            if number in self.keys and read_outcome(exchange) == "refused"
        }
        return sum(1 for key in refused if self.world.runs_by_key[key])

    def measure_goodput(self) -> float:
        """Return the share of the slots' time with timely answers."""
        useful_ms = sum(
            step.run_ms
            for step, exchange in self.requests.values()
            if read_outcome(exchange) == "answered"
            and exchange.answered_s is not None
            and exchange.answered_s - exchange.started_s
            <= step.deadline_ms / 1000
        )
        slots = self.header.slots * self.header.targets
        return useful_ms / (slots * self.header.length_ms)


def is_late(step: Step, exchange: flows_support.Exchange) -> bool:
    """Tell whether a refusal reached the caller after the deadline."""
    if read_outcome(exchange) != "refused" or exchange.answered_s is None:
        return False
    waited_s = exchange.answered_s - exchange.started_s
    return waited_s > step.deadline_ms / 1000


def read_outcome(exchange: flows_support.Exchange) -> str:
    """Return what the caller was told."""
    if not exchange.answers:
        return "unanswered"
    code = exchange.answers[0].code
    if code.is_successful():
        return "answered"
    if code is codes.SERVICE_UNAVAILABLE:
        return "refused"
    return "unknown" if code is codes.GATEWAY_TIMEOUT else "rejected"


def read_trace(
    path: pathlib.Path,
) -> tuple[Header, list[Step]] | reasons.Failure:
    """Read a trace and check its form."""
    lines = path.read_text(encoding="utf-8").splitlines()
    try:
        header = msgspec.json.decode(lines[0], type=Header)
        steps = [msgspec.json.decode(line, type=Step) for line in lines[1:]]
    except (msgspec.MsgspecError, IndexError) as error:
        return reasons.Failure("read trace", str(path), "invalid", str(error))
    if header.format != FORMAT:
        return reasons.Failure("read trace", str(path), "unknown format")
    return header, steps


def compare(
    measures: dict[str, float], expected: dict[str, float]
) -> list[str]:
    """Return the stated outcomes that were not met."""
    problems = []
    for bound, value in expected.items():
        name, _, kind = bound.rpartition("_")
        seen = measures[name]
        met = seen <= value if kind == "max" else seen >= value
        if not met:
            problems.append(f"{name} is {seen:.3f}, stated {kind} {value}")
    return problems


def replay(path: pathlib.Path) -> tuple[dict[str, float], list[str]]:
    """Replay one file and return its measures and problems."""
    trace = read_trace(path)
    if isinstance(trace, reasons.Failure):
        return {}, [str(trace)]
    header, steps = trace
    measures = Replay(header, steps).run()
    return measures, compare(measures, header.expect)


def main() -> int:
    """Replay the files named, or all, and print one JSON line each."""
    named = [pathlib.Path(name) for name in sys.argv[1:]]
    failed = 0
    for path in named or sorted(FOLDER.glob("*.jsonl")):
        measures, problems = replay(path)
        failed += bool(problems)
        rounded = {name: round(value, 4) for name, value in measures.items()}
        line: dict[str, typing.Any] = {"trace": path.stem, **rounded}
        print(json.dumps(line | {"problems": problems}), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
