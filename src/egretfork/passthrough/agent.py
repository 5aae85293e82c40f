"""Decision logic of an agent for passed-through flows.

The agent is authoritative for its own target: only the agent opens flows
there, and it stops doing so as soon as it acknowledges that the target is
leaving. Response packets are sent directly to the caller. A packet that the
target rejects is returned to the entry that delivered it.
"""

import datetime

import msgspec

from egretfork import metrics
from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import announcer
from egretfork.passthrough import base
from egretfork.passthrough import flowtable
from egretfork.passthrough import knowledge
from egretfork.passthrough import locator
from egretfork.passthrough import messages
from egretfork.passthrough import packets
from egretfork.passthrough import reports
from egretfork.passthrough import returns
from egretfork.passthrough import slots
from egretfork.passthrough import suspicion
from egretfork.passthrough import target
from egretfork.passthrough import waitlist
from egretfork.passthrough import workload
from egretfork import reasons

MILLISECOND = datetime.timedelta(milliseconds=1)


class AgentIdentity(msgspec.Struct, frozen=True):
    """Identity of an agent process.

    Attributes:
        incarnation: start time of the process in ms since the Unix epoch.
    """

    name: str
    availability_zone: str
    incarnation: int


class AgentCore(base.FlowCore):
    """Forwards packets between entries, callers and one target."""

    def __init__(
        self,
        identity: AgentIdentity,
        codec: packets.Codec,
        timing: reports.ReportTiming,
        now: datetime.timedelta,
        service: str = "",
    ) -> None:
        """Create the core.

        Args:
            service: service of the VM's target, empty if it is not known.
            now: start of the process; all packets since then are processed.
        """
        super().__init__(codec, now)
        self._identity = identity
        self._target = target.TargetLease(timing, service, now)
        self._schedule = slots.SlotSchedule()
        self._waitlist = waitlist.Waitlist()
        self.flows = flowtable.FlowTable(
            knowledge.FLOW_IDLE_LIMIT, self._schedule
        )
        self._knowledge = knowledge.FlowKnowledge(timing, now)
        self._locator = locator.FlowLocator(now)
        self._pending_returns = returns.PendingReturns()
        self._workload = workload.Workload(now)
        self._suspicion = suspicion.Suspicion()
        self._announcer = announcer.Announcer(now)
        self._stopping = False

    # Events

    def handle_message(
        self,
        message: messages.Message,
        peer: model.Endpoint,
        now: datetime.timedelta,
    ) -> list[actions.Action]:
        """Process a message of an entry or of another agent."""
        self._begin(now)
        match message:
            case messages.PacketDelivery():
                self._handle_delivery(message, peer)
            case messages.FlowQuery():
                holding = self._check_holding(message.flow, message.services)
                self._send(
                    peer, messages.FlowQueryReply(message.flow, holding)
                )
            case _:
                return self._locator.handle_message(message, peer, now)
        return self._actions

    def handle_target_packet(
        self, data: bytes, now: datetime.timedelta
    ) -> list[actions.Action]:
        """Process a packet that the target sent or returned."""
        self._begin(now)
        packet = self._codec.read_from_target(data)
        if isinstance(packet, reasons.Failure):
            self._count(reasons.Drop.MALFORMED)
        elif packet.returned:
            # The VM returns packets also if no target runs there.
            if self._target.report is not None:
                self._suspicion.record_received()
            self._handle_returned_packet(packet)
        else:
            self._suspicion.record_received()
            self._forward_to_caller(packet)
        self._open_waiting_flows()
        return self._actions

    def handle_report(
        self, report: reports.TargetReport, now: datetime.timedelta
    ) -> list[actions.Action]:
        """Process a report of the target."""
        self._begin(now)
        change = self._target.record_report(report, now)
        self._follow_report(report, change)
        self._announce_change()
        return self._actions

    def _follow_report(
        self, report: reports.TargetReport, change: reports.ReportChange
    ) -> None:
        """Adapt the agent's own state to the effect of a report."""
        if change is reports.ReportChange.REPLACED:
            self._drop_flows("target started", report.identifier)
        if change in (
            reports.ReportChange.FIRST,
            reports.ReportChange.REPLACED,
        ):
            self._suspicion.record_received()
            self._knowledge.record_report(report, self._now)
        if change is not reports.ReportChange.NONE:
            self._log_report(report, change)
        if change not in reports.IGNORED:
            self._schedule.slots = report.slots

    def handle_service(
        self, service: str, now: datetime.timedelta
    ) -> list[actions.Action]:
        """Set the service of the VM's target."""
        self._begin(now)
        self._target.set_service(service, now)
        self._announce_change()
        return self._actions

    def handle_target_deregistration(
        self, identifier: str, now: datetime.timedelta
    ) -> list[actions.Action]:
        """Process the deregistration of a target."""
        self._begin(now)
        if self._target.record_deregistration(identifier, now):
            detail = f"identifier={identifier}"
            self._log_event("target_end", "follow target", "", detail)
        self._announce_change()
        return self._actions

    def handle_tick(self, now: datetime.timedelta) -> list[actions.Action]:
        """Announce the target, probe it if due and expire stale state."""
        self._begin(now)
        self.flows.expire(now)
        self._schedule.expire(now)
        self._workload.update(
            self.flows.open_count + len(self._waitlist),
            self._schedule.running_count,
            now,
        )
        self._open_waiting_flows()
        self._actions += self._locator.handle_tick(now)
        self._knowledge.update(now)
        if self._target.has_exited(now) and len(self.flows):
            self._drop_flows("target ended", "")
        if self._suspicion.is_probe_due(self._target.get_state(now), now):
            self._actions.append(actions.ProbeTarget())
        if self._announcer.is_due(now):
            self._announce()
        self._announce_change()
        return self._actions

    def handle_probe(
        self, listening: bool, now: datetime.timedelta
    ) -> list[actions.Action]:
        """Process the result of a probe of the target's address."""
        self._begin(now)
        if not self._suspicion.record_probe(listening):
            return self._actions
        detail = f"nothing listens, report={self._describe_report()}"
        self._log_event("target_dead", "follow target", "", detail)
        self._target.mark_dead(self._now)
        self._knowledge.record_end()
        self._drop_flows("target dead", "")
        self._announce_change()
        return self._actions

    def handle_stop(self, now: datetime.timedelta) -> list[actions.Action]:
        """Announce to all entries that the agent process is stopping.

        Flows that still wait are returned, so that others open them.
        """
        self._begin(now)
        self._stopping = True
        self._decline_waiting(
            self._waitlist.pop_all(), messages.DeclineReason.LEAVING
        )
        self._announce()
        return self._actions

    def has_target_exited(self, now: datetime.timedelta) -> bool:
        """Return whether the target process has certainly exited."""
        return self._target.has_exited(now)

    def handle_entries(
        self, entries: tuple[model.Endpoint, ...], now: datetime.timedelta
    ) -> list[actions.Action]:
        """Set the entries and announce the target to new ones immediately."""
        self._begin(now)
        if entries != self._announcer.entries:
            self._announce_to(self._announcer.set_entries(entries))
        return self._actions

    def get_state(self, now: datetime.timedelta) -> messages.TargetState:
        """Return the state of the target."""
        return self._target.get_state(now)

    # Packets of callers

    def _handle_delivery(
        self, message: messages.PacketDelivery, entry: model.Endpoint
    ) -> None:
        packet = self._codec.read_from_caller(message.data)
        if isinstance(packet, reasons.Failure):
            self._count(reasons.Drop.MALFORMED)
        elif packet.opens:
            max_wait = (
                self._waitlist.get_max_wait(self._now)
                if message.accept_when_busy
                else message.max_wait_ms * MILLISECOND
            )
            opening = waitlist.WaitingFlow(
                packet, message.service, entry, self._now
            )
            self._handle_opening_packet(opening, max_wait)
        else:
            self._forward_packet(packet, message.service, entry, message.trial)

    def _handle_opening_packet(
        self, opening: waitlist.WaitingFlow, max_wait: datetime.timedelta
    ) -> None:
        """Open a flow, let it wait for a slot, or decline it."""
        packet = opening.packet
        held_flow = self.flows.find(packet.flow)
        if held_flow is not None and self._check_target(opening) is None:
            held_flow.entry = opening.entry
            self._send_to_target(packet, opening.entry)
            return
        if packet.flow in self._waitlist:
            self._waitlist.put(opening)
            self._send(opening.entry, messages.FlowWaiting(packet.flow))
            return
        self._schedule.expire(self._now)
        decline_reason = self._check_target(opening) or self._check_wait(
            max_wait
        )
        if decline_reason is not None:
            self._decline_flow(packet, decline_reason, opening.entry)
        elif len(self._waitlist) or not self._schedule.can_open():
            self._waitlist.put(opening)
            self._send(opening.entry, messages.FlowWaiting(packet.flow))
            self._log("flow_waiting", packet.flow, self._describe_schedule())
        else:
            self._open_flow(opening)

    def _check_target(
        self, opening: waitlist.WaitingFlow
    ) -> messages.DeclineReason | None:
        return self._target.check_new_flow(opening.service, self._now)

    def _check_wait(
        self, max_wait: datetime.timedelta
    ) -> messages.DeclineReason | None:
        """Return a reason to decline a flow that would wait for too long."""
        wait = self._schedule.estimate_wait(len(self._waitlist), self._now)
        if wait <= max_wait and self._waitlist.has_room():
            return None
        return messages.DeclineReason.TARGET_BUSY

    def _open_flow(self, opening: waitlist.WaitingFlow) -> None:
        flow = opening.packet.flow
        self._workload.record_opened(self._now)
        self._schedule.reserve(flow, self._now)
        self.flows.add(
            flow, flowtable.FlowStage.OPENING, opening.entry, self._now
        )
        self._send_to_target(opening.packet, opening.entry)

    def _open_waiting_flows(self) -> None:
        """Open waiting flows, the oldest first, while slots are free."""
        self._decline_waiting(
            self._waitlist.pop_expired(self._now),
            messages.DeclineReason.TARGET_BUSY,
        )
        while self._schedule.can_open():
            opening = self._waitlist.pop_oldest()
            if opening is None:
                return
            decline_reason = self._check_target(opening)
            if decline_reason is None:
                self._open_flow(opening)
            else:
                self._decline_flow(
                    opening.packet, decline_reason, opening.entry
                )

    def _decline_waiting(
        self,
        removed: list[waitlist.WaitingFlow],
        reason: messages.DeclineReason,
    ) -> None:
        for opening in removed:
            self._decline_flow(opening.packet, reason, opening.entry)

    def _forward_packet(
        self,
        packet: packets.Packet,
        service: str,
        entry: model.Endpoint,
        trial: bool,
    ) -> None:
        if self.flows.was_lost_with_target(packet.flow):
            self._reset_caller(packet)
            return
        held_flow = self.flows.find(packet.flow)
        if held_flow is None:
            services = (service,) if service else ()
            holding = self._check_holding(packet.flow, services)
            if holding in (
                messages.Holding.NO,
                messages.Holding.OTHER_SERVICE,
            ):
                self._report_not_held(packet, entry, trial)
                return
            held_flow = self.flows.add(
                packet.flow, flowtable.FlowStage.TENTATIVE, entry, self._now
            )
        held_flow.entry = entry
        self.flows.touch(packet.flow, held_flow, self._now)
        self._track_caller_packet(packet, held_flow)
        self._send_to_target(packet, entry, trial)

    def _track_caller_packet(
        self, packet: packets.Packet, held_flow: flowtable.HeldFlow
    ) -> None:
        if packet.payload_bytes and held_flow.record_payload(packet.sequence):
            self._schedule.start(packet.flow, self._now)
        held_flow.acknowledged = packet.acknowledged
        if packet.finishes:
            held_flow.caller_finished = True
        if packet.resets:
            self._close_flow(packet.flow, held_flow)
        self._close_if_finished(packet.flow, held_flow)

    def _check_holding(
        self, flow: packets.FlowKey, services: tuple[str, ...]
    ) -> messages.Holding:
        held_flow = self.flows.find(flow)
        if (
            held_flow is not None
            and held_flow.stage is not flowtable.FlowStage.TENTATIVE
        ):
            return messages.Holding.YES
        if self._knowledge.is_complete or self.flows.was_lost_with_target(
            flow
        ):
            return messages.Holding.NO
        report = self._target.report
        if report is not None and services and report.service not in services:
            return messages.Holding.OTHER_SERVICE
        return messages.Holding.UNSURE

    def _send_to_target(
        self,
        packet: packets.Packet,
        entry: model.Endpoint,
        trial: bool = False,
    ) -> None:
        pending = returns.PendingReturn(entry, packet.opens, trial)
        tag = self._pending_returns.add(pending)
        self._suspicion.record_sent(self._now)
        data = self._codec.write_tag(packet.data, tag)
        self._actions.append(actions.SendToTarget(data))

    def _decline_flow(
        self,
        packet: packets.Packet,
        reason: messages.DeclineReason,
        entry: model.Endpoint,
    ) -> None:
        self._log("flow_declined", packet.flow, f"reason={reason}")
        self._count(reasons.Retry.TARGET_REFUSED)
        wait = self._schedule.estimate_wait(len(self._waitlist), self._now)
        message = messages.FlowDeclined(
            packet.flow, reason, packet.data, wait // MILLISECOND
        )
        self._send(entry, message)

    def _report_not_held(
        self, packet: packets.Packet, entry: model.Endpoint, trial: bool
    ) -> None:
        self._count(reasons.Drop.UNMATCHED_ANSWER)
        data = b"" if trial else packet.data
        self._send(entry, messages.FlowNotHeld(packet.flow, data))

    def _reset_caller(self, packet: packets.Packet) -> None:
        """Reset a flow whose target has ended."""
        if packet.resets:
            return
        self._log("flow_reset", packet.flow, "the target has ended")
        self._send_reset(packet.flow, packet.acknowledged)

    # Packets of the target

    def _handle_returned_packet(self, packet: packets.Packet) -> None:
        pending = self._pending_returns.pop(packet.tag)
        if pending is None:
            self._count(reasons.Drop.UNMATCHED_ANSWER)
            return
        self._note_lost_flow(packet.flow)
        self.flows.remove(packet.flow)
        original = msgspec.structs.replace(
            packet, data=self._codec.restore_original(packet.data)
        )
        if pending.opens:
            self._decline_flow(
                original, messages.DeclineReason.TARGET_FULL, pending.entry
            )
        else:
            self._log("packet_returned", packet.flow, "not held by target")
            self._report_not_held(original, pending.entry, pending.trial)

    def _note_lost_flow(self, flow: packets.FlowKey) -> None:
        """Follow a later target process if the known one lost a flow."""
        held_flow = self.flows.find(flow)
        if (
            held_flow is None
            or held_flow.stage is not flowtable.FlowStage.OPEN
            or not held_flow.established
        ):
            return
        successor = self._target.record_lost_flow(self._now)
        if successor is not None:
            self._follow_report(successor, reports.ReportChange.REPLACED)
            self._announce_change()

    def _forward_to_caller(self, packet: packets.Packet) -> None:
        held_flow = self.flows.find(packet.flow)
        if held_flow is None:
            held_flow = self._adopt_flow(packet)
        if held_flow is not None:
            self._track_target_packet(packet, held_flow)
            self.flows.touch(packet.flow, held_flow, self._now)
        self._actions.append(actions.SendToCaller(packet.flow, packet.data))

    def _adopt_flow(self, packet: packets.Packet) -> flowtable.HeldFlow | None:
        """Add a flow that was opened before this process started."""
        if packet.resets or packet.finishes:
            return None
        stage = flowtable.FlowStage.TENTATIVE
        entry = model.Endpoint("", 0)
        return self.flows.add(packet.flow, stage, entry, self._now)

    def _track_target_packet(
        self, packet: packets.Packet, held_flow: flowtable.HeldFlow
    ) -> None:
        if packet.resets:
            self._workload.record_reset(self._now)
            self._close_flow(packet.flow, held_flow)
            return
        held_flow.established = held_flow.established or not packet.accepts
        if held_flow.stage in (
            flowtable.FlowStage.TENTATIVE,
            flowtable.FlowStage.OPENING,
        ):
            self._confirm_flow(packet, held_flow)
        if packet.payload_bytes:
            self._finish_request(packet.flow)
        if packet.finishes:
            held_flow.target_finished = True
        self._close_if_finished(packet.flow, held_flow)

    def _finish_request(self, flow: packets.FlowKey) -> None:
        duration = self._schedule.finish(flow, self._now)
        if duration is not None:
            latency = metrics.Latency.FIRST_ANSWER
            self._actions.append(actions.ObserveLatency(latency, duration))

    def _confirm_flow(
        self, packet: packets.Packet, held_flow: flowtable.HeldFlow
    ) -> None:
        if packet.accepts:
            detail = f"report={self._describe_report()}"
            self._log("flow_accepted", packet.flow, detail)
        self.flows.set_stage(packet.flow, held_flow, flowtable.FlowStage.OPEN)
        if held_flow.entry.port:
            self._send(held_flow.entry, messages.FlowOpened(packet.flow))

    def _close_if_finished(
        self, flow: packets.FlowKey, held_flow: flowtable.HeldFlow
    ) -> None:
        if held_flow.caller_finished and held_flow.target_finished:
            self._close_flow(flow, held_flow)

    def _close_flow(
        self, flow: packets.FlowKey, held_flow: flowtable.HeldFlow
    ) -> None:
        self.flows.set_stage(flow, held_flow, flowtable.FlowStage.CLOSED)

    def _drop_flows(self, cause: str, identifier: str) -> None:
        dropped = self.flows.drop_all()
        if not dropped:
            return
        detail = f"{cause} identifier={identifier} flows={len(dropped)}"
        self._log_event("flows_ended", "follow target", "", detail)
        # A reset lets the caller open another flow immediately instead of
        # sending its next request on a dead one.
        for flow, held_flow in dropped.items():
            if held_flow.stage is flowtable.FlowStage.OPEN:
                self._send_reset(flow, held_flow.acknowledged)

    # Announcements

    def _announce_change(self) -> None:
        state = self._target.get_state(self._now)
        target_exited = self._target.has_exited(self._now)
        if self._announcer.has_changed(state, target_exited):
            self._announce()

    def _announce(self) -> None:
        self._announcer.schedule(self._now)
        self._announce_to(self._announcer.entries)

    def _announce_to(self, entries: tuple[model.Endpoint, ...]) -> None:
        self._announcer.record(
            self._target.get_state(self._now),
            self._target.has_exited(self._now),
        )
        announcement = self._build_announcement()
        for entry in entries:
            self._send(entry, announcement)

    def _build_announcement(self) -> messages.Announcement:
        report = self._target.report
        return messages.Announcement(
            agent=self._identity.name,
            availability_zone=self._identity.availability_zone,
            incarnation=self._identity.incarnation,
            sequence=self._announcer.sequence,
            service=report.service if report else "",
            state=self._announcer.state,
            slots=report.slots if report else 1,
            flows=self.flows.open_count,
            running=self._schedule.running_count,
            warmup_ms=report.warmup_ms if report else 0,
            stopping=self._stopping,
            recent_load=round(self._workload.read_recent(self._now), 1),
            period_ms=self._announcer.period // MILLISECOND,
            target_exited=self._announcer.target_exited,
            workload=round(self._workload.compute(self._now), 2),
        )

    # Output

    def _log_report(
        self, report: reports.TargetReport, change: reports.ReportChange
    ) -> None:
        detail = (
            f"change={change} identifier={report.identifier}"
            f" service={report.service} leaving={report.leaving}"
            f" born_ms={report.born_ms} sequence={report.sequence}"
        )
        self._log_event("target_report", "follow target", "", detail)

    def _describe_schedule(self) -> str:
        return (
            f"promised={self._schedule.promised_count}"
            f" slots={self._schedule.slots} waiting={len(self._waitlist)}"
        )

    def _describe_report(self) -> str:
        report = self._target.report
        if report is None:
            return "none"
        return f"{report.identifier}/{report.sequence}"
