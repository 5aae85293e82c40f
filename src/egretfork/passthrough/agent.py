"""Decisions of an agent for flows whose content it cannot read.

The agent is the authority on its own target: it alone opens flows there,
and stops at once when it acknowledges that the target leaves. Answers go
to the caller directly; a packet that the target does not take goes back
to the entry that delivered it.
"""

import collections
import datetime

import msgspec

from egretfork import metrics
from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import basis
from egretfork.passthrough import flowtable
from egretfork.passthrough import messages
from egretfork.passthrough import packets
from egretfork.passthrough import recency
from egretfork.passthrough import seeker
from egretfork.passthrough import suspicion
from egretfork.passthrough import target
from egretfork import reasons

ANNOUNCE_PERIOD = datetime.timedelta(milliseconds=200)
# An agent that has run for longer has seen a packet of every flow that its
# target still holds.
FLOW_IDLE_LIMIT = datetime.timedelta(seconds=60)
# Sends of one agent a second that announcements may cost: with more entries
# the period grows.
MAX_ANNOUNCEMENTS_PER_S = 50
MAX_PENDING = 4_096
# A flow that the target breaks off counts as this many opened ones.
BROKEN_OFF_WEIGHT = 4.0
MILLISECOND = datetime.timedelta(milliseconds=1)
MAX_TAG = 0xFFFF_FFFF


class AgentIdentity(msgspec.Struct, frozen=True):
    """Who the agent is.

    Attributes:
        incarnation: start of the process in ms since the Unix epoch.
    """

    name: str
    availability_zone: str
    incarnation: int


class _PendingReturn(msgspec.Struct, frozen=True):
    """A delivered packet that the target may still return."""

    entry: model.Endpoint
    opens: bool
    trial: bool


class AgentCore(basis.FlowCore):
    """Forwards packets between entries, callers and one target."""

    def __init__(
        self,
        identity: AgentIdentity,
        codec: packets.Codec,
        lease: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        super().__init__(codec, now)
        self._identity = identity
        self._target = target.TargetLease(lease)
        self.flows = flowtable.FlowTable(FLOW_IDLE_LIMIT)
        self._started_at = now
        self._knows_all_flows = False
        self._entries: tuple[model.Endpoint, ...] = ()
        self._seeker = seeker.Seeker(now)
        self._pending: collections.OrderedDict[int, _PendingReturn] = (
            collections.OrderedDict()
        )
        self._next_tag = 1
        self._recent = recency.FadingCount(now)
        self._suspicion = suspicion.Suspicion()
        self._sequence = 0
        self._announce_at = now
        self._announced = messages.TargetState.UNKNOWN
        self._announced_vacant = False
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
            case messages.Deliver():
                self._deliver(message, peer)
            case messages.Find():
                holding = self._check_holding(message.flow, message.services)
                self._send(peer, messages.Found(message.flow, holding))
            case _:
                return self._seeker.handle_message(message, peer, now)
        return self._actions

    def handle_target_packet(
        self, data: bytes, now: datetime.timedelta
    ) -> list[actions.Action]:
        """Process a packet that the target sent or returned."""
        self._begin(now)
        self._suspicion.note_heard()
        packet = self._codec.read_from_target(data)
        if isinstance(packet, reasons.Failure):
            self._count(reasons.Drop.MALFORMED)
        elif packet.returned:
            self._take_back(packet)
        else:
            self._pass_answer(packet)
        return self._actions

    def handle_report(
        self, report: target.Report, now: datetime.timedelta
    ) -> list[actions.Action]:
        """Process a report of the target."""
        self._begin(now)
        change = self._target.note_report(report, now)
        if change is target.Change.REPLACED:
            self._end_flows("target started", report.identifier)
        if change in (target.Change.FIRST, target.Change.REPLACED):
            self._suspicion.note_heard()
            # A target that has only just begun to report holds no flow
            # that this agent has not seen.
            fresh = report.sequence <= 1
            self._knows_all_flows = self._knows_all_flows or fresh
        if change is not target.Change.NONE:
            self._log_report(report, change)
        self._announce_change()
        return self._actions

    def handle_target_end(
        self, identifier: str, now: datetime.timedelta
    ) -> list[actions.Action]:
        """Process the end of a target that has signed off."""
        self._begin(now)
        if self._target.note_end(identifier, now):
            detail = f"identifier={identifier}"
            self._log_event("target_end", "follow target", "", detail)
        self._announce_change()
        return self._actions

    def handle_tick(self, now: datetime.timedelta) -> list[actions.Action]:
        """Announce the target and expire what is no longer needed."""
        self._begin(now)
        self.flows.expire(now)
        self._actions += self._seeker.handle_tick(now)
        if now - self._started_at >= FLOW_IDLE_LIMIT:
            self._knows_all_flows = True
        if self._target.has_ended(now) and len(self.flows):
            self._end_flows("target ended", "")
        if self._suspicion.is_probe_due(self._target.read_state(now), now):
            self._actions.append(actions.ProbeTarget())
        if now >= self._announce_at:
            self._announce()
        self._announce_change()
        return self._actions

    def handle_probe(
        self, listening: bool, now: datetime.timedelta
    ) -> list[actions.Action]:
        """Process whether anything listens at the target's address."""
        self._begin(now)
        if not self._suspicion.note_probe(listening):
            return self._actions
        detail = f"nothing listens, report={self._describe_report()}"
        self._log_event("target_dead", "follow target", "", detail)
        self._target.note_death()
        self._knows_all_flows = True
        self._end_flows("target dead", "")
        self._announce_change()
        return self._actions

    def handle_stop(self, now: datetime.timedelta) -> list[actions.Action]:
        """Tell all entries that the process ends."""
        self._begin(now)
        self._stopping = True
        self._announce()
        return self._actions

    def is_vacant(self, now: datetime.timedelta) -> bool:
        """Return whether the target has surely ended."""
        return self._target.has_ended(now)

    def handle_entries(
        self, entries: tuple[model.Endpoint, ...], now: datetime.timedelta
    ) -> list[actions.Action]:
        """Take the entries; announce the target to new ones at once."""
        self._begin(now)
        if entries == self._entries:
            return self._actions
        added = set(entries) - set(self._entries)
        self._entries = entries
        self._announce_to(tuple(sorted(added)))
        return self._actions

    def read_state(self, now: datetime.timedelta) -> messages.TargetState:
        """Return the state of the target."""
        return self._target.read_state(now)

    # Packets of callers

    def _deliver(
        self, message: messages.Deliver, entry: model.Endpoint
    ) -> None:
        packet = self._codec.read_from_caller(message.data)
        if isinstance(packet, reasons.Failure):
            self._count(reasons.Drop.MALFORMED)
        elif packet.opens:
            insist = message.insist
            self._open(packet, message.service, entry, insist=insist)
        else:
            self._continue(packet, message.service, entry, message.trial)

    def _is_busy(self) -> bool:
        """Return whether another request would have to wait."""
        report = self._target.report
        slots = report.slots if report is not None else 1
        return self.flows.running_count >= slots

    def _open(
        self,
        packet: packets.Packet,
        service: str,
        entry: model.Endpoint,
        *,
        insist: bool,
    ) -> None:
        refusal = self._target.check_opening(service, self._now)
        held = self.flows.find(packet.flow)
        if refusal is None and held is None and not insist and self._is_busy():
            refusal = messages.DeclineReason.TARGET_BUSY
        if refusal is not None:
            self._decline(packet, refusal, entry)
            return
        if held is None:
            self._recent.add(1, self._now)
            held = self.flows.add(
                packet.flow, flowtable.Stage.OPENING, entry, self._now
            )
        held.entry = entry
        self._send_to_target(packet, entry)

    def _continue(
        self,
        packet: packets.Packet,
        service: str,
        entry: model.Endpoint,
        trial: bool,
    ) -> None:
        if self.flows.has_ended(packet.flow):
            self._reset(packet)
            return
        held = self.flows.find(packet.flow)
        if held is None:
            services = (service,) if service else ()
            holding = self._check_holding(packet.flow, services)
            if holding is messages.Holding.NO:
                self._refuse_packet(packet, entry, trial)
                return
            held = self.flows.add(
                packet.flow, flowtable.Stage.TRIED, entry, self._now
            )
        held.entry = entry
        self.flows.touch(packet.flow, held, self._now)
        self._note_from_caller(packet, held)
        self._send_to_target(packet, entry, trial)

    def _note_from_caller(
        self, packet: packets.Packet, held: flowtable.HeldFlow
    ) -> None:
        if packet.payload_bytes and held.running_since is None:
            self.flows.set_running(held, self._now)
        held.acknowledged = packet.acknowledged
        if packet.finishes:
            held.caller_finished = True
        if packet.resets:
            self.flows.set_stage(held, flowtable.Stage.CLOSED)
        self._close_if_finished(held)

    def _check_holding(
        self, flow: packets.FlowKey, services: tuple[str, ...]
    ) -> messages.Holding:
        held = self.flows.find(flow)
        if held is not None and held.stage is not flowtable.Stage.TRIED:
            return messages.Holding.YES
        if self._knows_all_flows or self.flows.has_ended(flow):
            return messages.Holding.NO
        report = self._target.report
        if report is not None and services and report.service not in services:
            return messages.Holding.NO
        return messages.Holding.UNSURE

    def _send_to_target(
        self,
        packet: packets.Packet,
        entry: model.Endpoint,
        trial: bool = False,
    ) -> None:
        tag = self._next_tag
        self._next_tag = tag % MAX_TAG + 1
        self._suspicion.note_sent(self._now)
        self._pending[tag] = _PendingReturn(entry, packet.opens, trial)
        if len(self._pending) > MAX_PENDING:
            self._pending.popitem(last=False)
        data = self._codec.write_tag(packet.data, tag)
        self._actions.append(actions.SendToTarget(data))

    def _decline(
        self,
        packet: packets.Packet,
        reason: messages.DeclineReason,
        entry: model.Endpoint,
    ) -> None:
        self._log("flow_declined", packet.flow, f"reason={reason}")
        self._count(reasons.Retry.TARGET_REFUSED)
        self._send(entry, messages.Declined(packet.flow, reason, packet.data))

    def _refuse_packet(
        self, packet: packets.Packet, entry: model.Endpoint, trial: bool
    ) -> None:
        self._count(reasons.Drop.UNMATCHED_ANSWER)
        data = b"" if trial else packet.data
        self._send(entry, messages.NotHeld(packet.flow, data))

    def _reset(self, packet: packets.Packet) -> None:
        """Tell a caller that the target of its flow has ended."""
        if packet.resets:
            return
        self._log("flow_reset", packet.flow, "the target has ended")
        self._send_reset(packet.flow, packet.acknowledged)

    # Packets of the target

    def _take_back(self, packet: packets.Packet) -> None:
        pending = self._pending.pop(packet.tag, None)
        if pending is None:
            self._count(reasons.Drop.UNMATCHED_ANSWER)
            return
        self.flows.remove(packet.flow)
        original = msgspec.structs.replace(
            packet, data=self._codec.restore(packet.data)
        )
        if pending.opens:
            self._decline(
                original, messages.DeclineReason.TARGET_FULL, pending.entry
            )
        else:
            self._log("packet_returned", packet.flow, "not held by target")
            self._refuse_packet(original, pending.entry, pending.trial)

    def _pass_answer(self, packet: packets.Packet) -> None:
        held = self.flows.find(packet.flow)
        if held is None:
            held = self._learn(packet)
        if held is not None:
            self._note_from_target(packet, held)
            self.flows.touch(packet.flow, held, self._now)
        self._actions.append(actions.SendToCaller(packet.flow, packet.data))

    def _learn(self, packet: packets.Packet) -> flowtable.HeldFlow | None:
        """Take a flow that began before this process did."""
        if packet.resets or packet.finishes:
            return None
        stage = flowtable.Stage.TRIED
        entry = model.Endpoint("", 0)
        return self.flows.add(packet.flow, stage, entry, self._now)

    def _note_from_target(
        self, packet: packets.Packet, held: flowtable.HeldFlow
    ) -> None:
        if packet.resets:
            self._recent.add(BROKEN_OFF_WEIGHT, self._now)
            self.flows.set_stage(held, flowtable.Stage.CLOSED)
            return
        held.established = held.established or not packet.accepts
        if held.stage in (flowtable.Stage.TRIED, flowtable.Stage.OPENING):
            self._confirm(packet, held)
        if packet.payload_bytes and held.running_since is not None:
            self._actions.append(
                actions.ObserveLatency(
                    metrics.Latency.FIRST_ANSWER,
                    self._now - held.running_since,
                )
            )
            self.flows.set_running(held, None)
        if packet.finishes:
            held.target_finished = True
        self._close_if_finished(held)

    def _confirm(
        self, packet: packets.Packet, held: flowtable.HeldFlow
    ) -> None:
        if packet.accepts:
            detail = f"report={self._describe_report()}"
            self._log("flow_accepted", packet.flow, detail)
        self.flows.set_stage(held, flowtable.Stage.OPEN)
        if held.entry.port:
            self._send(held.entry, messages.Opened(packet.flow))

    def _close_if_finished(self, held: flowtable.HeldFlow) -> None:
        if held.caller_finished and held.target_finished:
            self.flows.set_stage(held, flowtable.Stage.CLOSED)

    def _end_flows(self, cause: str, identifier: str) -> None:
        ended = self.flows.end_all()
        if not ended:
            return
        detail = f"{cause} identifier={identifier} flows={len(ended)}"
        self._log_event("flows_ended", "follow target", "", detail)
        # Callers open other flows at once, instead of sending their next
        # request on one that nobody answers.
        for flow, held in ended.items():
            if held.stage is flowtable.Stage.OPEN:
                self._send_reset(flow, held.acknowledged)

    # Announcements

    def _announce_change(self) -> None:
        state = self._target.read_state(self._now)
        vacant = self._target.has_ended(self._now)
        if (state, vacant) != (self._announced, self._announced_vacant):
            self._announce()

    def _announce(self) -> None:
        self._announce_at = self._now + self._compute_period()
        self._announce_to(self._entries)

    def _announce_to(self, entries: tuple[model.Endpoint, ...]) -> None:
        self._announced = self._target.read_state(self._now)
        self._announced_vacant = self._target.has_ended(self._now)
        self._sequence += 1
        announcement = self._build_announcement()
        for entry in entries:
            self._send(entry, announcement)

    def _compute_period(self) -> datetime.timedelta:
        floor = len(self._entries) / MAX_ANNOUNCEMENTS_PER_S
        return max(ANNOUNCE_PERIOD, datetime.timedelta(seconds=floor))

    def _build_announcement(self) -> messages.Announcement:
        report = self._target.report
        return messages.Announcement(
            agent=self._identity.name,
            availability_zone=self._identity.availability_zone,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            service=report.service if report else "",
            state=self._announced,
            slots=report.slots if report else 1,
            flows=self.flows.open_count,
            running=self.flows.running_count,
            warmup_ms=report.warmup_ms if report else 0,
            stopping=self._stopping,
            recent=round(self._recent.read(self._now), 1),
            period_ms=self._compute_period() // MILLISECOND,
            vacant=self._announced_vacant,
        )

    # Output

    def _log_report(
        self, report: target.Report, change: target.Change
    ) -> None:
        detail = (
            f"change={change} identifier={report.identifier}"
            f" service={report.service} leaving={report.leaving}"
            f" born_ms={report.born_ms} sequence={report.sequence}"
        )
        self._log_event("target_report", "follow target", "", detail)

    def _describe_report(self) -> str:
        report = self._target.report
        if report is None:
            return "none"
        return f"{report.identifier}/{report.sequence}"
