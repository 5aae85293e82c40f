"""Deltas between configurations: compute, apply, compress, split."""

import fnmatch
import zlib

import msgspec
import xxhash

from egretfork.gossip import messages
from egretfork import model
from egretfork import reasons

PIECE_BYTES = 1_024
HISTORY_LENGTH = 16
EMPTY = model.Configuration()

_ENCODER = msgspec.msgpack.Encoder()


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Difference between two configurations.

    A delta from the empty configuration is the whole state.
    """

    base: messages.Order
    order: messages.Order
    checksum: int
    services: tuple[model.Service, ...]
    removed_services: tuple[str, ...]
    groups: tuple[model.RecordGroup, ...]
    removed_groups: tuple[str, ...]
    drained_agents: tuple[str, ...] = ()


_DECODER = msgspec.msgpack.Decoder(Delta)


def get_order(configuration: model.Configuration) -> messages.Order:
    """Return the position of a configuration."""
    return messages.Order(configuration.version, configuration.record_revision)


def normalize(configuration: model.Configuration) -> model.Configuration:
    """Return the configuration with services and groups in order."""
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
    """Return a checksum of the content, without the version.

    A part of a configuration that did not change keeps its checksum.
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
    """Return what concerns one service; all of it if empty."""
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
        # A mark that concerns no target of the service would change the
        # part of every service, and so reach every agent.
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
        base=get_order(old),
        order=get_order(new),
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
    """Apply a delta and check version and checksum of the result."""
    if get_order(old) != delta.base:
        return _fail("base", f"{get_order(old)} is not {delta.base}")
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
            version=delta.order.version,
            services=tuple(services.values()),
            record_groups=tuple(groups.values()),
            record_revision=delta.order.record_revision,
            drained_agents=delta.drained_agents,
        )
    )
    if compute_checksum(result) != delta.checksum:
        return _fail("checksum", f"of the result at {delta.order}")
    return result


def pack(delta: Delta) -> bytes:
    """Encode and compress a delta."""
    return zlib.compress(_ENCODER.encode(delta), 9)


def unpack(data: bytes) -> Delta | reasons.Failure:
    """Decompress and check a delta."""
    try:
        return _DECODER.decode(messages.decompress(data))
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        zlib.error,
        ValueError,
    ) as error:
        return _fail("malformed", str(error))


def split(data: bytes) -> tuple[bytes, ...]:
    """Cut packed bytes into pieces that fit a datagram."""
    return tuple(
        data[start : start + PIECE_BYTES]
        for start in range(0, len(data), PIECE_BYTES)
    )


def make_pieces(
    scope: str, old: model.Configuration, new: model.Configuration
) -> tuple[messages.Piece, ...]:
    """Return the delta between two configurations as messages."""
    delta = compute(select_part(old, scope), select_part(new, scope))
    parts = split(pack(delta))
    return tuple(
        messages.Piece(
            scope=scope,
            base=delta.base,
            order=delta.order,
            checksum=delta.checksum,
            index=index,
            count=len(parts),
            data=data,
        )
        for index, data in enumerate(parts)
    )


def _fail(reason: str, detail: str) -> reasons.Failure:
    return reasons.Failure(
        step="apply configuration delta", peer="", reason=reason, detail=detail
    )
