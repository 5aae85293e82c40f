"""Lookup of services by address and of their target lists by bucket."""

import array
import collections
import collections.abc
import fnmatch
import itertools

from egretfork import model
from egretfork.routing import ranking

Announcements = collections.abc.Iterable[model.TargetAnnouncement]

# Bits per target index, and the array type code that holds
# ``ranking.LIST_LENGTH`` indexes of that size.
LIST_PACKINGS = ((4, "H"), (8, "I"), (16, "Q"))
MAX_TARGETS = 1 << 16


class ServiceTable:
    """Target lists of one service.

    The list of a bucket is computed on first use and stored as a single
    integer that packs the indexes of its targets: 2 bytes per bucket for up
    to 16 targets. The array is allocated on the first lookup. Targets beyond
    ``MAX_TARGETS`` are ignored.
    """

    def __init__(self, service: model.Service, targets: Announcements) -> None:
        self.service = service
        self.targets = tuple(itertools.islice(targets, MAX_TARGETS))
        self._candidates = tuple(map(ranking.build_candidate, self.targets))
        self._addresses = [item.address for item in self._candidates]
        self._length = min(len(self._candidates), ranking.LIST_LENGTH)
        self._bits, self._typecode = choose_packing(len(self._candidates))
        # All bits set marks a list that is not computed yet; no list repeats
        # the highest index in every place.
        self._uncomputed = (1 << self._bits * ranking.LIST_LENGTH) - 1
        self._packed_lists: array.array[int] | None = None

    def find_agents(self, bucket: int) -> tuple[model.Endpoint, ...]:
        """Return the agent addresses of a bucket in order of preference."""
        if self._length == 0:
            return ()
        if self._packed_lists is None:
            self._packed_lists = self._allocate_lists()
        packed = self._packed_lists[bucket]
        if packed == self._uncomputed:
            packed = self._pack_list(bucket)
            self._packed_lists[bucket] = packed
        addresses = self._addresses
        bits = self._bits
        mask = (1 << bits) - 1
        agents = (
            addresses[packed & mask],
            addresses[packed >> bits & mask],
            addresses[packed >> 2 * bits & mask],
            addresses[packed >> 3 * bits & mask],
        )
        return agents[: self._length]

    def _allocate_lists(self) -> "array.array[int]":
        return (
            array.array(self._typecode, [self._uncomputed])
            * ranking.BUCKET_COUNT
        )

    def _pack_list(self, bucket: int) -> int:
        ranked = ranking.rank_candidates(self._candidates, bucket)
        return sum(
            index << place * self._bits for place, index in enumerate(ranked)
        )


def choose_packing(targets: int) -> tuple[int, str]:
    """Return the bits per index and the array type code for the lists."""
    return next(
        (bits, typecode)
        for bits, typecode in LIST_PACKINGS
        if targets <= 1 << bits
    )


class RoutingTable:
    """Services and targets of one configuration and set of announcements.

    The content depends only on the latest configuration and announcements,
    not on the order in which they arrived or on earlier ones. A change
    rebuilds only the tables of the services that it affects.
    """

    def __init__(self) -> None:
        self.configuration = model.Configuration()
        self._targets: dict[str, tuple[model.TargetAnnouncement, ...]] = {}
        self._services: dict[str, ServiceTable] = {}
        self._service_names: dict[model.Endpoint, str] = {}
        self._addresses: dict[model.Endpoint, ServiceTable] = {}

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Apply a configuration."""
        declared = configuration.services
        unchanged = declared == self.configuration.services
        self.configuration = configuration
        if unchanged:
            return
        self._services = {
            service.name: self._build_or_reuse_table(service)
            for service in declared
        }
        self._service_names = map_addresses_to_services(declared)
        self._index_addresses()

    def set_announcements(self, announcements: Announcements) -> None:
        """Replace the known target announcements."""
        previous = self._targets
        self._targets = group_targets(announcements)
        changed = {
            name: self._build_or_reuse_table(table.service)
            for name, table in self._services.items()
            if self._targets.get(name) != previous.get(name)
        }
        if changed:
            self._services.update(changed)
            self._index_addresses()

    def find_service(self, address: model.Endpoint) -> ServiceTable | None:
        """Return the table of the service that owns a service address."""
        return self._addresses.get(address)

    def find_service_by_name(self, name: str) -> ServiceTable | None:
        """Return the table of a declared service."""
        return self._services.get(name)

    def _build_or_reuse_table(self, service: model.Service) -> ServiceTable:
        current = self._services.get(service.name)
        targets = select_targets(service, self._targets.get(service.name, ()))
        if current is None or current.targets != targets:
            return ServiceTable(service, targets)
        current.service = service
        return current

    def _index_addresses(self) -> None:
        self._addresses = {
            address: self._services[name]
            for address, name in self._service_names.items()
        }


def map_addresses_to_services(
    services: collections.abc.Iterable[model.Service],
) -> dict[model.Endpoint, str]:
    """Return the service name of each service address.

    Control rejects a file that assigns one address to two services. If such
    a configuration arrives anyway, the address is mapped to neither.
    """
    names_by_address = collections.defaultdict(set)
    for service in services:
        for address in service.addresses:
            names_by_address[model.parse_endpoint(address)].add(service.name)
    return {
        address: names.pop()
        for address, names in names_by_address.items()
        if len(names) == 1
    }


def group_targets(
    announcements: Announcements,
) -> dict[str, tuple[model.TargetAnnouncement, ...]]:
    """Group the newest announcement of each agent by service.

    An agent serves one service and only one process listens on an address,
    so an announcement is used only if it is the newest of both its agent and
    its address.
    """
    by_agent: dict[str, model.TargetAnnouncement] = {}
    by_address: dict[model.Endpoint, model.TargetAnnouncement] = {}
    for item in announcements:
        by_agent[item.agent] = _choose_newer(by_agent.get(item.agent), item)
        by_address[item.address] = _choose_newer(
            by_address.get(item.address), item
        )
    groups = collections.defaultdict(list)
    for agent in sorted(by_agent):
        item = by_agent[agent]
        if by_address[item.address] is item:
            groups[item.service].append(item)
    return {service: tuple(group) for service, group in groups.items()}


def _choose_newer(
    current: model.TargetAnnouncement | None, item: model.TargetAnnouncement
) -> model.TargetAnnouncement:
    if current is None or _sort_key(item) > _sort_key(current):
        return item
    return current


def _sort_key(
    announcement: model.TargetAnnouncement,
) -> tuple[int, int, str, str, model.Endpoint, str, float]:
    return (
        *announcement.order,
        announcement.agent,
        announcement.service,
        announcement.address,
        announcement.state,
        announcement.weight,
    )


def select_targets(
    service: model.Service, announcements: Announcements
) -> tuple[model.TargetAnnouncement, ...]:
    """Return the announced targets that may serve the service."""
    return tuple(
        announcement
        for announcement in announcements
        if announcement.state is not model.TargetState.LEFT
        and _is_eligible(service, announcement)
    )


def _is_eligible(
    service: model.Service, announcement: model.TargetAnnouncement
) -> bool:
    zones = service.availability_zones
    if zones and announcement.availability_zone not in zones:
        return False
    return any(
        fnmatch.fnmatchcase(announcement.agent, pattern)
        for pattern in service.targets
    )
