"""Memory of a run record and of a waiting request."""

import datetime
import random
import tracemalloc
import typing

from egretfork.agent import engine as engine_module
from egretfork.agent import events
from egretfork.agent import recordtable
from egretfork import model
from egretfork import wire

PAYLOAD_BYTES = 100
DEADLINE_MS = 300_000
ADDRESS = model.Endpoint("10.0.0.1", 7000)
IDENTITY = model.AgentIdentity("agent-1", 1_700_000_000_000)


def _measure_bytes_per_item(
    count: int, build: typing.Callable[[int], object]
) -> float:
    """Return the allocated bytes per item."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    retained = build(count)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return (after - before) / count


def build_record_table(count: int) -> recordtable.RecordTable:
    """Build a table of records that were decoded from messages."""
    generator = random.Random("records")
    table = recordtable.RecordTable()
    for number in range(count):
        record = wire.RunRecord(
            key=generator.randbytes(16),
            attempt=0,
            state=wire.RecordState.GRANTED,
            executor=IDENTITY,
            executor_address=ADDRESS,
        )
        message = wire.RecordReplicate(
            "hatlog", 1, IDENTITY, number, ADDRESS, record
        )
        received = wire.decode(wire.encode(message), "bench")
        if isinstance(received, wire.RecordReplicate):
            table.write(received.record, number)
    return table


def build_engine_with_waiting(count: int) -> engine_module.RequestEngine:
    """Build an engine with one occupied slot and ``count`` requests queued."""
    engine = engine_module.RequestEngine(
        "hatlog", IDENTITY, ADDRESS, random.Random("waiting"), 0
    )
    service = model.Service(
        name="hatlog",
        addresses=("192.0.2.1:5683",),
        targets=("*",),
        slots=1,
        queue=100_000,
    )
    now = datetime.timedelta()
    engine.handle(
        events.ConfigurationChanged(
            model.Configuration(version=1, services=(service,))
        ),
        now,
    )
    generator = random.Random("payloads")
    for number in range(count + 1):
        body = wire.RequestBody(
            request_id=number,
            origin=ADDRESS,
            idempotent=True,
            key=b"",
            attempt=0,
            deadline_ms=DEADLINE_MS,
            payload=generator.randbytes(PAYLOAD_BYTES),
        )
        engine.handle(events.SubmitRequest(body), now)
    return engine


def measure_memory(counts: typing.Sequence[int]) -> list[dict[str, float]]:
    """Return bytes per run record and waiting request at each count."""
    return [
        {
            "count": count,
            "bytes_per_run_record": round(
                _measure_bytes_per_item(count, build_record_table), 1
            ),
            "bytes_per_waiting_request": round(
                _measure_bytes_per_item(count, build_engine_with_waiting), 1
            ),
        }
        for count in counts
    ]
