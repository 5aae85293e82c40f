"""Routing declarations: which services may take the flows of an address."""

import collections.abc
import itertools

import msgspec
import xxhash

from egretfork.passthrough import packets

MAX_EARLIER_SERVICES = 8


class Share(msgspec.Struct, frozen=True, array_like=True):
    """Part of the new flows of a route that a service takes."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, array_like=True):
    """Service address and the services that take its new flows.

    Attributes:
        earlier: other services that took new flows by earlier versions and
            may still hold some.
    """

    address: packets.ServiceAddress
    shares: tuple[Share, ...]
    earlier: tuple[str, ...] = ()

    def list_services(self) -> frozenset[str]:
        """Return all services that may hold flows of the route."""
        current = (share.service for share in self.shares)
        return frozenset(itertools.chain(current, self.earlier))


class Routing(msgspec.Struct, frozen=True, array_like=True):
    """All routes of one version of the declaration."""

    version: int = 0
    routes: tuple[Route, ...] = ()


class Declaration(msgspec.Struct, frozen=True, array_like=True):
    """What operators declared as a whole under their own version number.

    Attributes:
        routing: the part that forwarding obeys.
        document: the declaration as the operator wrote it.
    """

    routing: Routing = Routing()
    document: bytes = b""

    @property
    def version(self) -> int:
        """Return the operators' number, 0 if nothing is declared."""
        return self.routing.version


def remember_services(before: Routing, newest: Routing) -> Routing:
    """Return a routing that names the services of the one before it.

    A route that the version before did not have starts without any.
    """
    known = {route.address: route for route in before.routes}
    routes = tuple(
        (
            _remember_route(known[route.address], route)
            if route.address in known
            else route
        )
        for route in newest.routes
    )
    return Routing(newest.version, routes)


def _remember_route(before: Route, newest: Route) -> Route:
    current = {share.service for share in newest.shares}
    released = [share.service for share in before.shares]
    earlier = dict.fromkeys(itertools.chain(released, before.earlier))
    kept = (service for service in earlier if service not in current)
    return Route(
        newest.address,
        newest.shares,
        tuple(itertools.islice(kept, MAX_EARLIER_SERVICES)),
    )


class RouteTable:
    """Lookup of routes by service address, for one version."""

    def __init__(self, routing: Routing) -> None:
        self.version = routing.version
        self._routes = {route.address: route for route in routing.routes}

    def find(self, address: packets.ServiceAddress) -> Route | None:
        """Return the route of an address."""
        return self._routes.get(address)

    def list_services(self) -> frozenset[str]:
        """Return the names of all services that a route leads to."""
        return frozenset(
            share.service
            for route in self._routes.values()
            for share in route.shares
        )


def choose_service(route: Route, flow: packets.FlowKey) -> str:
    """Return the service of a new flow, the same on every entry."""
    if len(route.shares) == 1:
        return route.shares[0].service
    bounds = tuple(itertools.accumulate(_list_weights(route)))
    point = hash_flow(flow) % bounds[-1]
    index = next(i for i, bound in enumerate(bounds) if point < bound)
    return route.shares[index].service


def hash_flow(flow: packets.FlowKey) -> int:
    """Return a number of 64 bits that depends on all parts of the key."""
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(flow))


def _list_weights(route: Route) -> collections.abc.Iterator[int]:
    return (share.weight for share in route.shares)
