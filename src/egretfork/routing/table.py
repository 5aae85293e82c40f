"""Lookup of services by address and of target lists by bucket."""

import array
import collections
import collections.abc
import fnmatch
import itertools

from egretfork import model
from egretfork.routing import ranking

Announcements = collections.abc.Iterable[model.TargetAnnouncement]

# Bits of an index and array type of a list of ``ranking.LIST_LENGTH``.
LIST_LAYOUTS = ((4, "H"), (8, "I"), (16, "Q"))
MAX_TARGETS = 1 << 16


class ServiceTable:
    """Target lists of one service.

    The list of a bucket is computed when it is first needed and kept as
    one number that holds the indexes of its targets, 2 bytes a bucket for
    up to 16 targets. Memory is allocated when the first list is needed.
    Targets beyond ``MAX_TARGETS`` are left out.
    """

    def __init__(self, service: model.Service, targets: Announcements) -> None:
        self.service = service
        self.targets = tuple(itertools.islice(targets, MAX_TARGETS))
        self._candidates = tuple(map(ranking.build_candidate, self.targets))
        self._addresses = [item.address for item in self._candidates]
        self._length = min(len(self._candidates), ranking.LIST_LENGTH)
        self._bits, self._typecode = choose_layout(len(self._candidates))
        # No list holds the highest index at all of its places.
        self._absent = (1 << self._bits * ranking.LIST_LENGTH) - 1
        self._lists: array.array[int] | None = None

    def find_agents(self, bucket: int) -> tuple[model.Endpoint, ...]:
        """Return the agent addresses of a bucket, best first."""
        if self._length == 0:
            return ()
        if self._lists is None:
            self._lists = self._allocate_lists()
        packed = self._lists[bucket]
        if packed == self._absent:
            packed = self._pack_list(bucket)
            self._lists[bucket] = packed
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
            array.array(self._typecode, [self._absent]) * ranking.BUCKET_COUNT
        )

    def _pack_list(self, bucket: int) -> int:
        ranked = ranking.rank_candidates(self._candidates, bucket)
        return sum(
            index << place * self._bits for place, index in enumerate(ranked)
        )


def choose_layout(targets: int) -> tuple[int, str]:
    """Return the bits of an index and the array type of a list."""
    return next(
        (bits, typecode)
        for bits, typecode in LIST_LAYOUTS
        if targets <= 1 << bits
    )


class RoutingTable:
    """Services and targets of one configuration and set of announcements.

    The content depends only on the latest configuration and announcements
    given, not on their order or on earlier ones. A change recomputes only
    the services that it concerns.
    """

    def __init__(self) -> None:
        self.configuration = model.Configuration()
        self._targets: dict[str, tuple[model.TargetAnnouncement, ...]] = {}
        self._services: dict[str, ServiceTable] = {}
        self._owners: dict[model.Endpoint, str] = {}
        self._addresses: dict[model.Endpoint, ServiceTable] = {}

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Put a configuration in force."""
        declared = configuration.services
        unchanged = declared == self.configuration.services
        self.configuration = configuration
        if unchanged:
            return
        self._services = {
            service.name: self._renew_service(service) for service in declared
        }
        self._owners = find_owners(declared)
        self._index_addresses()

    def set_announcements(self, announcements: Announcements) -> None:
        """Replace what is known about targets."""
        earlier = self._targets
        self._targets = group_targets(announcements)
        changed = {
            name: self._renew_service(table.service)
            for name, table in self._services.items()
            if self._targets.get(name) != earlier.get(name)
        }
        if changed:
            self._services.update(changed)
            self._index_addresses()

    def find_service(self, address: model.Endpoint) -> ServiceTable | None:
        """Return the service of a service address."""
        return self._addresses.get(address)

    def find_service_by_name(self, name: str) -> ServiceTable | None:
        """Return a declared service."""
        return self._services.get(name)

    def _renew_service(self, service: model.Service) -> ServiceTable:
        present = self._services.get(service.name)
        targets = select_targets(service, self._targets.get(service.name, ()))
        if present is None or present.targets != targets:
            return ServiceTable(service, targets)
        present.service = service
        return present

    def _index_addresses(self) -> None:
        self._addresses = {
            address: self._services[name]
            for address, name in self._owners.items()
        }


def find_owners(
    services: collections.abc.Iterable[model.Service],
) -> dict[model.Endpoint, str]:
    """Return the name of the service of each service address.

    Control refuses a file that gives one address to two services; if one
    arrives nevertheless, neither service gets the address.
    """
    claims = collections.defaultdict(set)
    for service in services:
        for address in service.addresses:
            claims[model.parse_endpoint(address)].add(service.name)
    return {
        address: names.pop()
        for address, names in claims.items()
        if len(names) == 1
    }


def group_targets(
    announcements: Announcements,
) -> dict[str, tuple[model.TargetAnnouncement, ...]]:
    """Return the newest announcement of each agent by service.

    An agent serves one service, and one process listens on an address, so
    only the newest announcement of an agent and of an address counts.
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
    present: model.TargetAnnouncement | None, item: model.TargetAnnouncement
) -> model.TargetAnnouncement:
    if present is None or _sort_key(item) > _sort_key(present):
        return item
    return present


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
    """Return the announced targets that the service admits."""
    return tuple(
        announcement
        for announcement in announcements
        if announcement.state is not model.TargetState.LEFT
        and _admits(service, announcement)
    )


def _admits(
    service: model.Service, announcement: model.TargetAnnouncement
) -> bool:
    zones = service.availability_zones
    if zones and announcement.availability_zone not in zones:
        return False
    return any(
        fnmatch.fnmatchcase(announcement.agent, pattern)
        for pattern in service.targets
    )
