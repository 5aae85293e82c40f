"""Simulated target: a small CoAP server that logs each request it runs.

Resources: ``GET /health``; ``GET /policy`` (observable feed);
``GET /bundle`` (block-wise, RFC 7959); any other GET echoes its query; a
POST echoes its payload. Each request that is run appends one line to the run
log, which the demo compares with the report of the callers.
"""

import asyncio
import contextlib
import json
import pathlib
import random
import signal
import sys
import typing

import aiocoap
from aiocoap.numbers import codes
from aiocoap.numbers import optionnumbers
from aiocoap.numbers import types
from aiocoap import optiontypes
import click

from egretfork import clock
from egretfork import coap
from egretfork import model
from egretfork.standins import endpoint

# Requests that run longer are acknowledged at once and answered in a separate
# response (RFC 7252, section 5.2.2).
MAX_PIGGYBACK_DELAY_S = 0.5
BLOCK_SIZE_EXPONENT = 5
BUNDLE_BYTES = 6000
REGISTRATION_LIFETIME_S = 60
# A restarted agent discovers its target at the next refresh.
REGISTRATION_REFRESH_S = 3
REGISTRATION_PATH = (".well-known", "rd")


class Target:
    """A target with a limited number of slots, a feed and a run log."""

    def __init__(
        self,
        name: str,
        service: str,
        slots: int,
        mean_run_s: float,
        feed_interval_s: float,
        run_log: typing.TextIO,
        generator: random.Random,
    ) -> None:
        self.name = name
        self.service = service
        self.state = "ready"
        self._slots = slots
        self._mean_run_s = mean_run_s
        self._feed_interval_s = feed_interval_s
        self._run_log = run_log
        self._generator = generator
        self._running_tasks: dict[
            tuple[model.Endpoint, int], asyncio.Task[None]
        ]
        self._running_tasks = {}
        self._observers: dict[tuple[model.Endpoint, bytes], int] = {}
        self.endpoint = endpoint.CoapEndpoint(generator, self.handle_request)
        self._bundle = bytes(index % 251 for index in range(BUNDLE_BYTES))

    def handle_request(
        self, message: aiocoap.Message, peer: model.Endpoint
    ) -> None:
        """Answer a request, run it in a task or refuse it."""
        path = message.opt.uri_path
        if message.code is codes.GET and path == ("health",):
            self._handle_health_request(message, peer)
            return
        if message.code is codes.GET and path == ("policy",):
            self._handle_feed_request(message, peer)
            return
        if len(self._running_tasks) >= self._slots:
            self._send_refusal(message, peer)
            return
        key = (peer, message.mid)
        task = asyncio.create_task(self._run_request(message, peer))
        self._running_tasks[key] = task
        task.add_done_callback(lambda _: self._running_tasks.pop(key, None))

    def _handle_health_request(
        self, message: aiocoap.Message, peer: model.Endpoint
    ) -> None:
        report = {"state": self.state, "slots_used": len(self._running_tasks)}
        answer = coap.build_response(
            message, codes.CONTENT, json.dumps(report).encode()
        )
        self.endpoint.send(answer, peer)

    def _handle_feed_request(
        self, message: aiocoap.Message, peer: model.Endpoint
    ) -> None:
        answer = coap.build_response(
            message, codes.CONTENT, self._format_feed(0)
        )
        observer = (peer, message.token)
        if message.opt.observe == coap.OBSERVE_REGISTER:
            self._observers[observer] = 1
            answer.opt.observe = 1
        if message.opt.observe == coap.OBSERVE_CANCEL:
            self._observers.pop(observer, None)
        self.endpoint.send(answer, peer)

    def _format_feed(self, sequence: int) -> bytes:
        return f"{self.service} {self.name} {sequence}".encode()

    def _send_refusal(
        self, message: aiocoap.Message, peer: model.Endpoint
    ) -> None:
        answer = coap.build_response(
            message, codes.SERVICE_UNAVAILABLE, b"no free slot", max_age=1
        )
        self.endpoint.send(answer, peer)

    async def _run_request(
        self, message: aiocoap.Message, peer: model.Endpoint
    ) -> None:
        run_s = self._generator.expovariate(1 / self._mean_run_s)
        if run_s > MAX_PIGGYBACK_DELAY_S:
            self.endpoint.send(
                coap.build_empty_message(types.ACK, message.mid), peer
            )
        self._record_run(message)
        await asyncio.sleep(run_s)
        answer = self._build_response(message)
        if run_s > MAX_PIGGYBACK_DELAY_S:
            answer.mtype = types.CON
            answer.mid = self.endpoint.next_message_id()
            await self.endpoint.send_confirmable(answer, peer)
        else:
            self.endpoint.send(answer, peer)

    def _record_run(self, message: aiocoap.Message) -> None:
        option = message.opt.get_option(coap.REQUEST_KEY)
        line = {
            "service": self.service,
            "target": self.name,
            "time_ms": clock.read_wall_clock_ms(),
            "method": message.code.name,
            "key": bytes(option[0].encode()).hex() if option else "",
            "payload": message.payload.decode("utf-8", "replace"),
        }
        print(json.dumps(line), file=self._run_log, flush=True)

    def _build_response(self, message: aiocoap.Message) -> aiocoap.Message:
        if message.code is codes.POST:
            content = f"{self.service} done ".encode() + message.payload
            return coap.build_response(message, codes.CHANGED, content)
        if message.opt.uri_path == ("bundle",):
            return self._build_block(message)
        query = "&".join(message.opt.uri_query)
        content = f"{self.service} {query}".encode()
        return coap.build_response(message, codes.CONTENT, content)

    def _build_block(self, message: aiocoap.Message) -> aiocoap.Message:
        block = message.opt.block2
        number = block.block_number if block is not None else 0
        exponent = BLOCK_SIZE_EXPONENT
        if block is not None:
            exponent = min(block.size_exponent, exponent)
        size = 2 ** (exponent + 4)
        start = number * size
        more = start + size < len(self._bundle)
        answer = coap.build_response(
            message, codes.CONTENT, self._bundle[start : start + size]
        )
        answer.opt.block2 = optiontypes.BlockOption.BlockwiseTuple(
            number, more, exponent
        )
        coap.set_opaque_option(
            answer, optionnumbers.OptionNumber.ETAG, b"\x01"
        )
        return answer

    async def send_notifications(self) -> None:
        """Send a notification to each observer at each interval."""
        while True:
            await asyncio.sleep(self._feed_interval_s)
            for observer in list(self._observers):
                self._notify(*observer)
            self._process_resets()

    def _notify(self, peer: model.Endpoint, token: bytes) -> None:
        sequence = self._observers[(peer, token)] + 1
        self._observers[(peer, token)] = sequence
        notification = aiocoap.Message(
            mtype=types.NON,
            mid=self.endpoint.next_message_id(),
            token=token,
            code=codes.CONTENT,
            payload=self._format_feed(sequence),
            observe=sequence,
        )
        self.endpoint.send(notification, peer)

    def _process_resets(self) -> None:
        # A Reset carries only a message ID. The agent is the only peer, so
        # the Reset cancels the running request with the same message ID.
        for peer, message_id in self.endpoint.resets:
            task = self._running_tasks.get((peer, message_id))
            if task is not None:
                task.cancel()
        self.endpoint.resets.clear()

    async def register(self, agent: model.Endpoint) -> None:
        """Register the target with its agent (RFC 9176) and refresh it."""
        while True:
            message = self.endpoint.build_request(
                codes.POST, REGISTRATION_PATH
            )
            message.opt.uri_query = (
                f"ep={self.name}",
                f"et={self.service}",
                f"lt={REGISTRATION_LIFETIME_S}",
            )
            try:
                await self.endpoint.request(message, agent, 3)
            except (
                endpoint.RequestTimeoutError,
                endpoint.RequestResetError,
            ):
                continue
            await asyncio.sleep(REGISTRATION_REFRESH_S)


async def serve(
    target: Target, address: model.Endpoint, agent: model.Endpoint
) -> None:
    """Serve a target until SIGTERM; SIGUSR1 sets its state to draining."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(
        signal.SIGUSR1, lambda: setattr(target, "state", "draining")
    )
    await target.endpoint.open(address.host, address.port)
    tasks = (
        asyncio.create_task(target.register(agent)),
        asyncio.create_task(target.send_notifications()),
    )
    await stop_requested.wait()
    for task in tasks:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    target.endpoint.close()


@click.command()
@click.option("--name", required=True, help="Name of the target.")
@click.option("--service", required=True, help="Service of the target.")
@click.option(
    "--listen", required=True, help="CoAP listen address, host:port."
)
@click.option(
    "--agent", required=True, help="Address of the agent, host:port."
)
@click.option("--slots", default=2, help="Number of concurrent requests.")
@click.option("--run-ms", default=30.0, help="Mean run time in ms.")
@click.option("--feed-ms", default=500.0, help="Feed interval in ms.")
@click.option(
    "--seed", default=1, help="Random seed for run times and tokens."
)
@click.option(
    "--run-log",
    type=click.Path(path_type=pathlib.Path),
    required=True,
    help="File to which each run is appended.",
)
def main(
    name: str,
    service: str,
    listen: str,
    agent: str,
    slots: int,
    run_ms: float,
    feed_ms: float,
    seed: int,
    run_log: pathlib.Path,
) -> None:
    """Serve a target until SIGTERM."""
    with run_log.open("a", encoding="utf-8") as log:
        target = Target(
            name,
            service,
            slots,
            run_ms / 1000,
            feed_ms / 1000,
            log,
            random.Random(seed),
        )
        asyncio.run(
            serve(
                target,
                model.parse_endpoint(listen),
                model.parse_endpoint(agent),
            )
        )
    sys.exit(0)


if __name__ == "__main__":
    main()
