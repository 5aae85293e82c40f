"""Routing of service addresses to services."""

import collections.abc
import itertools

import msgspec
import xxhash

from egretfork.passthrough import packets

MAX_PREVIOUS_SERVICES = 8
# Version while nothing is declared, lower than that of any declaration.
NO_VERSION = -1


class Share(msgspec.Struct, frozen=True, array_like=True):
    """Weight of a service among the services of a route."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, array_like=True):
    """Service address and the services that receive its new flows.

    Attributes:
        previous_services: other services that received new flows in earlier
            versions and may still hold some.
    """

    address: packets.ServiceAddress
    shares: tuple[Share, ...]
    previous_services: tuple[str, ...] = ()

    def list_services(self) -> frozenset[str]:
        """Return all services that may hold flows of the route."""
        current = (share.service for share in self.shares)
        return frozenset(itertools.chain(current, self.previous_services))

    def sends_to(self, service: str) -> bool:
        """Return whether a service receives new flows of the route."""
        return any(
            share.service == service and share.weight for share in self.shares
        )


class Routing(msgspec.Struct, frozen=True, array_like=True):
    """All routes of one declaration version."""

    version: int = NO_VERSION
    routes: tuple[Route, ...] = ()


class Declaration(msgspec.Struct, frozen=True, array_like=True):
    """Complete declaration of the operators under their version number.

    Attributes:
        routing: the part of the declaration that forwarding uses.
        document: the original document as the operator submitted it.
    """

    routing: Routing = Routing()
    document: bytes = b""

    @property
    def version(self) -> int:
        """Return the operators' version number or ``NO_VERSION``."""
        return self.routing.version


def carry_over_services(previous: Routing, newest: Routing) -> Routing:
    """Add the services of the previous version to the routes of the newest.

    A route that is new in the newest version gets no previous services.
    """
    known = {route.address: route for route in previous.routes}
    routes = tuple(
        (
            _carry_over_route(known[route.address], route)
            if route.address in known
            else route
        )
        for route in newest.routes
    )
    return Routing(newest.version, routes)


def _carry_over_route(previous: Route, newest: Route) -> Route:
    current = {share.service for share in newest.shares}
    released = [share.service for share in previous.shares]
    previous_services = dict.fromkeys(
        itertools.chain(released, previous.previous_services)
    )
    still_previous = (
        service for service in previous_services if service not in current
    )
    return Route(
        newest.address,
        newest.shares,
        tuple(itertools.islice(still_previous, MAX_PREVIOUS_SERVICES)),
    )


class RouteTable:
    """Routes of one version, indexed by service address."""

    def __init__(self, routing: Routing) -> None:
        self.version = routing.version
        self._routes = {route.address: route for route in routing.routes}

    def find(self, address: packets.ServiceAddress) -> Route | None:
        """Return the route of an address, ``None`` if there is none."""
        return self._routes.get(address)

    def list_services(self) -> frozenset[str]:
        """Return the names of all services that receive new flows."""
        return frozenset(
            share.service
            for route in self._routes.values()
            for share in route.shares
        )


def choose_service(route: Route, flow: packets.FlowKey) -> str:
    """Choose the service of a new flow, the same one on every entry."""
    if len(route.shares) == 1:
        return route.shares[0].service
    bounds = tuple(itertools.accumulate(_list_weights(route)))
    point = hash_flow(flow) % bounds[-1]
    index = next(i for i, bound in enumerate(bounds) if point < bound)
    return route.shares[index].service


def hash_flow(flow: packets.FlowKey) -> int:
    """Return a 64-bit hash of all parts of the key."""
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(flow))


def _list_weights(route: Route) -> collections.abc.Iterator[int]:
    return (share.weight for share in route.shares)
