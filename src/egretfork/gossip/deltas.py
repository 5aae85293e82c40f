"""Computes, applies, compresses and splits configuration deltas."""

import fnmatch
import zlib

import msgspec
import xxhash

from egretfork import decoding
from egretfork.gossip import messages
from egretfork import model
from egretfork import reasons

PIECE_BYTES = 1_024
HISTORY_LENGTH = 16
EMPTY = model.Configuration()

_ENCODER = msgspec.msgpack.Encoder()


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Difference between two configurations.

    A delta from the empty configuration holds the full configuration.
    """

    base: messages.ConfigurationRevision
    revision: messages.ConfigurationRevision
    checksum: int
    services: tuple[model.Service, ...]
    removed_services: tuple[str, ...]
    groups: tuple[model.RecordGroup, ...]
    removed_groups: tuple[str, ...]
    drained_agents: tuple[str, ...] = ()


_DECODER = msgspec.msgpack.Decoder(Delta)


def get_revision(
    configuration: model.Configuration,
) -> messages.ConfigurationRevision:
    """Return the revision of a configuration."""
    return messages.ConfigurationRevision(
        configuration.version, configuration.record_revision
    )


def normalize(configuration: model.Configuration) -> model.Configuration:
    """Return the configuration with sorted top-level collections."""
    return model.Configuration(
        version=configuration.version,
        services=tuple(
            sorted(configuration.services, key=lambda item: item.name)
        ),
        record_groups=tuple(
            sorted(configuration.record_groups, key=lambda item: item.service)
        ),
        record_revision=configuration.record_revision,
        drained_agents=tuple(sorted(configuration.drained_agents)),
    )


def compute_checksum(configuration: model.Configuration) -> int:
    """Return a checksum of the content without the revision.

    The checksum of a service's part therefore changes only with its content.
    """
    content = (
        configuration.services,
        configuration.record_groups,
        configuration.drained_agents,
    )
    return xxhash.xxh3_64_intdigest(_ENCODER.encode(content))


def select_part(
    configuration: model.Configuration, service: str
) -> model.Configuration:
    """Return the part of one service, or everything if none is named."""
    if not service:
        return configuration
    services = tuple(
        item for item in configuration.services if item.name == service
    )
    patterns = [pattern for item in services for pattern in item.targets]
    return model.Configuration(
        version=configuration.version,
        services=services,
        record_groups=tuple(
            item
            for item in configuration.record_groups
            if item.service == service
        ),
        record_revision=configuration.record_revision,
        # Drained agents of other services are left out; otherwise each drain
        # would change the part of every service and be sent to every agent.
        drained_agents=tuple(
            agent
            for agent in configuration.drained_agents
            if any(fnmatch.fnmatchcase(agent, item) for item in patterns)
        ),
    )


def compute(old: model.Configuration, new: model.Configuration) -> Delta:
    """Return the delta from ``old`` to ``new``, both normalized."""
    old_services = {item.name: item for item in old.services}
    new_services = {item.name: item for item in new.services}
    old_groups = {item.service: item for item in old.record_groups}
    new_groups = {item.service: item for item in new.record_groups}
    return Delta(
        base=get_revision(old),
        revision=get_revision(new),
        checksum=compute_checksum(new),
        services=tuple(
            item
            for item in new.services
            if old_services.get(item.name) != item
        ),
        removed_services=tuple(
            name for name in old_services if name not in new_services
        ),
        groups=tuple(
            item
            for item in new.record_groups
            if old_groups.get(item.service) != item
        ),
        removed_groups=tuple(
            name for name in old_groups if name not in new_groups
        ),
        drained_agents=new.drained_agents,
    )


def apply(
    old: model.Configuration, delta: Delta
) -> model.Configuration | reasons.Failure:
    """Apply a delta after checking its base; check the result's checksum."""
    if get_revision(old) != delta.base:
        return _make_failure(
            "base",
            f"{get_revision(old)} is not the base {delta.base} of the delta",
        )
    services = {item.name: item for item in old.services}
    groups = {item.service: item for item in old.record_groups}
    for name in delta.removed_services:
        services.pop(name, None)
    for name in delta.removed_groups:
        groups.pop(name, None)
    services.update((item.name, item) for item in delta.services)
    groups.update((item.service, item) for item in delta.groups)
    result = normalize(
        model.Configuration(
            version=delta.revision.version,
            services=tuple(services.values()),
            record_groups=tuple(groups.values()),
            record_revision=delta.revision.record_revision,
            drained_agents=delta.drained_agents,
        )
    )
    if compute_checksum(result) != delta.checksum:
        return _make_failure(
            "checksum", f"checksum of the result at {delta.revision} differs"
        )
    return result


def pack(delta: Delta) -> bytes:
    """Encode and compress a delta."""
    return zlib.compress(_ENCODER.encode(delta), 9)


def unpack(data: bytes) -> Delta | reasons.Failure:
    """Decompress and decode a delta."""
    try:
        return _DECODER.decode(messages.decompress(data))
    except (*decoding.UNREADABLE, zlib.error, ValueError) as error:
        return _make_failure("malformed", str(error))


def split(data: bytes) -> tuple[bytes, ...]:
    """Split packed bytes into pieces that fit one datagram."""
    return tuple(
        data[start : start + PIECE_BYTES]
        for start in range(0, len(data), PIECE_BYTES)
    )


def make_pieces(
    scope: str, old: model.Configuration, new: model.Configuration
) -> tuple[messages.Piece, ...]:
    """Return the delta between two configurations as piece messages."""
    delta = compute(select_part(old, scope), select_part(new, scope))
    parts = split(pack(delta))
    return tuple(
        messages.Piece(
            scope=scope,
            base=delta.base,
            revision=delta.revision,
            checksum=delta.checksum,
            index=index,
            count=len(parts),
            data=data,
        )
        for index, data in enumerate(parts)
    )


def _make_failure(reason: str, detail: str) -> reasons.Failure:
    return reasons.Failure(
        step="apply configuration delta", peer="", reason=reason, detail=detail
    )
