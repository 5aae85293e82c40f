"""Tests of flows across several agents, seen by callers and targets."""

import itertools
import unittest

from aiocoap.numbers import codes
from aiocoap.numbers import types

import msgspec

from egretfork.agent import events
from egretfork.bench import flows as bench_flows
from egretfork import coap
from egretfork import model
from egretfork import wire
from tests import flows_support


def build_simulation(
    agents: int = 4, entries: int = 2, **options: object
) -> flows_support.Simulation:
    simulation = flows_support.Simulation(**options)
    for _ in range(entries):
        simulation.add_entry()
    for number in range(agents):
        simulation.add_agent(f"t{number}")
    simulation.run(3)
    simulation.form_record_group()
    simulation.run(2)
    return simulation


class RequestTest(unittest.TestCase):
    def test_requests_are_answered_and_flows_admitted_once(self) -> None:
        # Guards against lost answers and a flow with two owners.
        simulation = build_simulation()
        exchanges = [simulation.add_caller().request() for _ in range(40)]
        simulation.run(3)
        for exchange in exchanges:
            answers = [answer.payload for answer in exchange.answers]
            self.assertEqual(answers, [exchange.payload])
        self.assertEqual(sum(simulation.count_flows().values()), 40)

    def test_duplicates_run_once_and_get_the_same_answer(self) -> None:
        # Guards against a second run of a retransmitted or copied message.
        simulation = build_simulation(duplication=1.0)
        exchanges = [
            simulation.add_caller().request(codes.POST) for _ in range(9)
        ]
        simulation.run(3)
        self.assertEqual(set(simulation.runs.values()), {1})
        for exchange in exchanges:
            self.assertEqual(
                {answer.payload for answer in exchange.answers},
                {exchange.payload},
            )

    def test_late_answers_are_separate_and_match_their_request(self) -> None:
        # Guards against answers that a caller matches to other requests.
        simulation = build_simulation(loss=0.1)
        for node, run_s in zip(
            simulation.nodes.values(), (0.7, 1.9, 0.1, 1.2)
        ):
            node.target.run_s = run_s
        caller = simulation.add_caller()
        exchanges = []
        for _ in range(8):
            exchanges.append(caller.request())
            simulation.run(0.4)
        simulation.run(60)
        for exchange in exchanges:
            self.assertTrue(exchange.answers)
            for answer in exchange.answers:
                self.assertEqual(answer.payload, exchange.payload)
        self.assertIn(
            types.CON, {e.answers[0].mtype for e in exchanges if e.answers}
        )

    def test_a_reset_cancels_the_request_on_the_target(self) -> None:
        # Guards against targets that run requests after their cancellation.
        simulation = build_simulation(agents=1)
        simulation.nodes["t0"].target.run_s = 5.0
        caller = simulation.add_caller()
        exchange = caller.request()
        simulation.run(1)
        reset = coap.build_empty_message(types.RST, exchange.message_id)
        simulation.send_from_caller(caller, coap.encode(reset))
        simulation.run(1)
        self.assertEqual(len(simulation.nodes["t0"].target.cancelled), 1)
        simulation.run(10)
        self.assertEqual(exchange.answers, [])

    def test_another_service_is_never_reached(self) -> None:
        # Guards against serving a Uri-Host or Forwarded of another service.
        simulation = build_simulation()
        exchange = simulation.add_caller().request(uri_host="certdesk")
        simulation.run(1)
        self.assertEqual(exchange.answers[0].code, codes.NOT_FOUND)
        caller = simulation.add_caller()
        node = simulation.nodes["t0"]
        misdirected = wire.Forwarded(
            "certdesk",
            1,
            caller.flow,
            1,
            (node.endpoint,),
            0,
            0,
            simulation.entries[0].endpoint,
            exchange.data,
        )
        peer = simulation.entries[0].endpoint
        simulation.handle(node, events.MessageReceived(peer, misdirected))
        simulation.run(1)
        self.assertEqual(simulation.counts["wrong_service"], 2)
        self.assertEqual(sum(simulation.count_flows().values()), 0)
        self.assertEqual(simulation.foreign_requests, [])


class BoundsTest(unittest.TestCase):
    def test_a_flood_of_new_flows_harms_no_established_flow(self) -> None:
        # Guards against eviction of established flows when the table is full.
        service = flows_support.build_configuration(connections=10)
        simulation = build_simulation(agents=2, configuration=service)
        callers = [simulation.add_caller() for _ in range(10)]
        observations = [caller.observe() for caller in callers]
        simulation.run(2)
        new_requests = [
            simulation.add_caller().request(codes.POST) for _ in range(100)
        ]
        for caller in itertools.islice(simulation.callers.values(), 50):
            simulation.send_from_caller(caller, b"\x4f\x01\x02")
        simulation.run(3)
        self.assertEqual(sum(simulation.count_flows().values()), 20)
        refused = [
            exchange
            for exchange in new_requests
            if exchange.answers
            and exchange.answers[0].code == codes.SERVICE_UNAVAILABLE
        ]
        self.assertGreaterEqual(len(refused), 80)
        for exchange in refused:
            self.assertEqual(simulation.runs[exchange.payload], 0)
        simulation.publish()
        simulation.run(1)
        self.assertEqual(
            {observation.value for observation in observations}, {1}
        )
        repeated = [caller.request() for caller in callers]
        simulation.run(3)
        for exchange in repeated:
            self.assertEqual(exchange.answers[0].payload, exchange.payload)

    def test_a_refused_attempt_never_runs(self) -> None:
        # Guards against a refusal that is sent before it is recorded.
        service = flows_support.build_configuration(connections=1)
        simulation = build_simulation(agents=1, configuration=service)
        simulation.add_caller().request()
        simulation.run(1)
        caller, key = simulation.add_caller(), simulation.make_request_key()
        refused = caller.request(codes.POST, key)
        simulation.run(1)
        self.assertEqual(refused.answers[0].code, codes.SERVICE_UNAVAILABLE)
        (declared,) = simulation.configuration.services
        wider = msgspec.structs.replace(declared, connections=9)
        simulation.configure(
            msgspec.structs.replace(
                simulation.configuration, version=2, services=(wider,)
            )
        )
        repeated = caller.request(codes.POST, key)
        simulation.run(1)
        self.assertEqual(repeated.answers[0].code, codes.SERVICE_UNAVAILABLE)
        self.assertEqual(sum(simulation.runs.values()), 0)

    def test_a_crashed_agent_that_was_removed_is_not_asked(self) -> None:
        # Guards against owner hints that name an agent which was removed.
        simulation = build_simulation(agents=6)
        callers = [simulation.add_caller() for _ in range(40)]
        for caller in callers:
            caller.request()
        simulation.run(1)
        simulation.crash(simulation.nodes["t0"])
        simulation.run(8)
        exchanges = [caller.request() for caller in callers]
        simulation.run(1)
        self.assertTrue(all(exchange.answers for exchange in exchanges))

    def test_a_leaving_agent_passes_new_flows_on(self) -> None:
        # Guards against admission by a leaving agent while its peers do not
        # know yet that it is leaving.
        simulation = build_simulation()
        node = simulation.nodes["t0"]
        simulation.handle(node, events.StopRequested())
        caller = simulation.add_caller()
        exchange = caller.request()
        forwarded = wire.Forwarded(
            flows_support.SERVICE,
            1,
            caller.flow,
            caller.bucket,
            simulation.list_agents(caller),
            3,
            4,
            simulation.entries[0].endpoint,
            exchange.data,
            True,
        )
        peer = simulation.nodes["t1"].endpoint
        simulation.handle(node, events.MessageReceived(peer, forwarded))
        simulation.run(1)
        self.assertEqual(simulation.count_flows()["t0"], 0)
        self.assertEqual(sum(simulation.count_flows().values()), 1)

    def test_tables_stay_bounded_over_hundreds_of_changes(self) -> None:
        # Guards against tables, lists or hints that grow with each change.
        simulation = build_simulation(agents=5)
        observations = [simulation.add_caller().observe() for _ in range(20)]
        simulation.run(2)
        for number in range(200):
            stable = simulation.find_ready_nodes()
            if number % 2 and len(stable) > 3:
                simulation.stop(stable[number % len(stable)])
            elif len(stable) < 6:
                stopped = [n for n in simulation.nodes.values() if not n.alive]
                name = (
                    stopped[0].name if stopped else f"t{len(simulation.nodes)}"
                )
                simulation.add_agent(name)
            simulation.run(0.4)
        simulation.run(10)
        simulation.publish()
        simulation.run(3)
        self.assertEqual(
            {observation.value for observation in observations}, {1}
        )
        self.assertEqual(sum(simulation.count_flows().values()), 20)
        for node in simulation.nodes.values():
            if node.alive:
                sizes = node.core.read_sizes()
                self.assertLessEqual(sizes.hints, 20)
                self.assertEqual(sizes.open_transfers, 0)
                self.assertEqual(sizes.sessions, len(node.target.observers))


class MoveTest(unittest.TestCase):
    def stop_and_check(self, simulation: flows_support.Simulation) -> None:
        observations = [simulation.add_caller().observe() for _ in range(40)]
        simulation.run(2)
        # The successor must continue above the numbers used so far.
        for _ in range(5):
            simulation.publish()
            simulation.run(0.2)
        node = simulation.nodes["t0"]
        self.assertGreater(node.core.flow_count, 0)
        simulation.stop(node)
        simulation.run(2.9)
        self.assertEqual(node.core.flow_count, 0)
        simulation.run(17)
        self.assertFalse(node.alive)
        simulation.publish()
        simulation.run(8)
        # Without loss all further retransmissions arrive; the last one of
        # a notification is due 30 s after the first transmission.
        simulation.loss = 0.0
        simulation.run(24)
        self.assertEqual(
            {observation.value for observation in observations}, {6}
        )

    def test_a_planned_stop_moves_sessions(self) -> None:
        # Guards against sessions that end when their agent stops.
        self.stop_and_check(build_simulation())

    def test_a_planned_stop_moves_sessions_over_lossy_links(self) -> None:
        # Guards against a transfer that fails when one message is lost.
        self.stop_and_check(build_simulation(loss=0.1, duplication=0.1))

    def test_requests_in_progress_outlast_a_stop(self) -> None:
        # Guards against a stop that interrupts requests.
        simulation = build_simulation()
        for node in simulation.nodes.values():
            node.target.run_s = 3.0
        exchanges = [
            simulation.add_caller().request(codes.POST) for _ in range(8)
        ]
        simulation.run(0.5)
        simulation.stop(simulation.nodes["t0"])
        simulation.stop(simulation.nodes["t1"])
        simulation.run(15)
        for exchange in exchanges:
            self.assertEqual(exchange.answers[0].payload, exchange.payload)
            self.assertEqual(simulation.runs[exchange.payload], 1)
        # Acknowledgements of the answers reach the agents that sent them.
        self.assertFalse(simulation.nodes["t0"].alive)
        self.assertFalse(simulation.nodes["t1"].alive)

    def test_requests_during_a_move_are_not_refused(self) -> None:
        # Guards against refusals by an agent whose successor has room.
        simulation = build_simulation()
        callers = [simulation.add_caller() for _ in range(40)]
        for caller in callers:
            caller.request()
        simulation.run(2)
        exchanges = [caller.request() for caller in callers]
        simulation.run(0.002)
        simulation.stop(simulation.nodes["t0"])
        simulation.delay_s = (0.3, 0.4)
        simulation.run(5)
        for exchange in exchanges:
            self.assertEqual(exchange.answers[0].payload, exchange.payload)

    def test_the_successor_answers_duplicates_of_earlier_messages(
        self,
    ) -> None:
        # Guards against a transfer that omits the answers already sent.
        simulation = build_simulation()
        caller = simulation.add_caller()
        exchange = caller.request(codes.POST)
        simulation.run(1)
        owner = next(n for n in simulation.nodes.values() if n.core.flow_count)
        simulation.stop(owner)
        simulation.run(4)
        simulation.send_from_caller(caller, exchange.data)
        simulation.run(2)
        payloads = [answer.payload for answer in exchange.answers]
        self.assertEqual(payloads, [exchange.payload] * 2)
        self.assertEqual(simulation.counts["duplicate"], 1)

    def test_two_owners_of_a_flow_become_one(self) -> None:
        # Guards against a flow that two agents own permanently.
        simulation = build_simulation(agents=6)
        caller = simulation.add_caller()
        observation = caller.observe()
        simulation.run(1)
        owner = next(n for n in simulation.nodes.values() if n.core.flow_count)
        agents = simulation.list_agents(caller)
        other_node = next(
            n for n in simulation.nodes.values() if n.endpoint not in agents
        )
        other = caller.request()
        forwarded = wire.Forwarded(
            flows_support.SERVICE,
            1,
            caller.flow,
            caller.bucket,
            (other_node.endpoint, owner.endpoint),
            0,
            9,
            simulation.entries[0].endpoint,
            other.data,
            True,
        )
        peer = owner.endpoint
        simulation.handle(other_node, events.MessageReceived(peer, forwarded))
        self.assertEqual(sum(simulation.count_flows().values()), 2)
        simulation.run(3)
        self.assertEqual(sum(simulation.count_flows().values()), 1)
        simulation.publish()
        simulation.run(1)
        self.assertEqual(observation.value, 1)

    def test_a_merged_flow_goes_on_above_both_owners(self) -> None:
        # Guards against notifications that the caller discards as outdated.
        simulation = build_simulation()
        caller = simulation.add_caller()
        observation = caller.observe()
        simulation.run(1)
        owner = next(n for n in simulation.nodes.values() if n.core.flow_count)
        ((token, exchange),) = caller.exchanges.items()
        record = wire.FlowRecord(
            caller.flow,
            caller.bucket,
            1,
            "t9",
            (wire.SessionRecord(token, exchange.data, 2051),),
            (),
            (),
            7,
        )
        peer = model.Endpoint("10.0.2.99", 7100)
        simulation.by_endpoint[peer] = owner
        message = wire.FlowTransfer(flows_support.SERVICE, 1, peer, (record,))
        simulation.handle(owner, events.MessageReceived(peer, message))
        simulation.publish()
        simulation.run(1)
        self.assertGreater(observation.sequence, 2051)
        self.assertEqual(observation.value, 1)

    def test_a_drained_target_gets_no_new_work(self) -> None:
        # Guards against new work on a draining target after 3 s.
        simulation = build_simulation()
        callers = [simulation.add_caller() for _ in range(20)]
        for caller in callers:
            caller.request()
        simulation.run(2)
        target = simulation.nodes["t0"].target
        target.state = "draining"
        simulation.run(3)
        before = target.run_count
        exchanges = [caller.request() for caller in callers]
        exchanges += [simulation.add_caller().request() for _ in range(20)]
        simulation.run(3)
        self.assertEqual(target.run_count, before)
        for exchange in exchanges:
            self.assertEqual(exchange.answers[0].payload, exchange.payload)


class EvennessTest(unittest.TestCase):
    def test_open_flows_are_even(self) -> None:
        # Guards against admission that ignores the load of the targets. With
        # a quarter of the flows, twice the relative imbalance is allowed.
        for seed in (1, 2):
            result = bench_flows.measure_evenness(seed, 7, 350, 20.0)
            self.assertLess(result.peak_over_mean, 1.04)

    def test_a_newcomer_is_not_flooded(self) -> None:
        # Guards against a joining agent that gets every flow on whose list
        # it is. Windows of half a lifetime keep random variation below 10%.
        result = bench_flows.measure_join(1, 7, 350, 20.0, 10.0)
        self.assertLess(result.worst, 1.10)


class ListTest(unittest.TestCase):
    def test_flows_follow_the_list_of_their_bucket(self) -> None:
        # Guards against flows that entries no longer reach after many joins.
        simulation = build_simulation(agents=4)
        callers = [simulation.add_caller() for _ in range(40)]
        observations = [caller.observe() for caller in callers]
        simulation.run(2)
        for number in range(4, 12):
            simulation.add_agent(f"t{number}")
            simulation.run(3)
        for caller in callers:
            agents = simulation.list_agents(caller)
            owner = next(
                node
                for node in simulation.nodes.values()
                if node.core.owns(caller.flow)
            )
            self.assertIn(owner.endpoint, agents)
        simulation.publish()
        simulation.run(1)
        self.assertEqual(
            {observation.value for observation in observations}, {1}
        )

    def test_operators_drain_an_agent_and_take_it_back(self) -> None:
        # Guards against a drain by an operator that is not applied or not
        # reverted.
        simulation = build_simulation(agents=3)
        for _ in range(20):
            simulation.add_caller().request()
        simulation.run(2)
        marked = msgspec.structs.replace(
            simulation.configuration, drained_agents=("t2",)
        )
        simulation.configure(marked)
        simulation.run(3)
        self.assertEqual(simulation.count_flows()["t2"], 0)
        self.assertEqual(sum(simulation.count_flows().values()), 20)
        states = flows_support.State
        self.assertIs(simulation.announcements["t2"].state, states.DRAINING)
        simulation.configure(
            msgspec.structs.replace(marked, drained_agents=())
        )
        self.assertIs(simulation.announcements["t2"].state, states.READY)

    def test_a_target_that_is_not_permitted_gives_up_its_flows(self) -> None:
        # Guards against agents that ignore a changed declaration.
        simulation = build_simulation(agents=3)
        for _ in range(20):
            simulation.add_caller().request()
        simulation.run(2)
        patterns = ("t0", "t1")
        changed = flows_support.build_configuration(2, targets=patterns)
        simulation.configure(changed)
        simulation.run(3)
        self.assertEqual(simulation.count_flows()["t2"], 0)
        self.assertEqual(sum(simulation.count_flows().values()), 20)
        self.assertIs(
            simulation.announcements["t2"].state, model.TargetState.DRAINING
        )

    def test_a_fast_feed_does_not_stay_with_a_dead_entry(self) -> None:
        # Guards against notifications that replace each other before the
        # retransmission timeout and are all sent through the latest entry.
        simulation = build_simulation()
        observations = [simulation.add_caller().observe() for _ in range(30)]
        simulation.run(2)
        simulation.entries[0].alive = False
        for _ in range(8):
            simulation.publish()
            simulation.run(0.5)
        self.assertEqual(
            {observation.value for observation in observations}, {8}
        )


if __name__ == "__main__":
    unittest.main()
