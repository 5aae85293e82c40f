"""Simulated callers: sessions, reads, keyed POST requests and resends.

Each simulated caller keeps one session open (Observe, RFC 7641), sends GET
requests and non-idempotent POST requests with a request key, sends some of
the POST requests over a second flow as well, and fetches a bundle block by
block (RFC 7959). The responses are counted in a report, one JSON object.
"""

import asyncio
import dataclasses
import json
import pathlib
import random
import time

import aiocoap
from aiocoap.numbers import codes
from aiocoap import optiontypes
import click

from egretfork import clock
from egretfork import coap
from egretfork import model
from egretfork.standins import endpoint
from egretfork.standins import target

DEADLINE_MS = 8000
ANSWER_TIMEOUT_S = 12.0
# A session counts as broken after a longer time without a notification.
SESSION_GAP_LIMIT_S = 4.0
MAX_ATTEMPTS = 5
# Share of the POST requests that are sent over two flows at once.
RESEND_SHARE = 0.2
# Shares of all requests; the rest are GET requests.
POST_SHARE = 0.5
BUNDLE_SHARE = 0.1
LOCAL_HOST = "127.0.0.1"


@dataclasses.dataclass(slots=True)
class Report:
    """Counts of the responses that the callers received.

    ``entries`` maps the key of each POST request to the results of its
    attempts.
    """

    requests: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    unanswered: int = 0
    rejected: int = 0
    wrong_service: int = 0
    wrong_answer: int = 0
    sessions: int = 0
    broken_flows: int = 0
    notifications: int = 0
    unmatched: int = 0
    entries: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    problems: list[str] = dataclasses.field(default_factory=list)


class Caller:
    """A simulated caller of one service."""

    def __init__(
        self,
        number: int,
        service: str,
        address: model.Endpoint,
        report: Report,
        generator: random.Random,
    ) -> None:
        self._number = number
        self._service = service
        self._address = address
        self._report = report
        self._generator = generator
        self._sequence = 0
        self._last_notification: float | None = None
        self._last_observe = 0
        self._endpoint = endpoint.CoapEndpoint(
            generator, on_notification=self._handle_notification
        )

    async def run(self, duration_s: float, interval_s: float) -> None:
        """Open a session and send requests for ``duration_s``."""
        await self._endpoint.open(LOCAL_HOST)
        end_time = time.monotonic() + duration_s
        await asyncio.sleep(self._generator.uniform(0, interval_s))
        session = await self._open_session()
        while time.monotonic() < end_time:
            await asyncio.sleep(self._generator.expovariate(1 / interval_s))
            await self._send_random_request()
        await asyncio.sleep(1)
        if session:
            self._check_session_at_end()
        self._report.unmatched += self._endpoint.unmatched
        self._endpoint.close()

    async def _open_session(self) -> bool:
        for _ in range(MAX_ATTEMPTS):
            message = self._build_request(codes.GET, ("policy",))
            message.opt.observe = coap.OBSERVE_REGISTER
            answer = await self._exchange(self._endpoint, message)
            if answer is not None and answer.opt.observe is not None:
                self._report.sessions += 1
                self._check_notification_gap(answer)
                return True
            await asyncio.sleep(1)
        self._record_problem("session_not_opened")
        return False

    def _handle_notification(
        self, message: aiocoap.Message, peer: model.Endpoint
    ) -> None:
        self._report.notifications += 1
        if not message.code.is_successful():
            self._report.broken_flows += 1
            self._record_problem(f"session_ended {message.code}")
            return
        if not message.payload.startswith(self._service.encode()):
            self._report.wrong_service += 1
        if message.opt.observe is not None:
            if message.opt.observe <= self._last_observe:
                return
            self._last_observe = message.opt.observe
        self._check_notification_gap(message)

    def _check_notification_gap(self, message: aiocoap.Message) -> None:
        now = time.monotonic()
        last = self._last_notification
        if last is not None and now - last > SESSION_GAP_LIMIT_S:
            self._report.broken_flows += 1
            self._record_problem(f"session_gap {now - last:.1f} s")
        self._last_notification = now

    def _check_session_at_end(self) -> None:
        last = self._last_notification
        if last is None or time.monotonic() - last > SESSION_GAP_LIMIT_S:
            self._report.broken_flows += 1
            self._record_problem("session_silent_at_end")

    def _record_problem(self, problem: str) -> None:
        self._report.problems.append(
            f"{self._service} caller {self._number}: {problem}"
        )

    async def _send_random_request(self) -> None:
        choice = self._generator.random()
        if choice < BUNDLE_SHARE:
            await self._fetch_bundle()
        elif choice < BUNDLE_SHARE + POST_SHARE:
            await self._send_post()
        else:
            await self._read()

    def _build_request(
        self, code: codes.Code, path: tuple[str, ...], payload: bytes = b""
    ) -> aiocoap.Message:
        message = self._endpoint.build_request(code, path, payload)
        message.opt.uri_host = self._service
        coap.set_uint_option(message, coap.DEADLINE_MS, DEADLINE_MS)
        return message

    def _next_label(self) -> str:
        self._sequence += 1
        return f"c{self._number}-{self._sequence}"

    async def _read(self) -> None:
        query = self._next_label()
        message = self._build_request(codes.GET, ("item",))
        message.opt.uri_query = (query,)
        answer = await self._exchange(self._endpoint, message)
        self._check_payload(answer, f"{self._service} {query}".encode())

    async def _send_post(self) -> None:
        key = coap.build_request_key(
            clock.read_wall_clock_ms(), self._generator.randbytes(10)
        )
        content = self._next_label().encode()
        if self._generator.random() >= RESEND_SHARE:
            await self._send_attempts(self._endpoint, key, content)
            return
        second_flow = endpoint.CoapEndpoint(self._generator)
        await second_flow.open(LOCAL_HOST)
        await asyncio.gather(
            self._send_attempts(self._endpoint, key, content),
            self._send_attempts(second_flow, key, content),
        )
        second_flow.close()

    async def _send_attempts(
        self, flow: endpoint.CoapEndpoint, key: bytes, content: bytes
    ) -> None:
        for attempt in range(MAX_ATTEMPTS):
            message = self._build_request(codes.POST, ("entries",), content)
            coap.set_opaque_option(message, coap.REQUEST_KEY, key)
            coap.set_uint_option(message, coap.REQUEST_ATTEMPT, attempt)
            answer = await self._exchange(flow, message)
            outcome = _classify_answer(answer)
            self._report.entries.setdefault(key.hex(), []).append(outcome)
            if outcome == "answered":
                self._check_payload(
                    answer, f"{self._service} done ".encode() + content
                )
            if outcome != "refused":
                return
            await asyncio.sleep(0.5)

    async def _fetch_bundle(self) -> None:
        content = b""
        number = 0
        while True:
            message = self._build_request(codes.GET, ("bundle",))
            message.opt.block2 = optiontypes.BlockOption.BlockwiseTuple(
                number, False, target.BLOCK_SIZE_EXPONENT
            )
            answer = await self._exchange(self._endpoint, message)
            if answer is None or not answer.code.is_successful():
                return
            content += answer.payload
            if answer.opt.block2 is None or not answer.opt.block2.more:
                break
            number += 1
        expected = bytes(i % 251 for i in range(target.BUNDLE_BYTES))
        if content != expected:
            self._report.wrong_answer += 1
            self._record_problem("bundle differs")

    def _check_payload(
        self, answer: aiocoap.Message | None, expected: bytes
    ) -> None:
        if answer is None or not answer.code.is_successful():
            return
        if not answer.payload.startswith(self._service.encode()):
            self._report.wrong_service += 1
            self._record_problem(f"wrong service {answer.payload!r}")
        elif answer.payload != expected:
            self._report.wrong_answer += 1
            self._record_problem(
                f"wrong answer {answer.payload!r}, not {expected!r}"
            )

    async def _exchange(
        self, flow: endpoint.CoapEndpoint, message: aiocoap.Message
    ) -> aiocoap.Message | None:
        self._report.requests += 1
        answer: aiocoap.Message | None
        try:
            answer = await flow.request(
                message, self._address, ANSWER_TIMEOUT_S
            )
        except (endpoint.RequestTimeoutError, endpoint.RequestResetError):
            answer = None
        outcome = _classify_answer(answer)
        setattr(self._report, outcome, getattr(self._report, outcome) + 1)
        if answer is None or outcome == "rejected":
            self._record_problem(f"{message.code} {outcome} {answer}")
        return answer


def _classify_answer(answer: aiocoap.Message | None) -> str:
    """Return the name of the ``Report`` field that counts an answer."""
    if answer is None:
        return "unanswered"
    if answer.code.is_successful():
        return "answered"
    if answer.code is codes.SERVICE_UNAVAILABLE:
        return "refused"
    if answer.code is codes.GATEWAY_TIMEOUT:
        return "unknown"
    return "rejected"


async def simulate(
    services: dict[str, model.Endpoint],
    callers: int,
    duration_s: float,
    interval_s: float,
    seed: int,
) -> Report:
    """Run ``callers`` callers for each service and return their report."""
    report = Report()
    generator = random.Random(seed)
    simulated = [
        Caller(
            number, name, address, report, random.Random(generator.random())
        )
        for name, address in services.items()
        for number in range(callers)
    ]
    await asyncio.gather(
        *(caller.run(duration_s, interval_s) for caller in simulated)
    )
    return report


@click.command()
@click.option(
    "--service",
    "services",
    multiple=True,
    required=True,
    help="NAME=HOST:PORT of a service; may be repeated.",
)
@click.option("--callers", default=20, help="Callers for each service.")
@click.option("--duration-s", default=10.0, help="Duration of the load in s.")
@click.option(
    "--interval-ms",
    default=300.0,
    help="Mean time between the requests of a caller.",
)
@click.option("--seed", default=1, help="Random seed.")
@click.option(
    "--report",
    "report_path",
    type=click.Path(path_type=pathlib.Path),
    required=True,
    help="Output file of the report.",
)
def main(
    services: tuple[str, ...],
    callers: int,
    duration_s: float,
    interval_ms: float,
    seed: int,
    report_path: pathlib.Path,
) -> None:
    """Simulate callers and write a report of their responses."""
    addresses = {
        name: model.parse_endpoint(text)
        for name, _, text in (item.partition("=") for item in services)
    }
    report = asyncio.run(
        simulate(addresses, callers, duration_s, interval_ms / 1000, seed)
    )
    report_path.write_text(json.dumps(dataclasses.asdict(report)))


if __name__ == "__main__":
    main()
