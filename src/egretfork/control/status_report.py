"""Status of a control process, as reported to operators."""

import dataclasses

from egretfork.control import api
from egretfork.control import commands
from egretfork.control import nodes
from egretfork.control import raft
from egretfork.control import state

MAX_LISTED_NODES = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Components of a control process that the status is read from."""

    name: str
    status: api.MemberStatus
    detail: str
    consensus: raft.Raft
    state: state.State
    confirmations: nodes.ConfirmationTracker


def read_status(source: Source, number: int) -> api.StatusRead:
    """Return the status as the reply to a query."""
    consensus = source.consensus
    current = source.state
    unconfirmed = source.confirmations.list_unconfirmed(
        current.nodes, current.version
    )
    return api.StatusRead(
        number=number,
        identity=consensus.identity,
        name=source.name,
        status=_choose_status(source),
        detail=source.detail,
        role=consensus.role if consensus.is_voter else "learner",
        term=consensus.term,
        leader=consensus.leader,
        version=current.version,
        record_revision=current.record_revision,
        commit_index=consensus.commit_index,
        last_index=consensus.log.last_index,
        members=consensus.log.members,
        known_nodes=len(current.nodes),
        forgotten_nodes=tuple(sorted(current.forgotten)),
        drained_agents=current.drained,
        quarantine=tuple(
            _read_quarantine(source, item)
            for item in sorted(current.quarantine.values())
        ),
        behind_count=len(unconfirmed),
        behind_nodes=tuple(unconfirmed[:MAX_LISTED_NODES]),
    )


def _choose_status(source: Source) -> api.MemberStatus:
    if source.status is api.MemberStatus.ACTIVE:
        if not source.consensus.verified:
            return api.MemberStatus.UNVERIFIED
    return source.status


def _read_quarantine(
    source: Source, item: commands.QuarantinedAddress
) -> api.QuarantineStatus:
    waiting = source.confirmations.list_unconfirmed(
        source.state.nodes, item.version
    )
    return api.QuarantineStatus(
        item, len(waiting), tuple(waiting[:MAX_LISTED_NODES])
    )
