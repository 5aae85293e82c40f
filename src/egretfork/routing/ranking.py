"""Weighted rendezvous ranking of the targets of one service.

The score of a target in a bucket depends only on its name, its weight and
the bucket number; the lowest score ranks first. Every entry and agent
therefore computes the same list, and a change of one target does not reorder
the others.
"""

import collections.abc
import dataclasses
import math

import xxhash

from egretfork import model

BUCKET_COUNT = 4096
LIST_LENGTH = 4
# An agent chooses between the first two targets that accept a new flow, so
# each list includes at least this many active targets if there are enough.
RESERVED_ACTIVE_PLACES = 2

ACTIVE_STATES = frozenset((model.TargetState.JOINING, model.TargetState.READY))
DEFAULT_WEIGHT = 1.0
# A float represents the upper 53 bits of a hash exactly. Adding 0.5 before
# scaling keeps the argument of the logarithm above zero.
DISCARDED_HASH_BITS = 11
HASH_SCALE = 2.0**-53


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Target of a service with the values that its ranking needs.

    Attributes:
        name: agent name, encoded for hashing.
        address: UDP address of the agent.
        inverse_weight: reciprocal of the weight.
        active: whether the target accepts new flows.
    """

    name: bytes
    address: model.Endpoint
    inverse_weight: float
    active: bool


def compute_bucket(service: str, caller: model.Endpoint) -> int:
    """Return the bucket of a caller of a service."""
    text = f"{service} {caller.host}:{caller.port}"
    return xxhash.xxh3_64_intdigest(text.encode()) % BUCKET_COUNT


def build_candidate(announcement: model.TargetAnnouncement) -> Candidate:
    """Convert an announcement to a candidate.

    A target whose weight is not finite and positive accepts no new flows. It
    is ranked with the default weight, so that its existing flows are found.
    """
    weight = announcement.weight
    has_valid_weight = math.isfinite(weight) and weight > 0
    return Candidate(
        name=announcement.agent.encode(),
        address=announcement.address,
        inverse_weight=1 / (weight if has_valid_weight else DEFAULT_WEIGHT),
        active=has_valid_weight and announcement.state in ACTIVE_STATES,
    )


def rank_candidates(
    candidates: collections.abc.Sequence[Candidate], bucket: int
) -> list[int]:
    """Return the indexes of a bucket's targets in order of preference.

    Args:
        candidates: targets sorted by name; the earlier one wins a tie.
        bucket: bucket number.

    Returns:
        At most ``LIST_LENGTH`` indexes into ``candidates``. They include the
        best ``RESERVED_ACTIVE_PLACES`` active targets. The remaining places
        go to the best of the other targets in any state, so that a target
        that starts to drain stays on its lists. Active targets precede the
        others.
    """
    hash_function = xxhash.xxh3_64_intdigest
    scores = [
        -math.log(
            (
                (hash_function(candidate.name, bucket) >> DISCARDED_HASH_BITS)
                + 0.5
            )
            * HASH_SCALE
        )
        * candidate.inverse_weight
        for candidate in candidates
    ]
    order = sorted(range(len(candidates)), key=scores.__getitem__)
    active = [index for index in order if candidates[index].active]
    if len(active) == len(order):
        return order[:LIST_LENGTH]
    reserved = active[:RESERVED_ACTIVE_PLACES]
    rest = [index for index in order if index not in reserved]
    members = {*reserved, *rest[: LIST_LENGTH - len(reserved)]}
    chosen = [index for index in order if index in members]
    return sorted(chosen, key=lambda index: not candidates[index].active)
