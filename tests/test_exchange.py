"""Tests of the CoAP exchange between the agent and its target."""

import datetime
import random
import unittest

import aiocoap
from aiocoap.numbers import codes
from aiocoap.numbers import types

from egretfork import actions
from egretfork.agent import events
from egretfork.agent import status as status_module
from egretfork.agent import target
from egretfork import coap
from egretfork import model
from egretfork import wire

TARGET = model.Endpoint("127.0.0.1", 5683)
KIND = wire.WorkResultKind


def to_time(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)


class TargetInterfaceTest(unittest.TestCase):
    def setUp(self) -> None:
        status = status_module.AgentStatus(
            identity=model.AgentIdentity("t0", 1),
            address=model.Endpoint("127.0.0.1", 7100),
            service_name="hatlog",
        )
        self.interface = target.TargetInterface(
            status, TARGET, random.Random(1)
        )
        self.now = 0.0
        self.sent: list[aiocoap.Message] = []
        self.signals: list[events.Signal] = []

    def collect(self, signals: list[events.Signal]) -> list[aiocoap.Message]:
        """Store the other signals; return the messages sent to the target."""
        sent = []
        for signal in signals:
            if isinstance(signal, actions.SendToTarget):
                message = coap.decode(signal.payload, "agent")
                assert isinstance(message, aiocoap.Message)
                sent.append(message)
            else:
                self.signals.append(signal)
        return sent

    def start(self, run_id: int, deadline_s: float = 30) -> aiocoap.Message:
        request = aiocoap.Message(
            mtype=types.CON,
            mid=7,
            code=codes.POST,
            token=b"caller",
            uri_path=("run",),
            payload=str(run_id).encode(),
        )
        event = events.StartRun(
            run_id, coap.encode(request), to_time(deadline_s)
        )
        (sent,) = self.collect(
            self.interface.start_run(event, to_time(self.now))
        )
        return sent

    def advance(self, seconds: float) -> list[aiocoap.Message]:
        sent = []
        for _ in range(round(seconds / 0.02)):
            self.now += 0.02
            sent += self.collect(self.interface.advance(to_time(self.now)))
        return [item for item in sent if item.opt.uri_path != ("health",)]

    def receive(
        self, message: aiocoap.Message, source: model.Endpoint = TARGET
    ) -> list[aiocoap.Message]:
        datagram = events.TargetDatagram(source, coap.encode(message))
        return self.collect(
            self.interface.receive(datagram, to_time(self.now))
        )

    def list_ended_runs(self) -> list[tuple[int, KIND, str]]:
        return [
            (item.run_id, item.kind, item.reason)
            for item in self.signals
            if isinstance(item, events.RunEnded)
        ]

    def test_deadline_is_forwarded_and_enforced(self) -> None:
        # A target without the deadline continues work whose caller has
        # stopped waiting.
        sent = self.start(1, deadline_s=2)
        info = coap.read_request_info(sent, "agent")
        assert isinstance(info, coap.RequestInfo)
        self.assertEqual(info.deadline, to_time(2))
        self.receive(coap.build_empty_message(types.ACK, sent.mid))
        later = self.advance(2.1)
        self.assertEqual([item.mtype for item in later], [types.RST])
        self.assertEqual(later[0].mid, sent.mid)
        unknown = (1, KIND.UNKNOWN, "deadline_while_running")
        self.assertEqual(self.list_ended_runs(), [unknown])

    def test_missing_acknowledgement_makes_outcome_unknown(self) -> None:
        # A retransmission with a new message ID would be run a second time.
        sent = self.start(1, deadline_s=300)
        later = self.advance(20)
        self.assertEqual({item.mid for item in later}, {sent.mid})
        self.assertEqual(len(later), 4)
        unknown = (1, KIND.UNKNOWN, "target_timeout")
        self.assertEqual(self.list_ended_runs(), [unknown])

    def test_responses_out_of_order_match_their_runs(self) -> None:
        # Separate responses have their own message IDs and arrive in any
        # order, so only the token identifies the run.
        first, second = self.start(1), self.start(2)
        for sent in (first, second):
            self.receive(coap.build_empty_message(types.ACK, sent.mid))
        for sent in (second, first):
            answer = coap.build_response(sent, codes.CHANGED, sent.payload)
            answer.mtype = types.CON
            answer.mid = 900 + int(sent.payload)
            (ack,) = self.receive(answer)
            self.assertEqual((ack.mtype, ack.mid), (types.ACK, answer.mid))
        ends = [
            (item.run_id, coap.decode(item.payload, "t").payload)
            for item in self.signals
            if isinstance(item, events.RunEnded)
        ]
        self.assertEqual(ends, [(2, b"2"), (1, b"1")])

    def test_response_after_cancellation_is_reset(self) -> None:
        # A response to a cancelled run must not end a later run.
        sent = self.start(1)
        self.collect(
            self.interface.cancel_run(events.CancelRun(1), to_time(1))
        )
        answer = coap.build_response(sent, codes.CHANGED)
        answer.mtype = types.CON
        (reset,) = self.receive(answer)
        self.assertEqual(reset.mtype, types.RST)
        self.assertEqual(len(self.list_ended_runs()), 1)

    def test_refusal_codes_are_reported_as_refusals(self) -> None:
        # A refusal taken for an answer is not retried; an answer taken for a
        # refusal makes the request run twice.
        for run_id, code in (
            (1, codes.SERVICE_UNAVAILABLE),
            (2, codes.TOO_MANY_REQUESTS),
            (3, codes.NOT_FOUND),
        ):
            sent = self.start(run_id)
            self.receive(coap.build_response(sent, code))
        self.assertEqual(
            [kind for _, kind, _ in self.list_ended_runs()],
            [KIND.REFUSED, KIND.REFUSED, KIND.ANSWERED],
        )

    def test_probes_report_health_and_timeout(self) -> None:
        # A target that stops responding must not stay healthy on the basis
        # of its last response.
        (probe,) = self.collect(self.interface.advance(to_time(0)))
        answer = coap.build_response(
            probe,
            codes.CONTENT,
            b'{"state": "draining", "slots_used": 2}',
        )
        self.receive(answer)
        self.advance(2.2)
        reports = [
            item
            for item in self.signals
            if isinstance(item, events.TargetReport)
        ]
        draining = events.TargetReport(True, True, False, 2)
        silent = events.TargetReport(False, False, False, None)
        self.assertEqual(reports, [draining, silent])

    def register(
        self, *query: str, code: codes.Code = codes.POST, mid: int = 1
    ) -> aiocoap.Message:
        path = ("rd", "1") if code is codes.DELETE else (".well-known", "rd")
        request = aiocoap.Message(
            mtype=types.CON,
            mid=mid,
            code=code,
            token=b"r",
            uri_path=path,
            uri_query=query,
        )
        (answer,) = self.receive(request)
        return answer

    def test_registration_refusal_removal_and_expiry(self) -> None:
        # A registration for another service must be refused, and one that is
        # not refreshed must expire.
        wrong = self.register("ep=t0", "et=certdesk")
        self.assertEqual(wrong.code, codes.BAD_REQUEST)
        created = self.register("ep=t0", "et=hatlog", "lt=60", mid=2)
        self.assertEqual(created.code, codes.CREATED)
        self.assertEqual(created.opt.location_path, ("rd", "1"))
        again = self.register("ep=t0", "et=hatlog", "lt=60", mid=2)
        self.assertEqual(again.code, codes.CREATED)
        deleted = self.register(code=codes.DELETE, mid=3)
        self.assertEqual(deleted.code, codes.DELETED)
        self.register("ep=t0", "et=hatlog", "lt=5", mid=4)
        self.advance(5.1)
        changes = [
            item.registered
            for item in self.signals
            if isinstance(item, events.RegistrationChanged)
        ]
        self.assertEqual(changes, [True, False, True, False])


if __name__ == "__main__":
    unittest.main()
