"""Replays traces through entries and agents and checks expected bounds.

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

TRACE_FOLDER = pathlib.Path(__file__).resolve().parent / "traces"
TRACE_FORMAT = 1
# Runs that a leaving target gets later than this count as late work.
MAX_LEAVING_S = 3.0
# Runs that a stalled target gets later than this count as stalled work.
STALL_DETECTION_LIMIT_S = 5.0
STALLED_RUN_MS = 10_000_000
SETTLE_TIME_S = 12.0
WARM_UP_TIME_S = 3.0


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
    """An event of a trace."""

    t: int
    do: str
    caller: int = 0
    method: str = "GET"
    run_ms: float = 0
    deadline_ms: int = 0
    id: int = 0
    target: str = ""
    entry: int = 0


class ReplaySimulation(flows_support.Simulation):
    """The simulated system, with counts of requests run by the targets."""

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
        self.stalled_work = 0

    def record_run(self, target: str, message: aiocoap.Message) -> None:
        """Count runs by key, and late runs of leaving and stalled targets."""
        super().record_run(target, message)
        key = message.opt.get_option(coap.REQUEST_KEY)
        if key:
            self.runs_by_key[bytes(key[0].encode())] += 1
        leaving = self.leaving_since.get(target, self.now_s)
        self.late_work += self.now_s - leaving > MAX_LEAVING_S
        stalled = self.stalled_since.get(target, self.now_s)
        self.stalled_work += self.now_s - stalled > STALL_DETECTION_LIMIT_S


class StalledTarget(flows_support.SimTarget):
    """A target that reports ready but answers no request."""

    def find_delay(self, message: aiocoap.Message) -> float:
        """Return a delay longer than any trace, except for health and feed."""
        delay = super().find_delay(message)
        if message.opt.uri_path in (("health",), ("feed",)):
            return delay
        return float(STALLED_RUN_MS)


class Replay:
    """A replay of a trace."""

    def __init__(self, header: Header, steps: list[Step]) -> None:
        self.header = header
        self.steps = steps
        self.simulation = ReplaySimulation(header)
        self.callers: list[flows_support.Caller] = []
        self.observations: list[flows_support.Observation] = []
        self.requests: dict[int, tuple[Step, flows_support.Exchange]] = {}
        self.resends: list[tuple[int, flows_support.Exchange]] = []
        self.keys: dict[int, bytes] = {}

    def run(self) -> dict[str, float]:
        """Replay all steps and return the measures."""
        simulation = self.simulation
        for _ in range(self.header.entries):
            simulation.add_entry()
        for number in range(self.header.targets):
            simulation.add_agent(f"t{number}")
        simulation.run(WARM_UP_TIME_S)
        simulation.form_record_group()
        simulation.run(WARM_UP_TIME_S)
        simulation.loss = self.header.loss
        self.callers = [
            simulation.add_caller() for _ in range(self.header.callers)
        ]
        for step in self.steps:
            simulation.schedule(step.t / 1000, self.apply_step, step)
        simulation.run(self.header.length_ms / 1000)
        flows = self.count_flows_of_stable_targets()
        simulation.loss = 0.0
        simulation.publish()
        simulation.run(SETTLE_TIME_S)
        return self.compute_measures(flows)

    def apply_step(self, step: Step) -> None:
        """Call the method for the type of the step."""
        getattr(self, f"do_{step.do}")(step)

    def do_session(self, step: Step) -> None:
        self.observations.append(self.callers[step.caller].observe())

    def do_request(self, step: Step) -> None:
        key = b""
        if step.method == "POST":
            key = self.keys[step.id] = self.simulation.make_request_key()
        exchange = self.send(step, key)
        self.requests[step.id] = (step, exchange)

    def do_resend(self, step: Step) -> None:
        original, _ = self.requests[step.id]
        repeated = msgspec.structs.replace(original, caller=step.caller)
        exchange = self.send(repeated, self.keys[step.id])
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
        self.simulation.publish()

    def do_drain(self, step: Step) -> None:
        self.simulation.nodes[step.target].target.state = "draining"
        self.simulation.leaving_since[step.target] = self.simulation.now_s
        self.simulation.schedule(2.5, self.simulation.form_record_group)

    def do_join(self, step: Step) -> None:
        self.simulation.add_agent(step.target)

    def do_restart(self, step: Step) -> None:
        self.simulation.stop(self.simulation.nodes[step.target])
        self.simulation.schedule(2.5, self.simulation.form_record_group)
        self.simulation.schedule(3.0, self.restart_when_stopped, step.target)

    def restart_when_stopped(self, name: str) -> None:
        if self.simulation.nodes[name].alive:
            self.simulation.schedule(0.5, self.restart_when_stopped, name)
            return
        self.simulation.add_agent(name)

    def do_crash(self, step: Step) -> None:
        self.simulation.crash(self.simulation.nodes[step.target])
        self.simulation.schedule(9.0, self.simulation.form_record_group)

    def do_stall(self, step: Step) -> None:
        target = self.simulation.nodes[step.target].target
        target.__class__ = StalledTarget
        self.simulation.stalled_since[step.target] = self.simulation.now_s

    def do_entry_down(self, step: Step) -> None:
        self.simulation.entries[step.entry].alive = False

    def do_entry_up(self, step: Step) -> None:
        self.simulation.add_entry()

    def count_flows_of_stable_targets(self) -> list[int]:
        """Return the number of open flows of each stable target.

        Stalled targets are left out.
        """
        names = {node.name for node in self.simulation.find_ready_nodes()}
        names -= set(self.simulation.stalled_since)
        counts = self.simulation.count_flows()
        return [counts[name] for name in names if name in counts]

    def compute_measures(self, flows: list[int]) -> dict[str, float]:
        """Return the measures, computed from responses and runs."""
        exchanges = [exchange for _, exchange in self.requests.values()]
        outcomes = [classify_outcome(exchange) for exchange in exchanges]
        unanswered = sum(1 for item in outcomes if item == "unanswered")
        answered = sum(1 for item in outcomes if item == "answered")
        runs = self.simulation.runs_by_key
        return {
            "requests": len(outcomes),
            "answered_share": answered / max(len(outcomes), 1),
            "refused": sum(1 for item in outcomes if item == "refused"),
            "unknown": sum(1 for item in outcomes if item == "unknown"),
            "unanswered": unanswered,
            "run_twice": sum(1 for count in runs.values() if count > 1),
            "refused_but_run": self.count_refused_but_run(),
            "broken_flows": sum(
                1
                for observation in self.observations
                if self.is_broken(observation)
            ),
            "late_work": self.simulation.late_work,
            "stalled_work": self.simulation.stalled_work,
            "late_refusals": sum(
                1
                for step, item in self.requests.values()
                if is_late_refusal(step, item)
            ),
            "goodput": self.compute_goodput(),
            "imbalance": max(flows) * len(flows) / max(sum(flows), 1),
        }

    def is_broken(self, observation: flows_support.Observation) -> bool:
        return (
            observation.ended
            or observation.value != self.simulation.feed_value
        )

    def count_refused_but_run(self) -> int:
        """Count keys that were run although a caller got a refusal."""
        sent = [(number, item) for number, (_, item) in self.requests.items()]
        refused = {
            self.keys[number]
            for number, exchange in (*sent, *self.resends)
            if number in self.keys and classify_outcome(exchange) == "refused"
        }
        return sum(1 for key in refused if self.simulation.runs_by_key[key])

    def compute_goodput(self) -> float:
        """Return the share of slot time spent on requests answered in time."""
        useful_ms = sum(
            step.run_ms
            for step, exchange in self.requests.values()
            if classify_outcome(exchange) == "answered"
            and exchange.answered_s is not None
            and exchange.answered_s - exchange.started_s
            <= step.deadline_ms / 1000
        )
        slots = self.header.slots * self.header.targets
        return useful_ms / (slots * self.header.length_ms)


def is_late_refusal(step: Step, exchange: flows_support.Exchange) -> bool:
    """Return whether a refusal reached the caller after the deadline."""
    if classify_outcome(exchange) != "refused" or exchange.answered_s is None:
        return False
    waited_s = exchange.answered_s - exchange.started_s
    return waited_s > step.deadline_ms / 1000


def classify_outcome(exchange: flows_support.Exchange) -> str:
    """Classify the first response to a request."""
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
    """Read a trace and validate its schema and format version."""
    lines = path.read_text(encoding="utf-8").splitlines()
    try:
        header = msgspec.json.decode(lines[0], type=Header)
        steps = [msgspec.json.decode(line, type=Step) for line in lines[1:]]
    except (msgspec.MsgspecError, IndexError) as error:
        return reasons.Failure("read trace", str(path), "invalid", str(error))
    if header.format != TRACE_FORMAT:
        return reasons.Failure("read trace", str(path), "unknown format")
    return header, steps


def find_violations(
    measures: dict[str, float], expected: dict[str, float]
) -> list[str]:
    """Return a message for each expected bound that is violated."""
    problems = []
    for bound_name, value in expected.items():
        name, _, kind = bound_name.rpartition("_")
        measured = measures[name]
        met = measured <= value if kind == "max" else measured >= value
        if not met:
            problems.append(
                f"{name} is {measured:.3f}, expected {kind} {value}"
            )
    return problems


def replay(path: pathlib.Path) -> tuple[dict[str, float], list[str]]:
    """Replay a file; return its measures and violated bounds."""
    trace = read_trace(path)
    if isinstance(trace, reasons.Failure):
        return {}, [str(trace)]
    header, steps = trace
    measures = Replay(header, steps).run()
    return measures, find_violations(measures, header.expect)


def main() -> int:
    """Replay the given files, or all, and print a JSON line for each."""
    named = [pathlib.Path(name) for name in sys.argv[1:]]
    failed = 0
    for path in named or sorted(TRACE_FOLDER.glob("*.jsonl")):
        measures, problems = replay(path)
        failed += bool(problems)
        rounded = {name: round(value, 4) for name, value in measures.items()}
        line: dict[str, typing.Any] = {"trace": path.stem, **rounded}
        print(json.dumps(line | {"problems": problems}), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
