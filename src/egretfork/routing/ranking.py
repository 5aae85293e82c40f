"""Weighted rendezvous ranking of the targets of one service.

The rank of a target in a bucket depends only on its name, its weight and
the number of the bucket, so that every entry and agent computes the same
list, and a change of one target moves no other target relative to the rest.
"""

import collections.abc
import dataclasses
import math

import xxhash

from egretfork import model

BUCKET_COUNT = 4096
LIST_LENGTH = 4
# An agent chooses between the first two targets that can take a flow, so
# this many places are kept for targets that take new flows.
RESERVED_ACTIVE = 2

ACTIVE_STATES = frozenset((model.TargetState.JOINING, model.TargetState.READY))
USUAL_WEIGHT = 1.0
# The upper 53 bits of a hash are exact in a float; the half keeps the
# logarithm finite.
UNUSED_HASH_BITS = 11
HASH_SCALE = 2.0**-53


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may be on the lists of a service.

    Attributes:
        name: agent name, encoded for hashing.
        address: UDP address of the agent.
        scale: inverse of the weight.
        active: whether the target takes new flows.
    """

    name: bytes
    address: model.Endpoint
    scale: float
    active: bool


def compute_bucket(service: str, caller: model.Endpoint) -> int:
    """Return the bucket of a caller of a service."""
    text = f"{service} {caller.host}:{caller.port}"
    return xxhash.xxh3_64_intdigest(text.encode()) % BUCKET_COUNT


def build_candidate(announcement: model.TargetAnnouncement) -> Candidate:
    """Prepare a target for ranking.

    A target without a usable weight takes no new flows and keeps the rank
    that it has at the usual weight, so that its flows are still found.
    """
    weight = announcement.weight
    weighted = math.isfinite(weight) and weight > 0
    return Candidate(
        name=announcement.agent.encode(),
        address=announcement.address,
        scale=1 / (weight if weighted else USUAL_WEIGHT),
        active=weighted and announcement.state in ACTIVE_STATES,
    )


def rank_candidates(
    candidates: collections.abc.Sequence[Candidate], bucket: int
) -> list[int]:
    """Return the indexes of a bucket's targets, best first.

    Args:
        candidates: targets in order of name, which decides ties.
        bucket: number of the bucket.

    Returns:
        At most ``LIST_LENGTH`` indexes into ``candidates``. The best
        ``RESERVED_ACTIVE`` active targets are always among them; the other
        places go to the best of the rest whatever their state, so that a
        target that starts to drain stays on the lists it was on. Active
        targets are placed before the others.
    """
    digest = xxhash.xxh3_64_intdigest
    distances = [
        -math.log(
            ((digest(candidate.name, bucket) >> UNUSED_HASH_BITS) + 0.5)
            * HASH_SCALE
        )
        * candidate.scale
        for candidate in candidates
    ]
    order = sorted(range(len(candidates)), key=distances.__getitem__)
    active = [index for index in order if candidates[index].active]
    if len(active) == len(order):
        return order[:LIST_LENGTH]
    reserved = active[:RESERVED_ACTIVE]
    rest = [index for index in order if index not in reserved]
    members = {*reserved, *rest[: LIST_LENGTH - len(reserved)]}
    chosen = [index for index in order if index in members]
    return sorted(chosen, key=lambda index: not candidates[index].active)
