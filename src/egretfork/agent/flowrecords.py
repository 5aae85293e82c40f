"""Conversion between flows and the records that transfer them."""

import datetime

from egretfork.agent import flows
from egretfork.agent import sessions
from egretfork import model
from egretfork import wire

MILLISECOND = datetime.timedelta(milliseconds=1)


def build_record(flow: flows.Flow, now: datetime.timedelta) -> wire.FlowRecord:
    """Build the record with which another agent continues the flow."""
    return wire.FlowRecord(
        flow=flow.key,
        bucket=flow.bucket,
        admitted_incarnation=flow.stamp.incarnation,
        admitted_agent=flow.stamp.agent,
        sessions=tuple(
            wire.SessionRecord(item.token, item.request, item.sequence)
            for item in (flow.sessions or {}).values()
        ),
        exchanges=tuple(
            wire.ExchangeRecord(
                message_id,
                item.answer,
                (now - item.received_at) // MILLISECOND,
            )
            for message_id, item in (flow.exchanges or {}).items()
        ),
        entries=flow.entries,
        next_message_id=flow.next_message_id,
    )


def build_flow(
    record: wire.FlowRecord, sender: model.Endpoint, now: datetime.timedelta
) -> flows.Flow:
    """Build a flow without sessions from the record of its old owner."""
    step = sessions.TRANSFER_MESSAGE_ID_STEP
    next_message_id = (record.next_message_id + step) % flows.MESSAGE_ID_COUNT
    flow = flows.Flow(
        key=record.flow,
        bucket=record.bucket,
        stamp=flows.AdmissionStamp(
            record.admitted_incarnation, record.admitted_agent
        ),
        next_message_id=next_message_id,
        last_used=now,
        entries=record.entries[: flows.MAX_ENTRIES_PER_FLOW],
        previous_owner=sender,
    )
    merge_exchanges(flow, record, sender, now)
    return flow


def merge_exchanges(
    flow: flows.Flow,
    record: wire.FlowRecord,
    sender: model.Endpoint,
    now: datetime.timedelta,
) -> None:
    """Add the exchanges of a record to a flow.

    A request without an answer is still in progress at the sender;
    duplicates of it are forwarded there.
    """
    exchanges = dict(flow.exchanges or {})
    for item in record.exchanges[-flows.MAX_EXCHANGES_PER_FLOW :]:
        known = exchanges.get(item.message_id)
        if known is not None and (
            known.answer or known.previous_owner is None
        ):
            continue
        received_at = now - max(item.age_ms, 0) * MILLISECOND
        previous_owner = None if item.answer else sender
        exchanges[item.message_id] = flows.Exchange(
            item.answer, received_at, previous_owner
        )
    ordered = sorted(exchanges.items(), key=lambda item: item[1].received_at)
    flow.exchanges = dict(ordered) or None
    flow.exchange_bytes = sum(len(item.answer) for _, item in ordered)
    flows.drop_old_exchanges(flow, now)


def merge_counters(flow: flows.Flow, record: wire.FlowRecord) -> None:
    """Advance the counters of a flow beyond those of another owner.

    Both owners may have sent notifications. The caller discards one with a
    lower sequence number or a repeated message ID as outdated.
    """
    half = flows.MESSAGE_ID_COUNT // 2
    ahead = (record.next_message_id - flow.next_message_id) % (2 * half)
    if ahead < half:
        step = sessions.TRANSFER_MESSAGE_ID_STEP
        flow.next_message_id = (record.next_message_id + step) % (2 * half)
    for item in record.sessions:
        session = flow.find_session(item.token)
        if session is None:
            continue
        half_sequences = sessions.SEQUENCE_COUNT // 2
        ahead = (item.observe_sequence - session.sequence) % (
            sessions.SEQUENCE_COUNT
        )
        if ahead < half_sequences:
            session.sequence = (
                item.observe_sequence + sessions.TRANSFER_SEQUENCE_STEP
            ) % sessions.SEQUENCE_COUNT


def build_late_answer_record(
    key: wire.FlowKey, message_id: int, answer: bytes
) -> wire.FlowRecord:
    """Build a record that sends a single answer to the new owner.

    The record has no admission stamp and therefore never creates a flow.
    """
    return wire.FlowRecord(
        flow=key,
        bucket=0,
        admitted_incarnation=0,
        admitted_agent="",
        sessions=(),
        exchanges=(wire.ExchangeRecord(message_id, answer, 0),),
        entries=(),
        next_message_id=0,
    )
