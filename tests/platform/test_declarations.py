"""Configurations of operators: what is valid, and what it means."""

import json
import typing
import unittest

import hypothesis
from hypothesis import strategies

from tests import platform  # noqa: F401  (adds the adapter to the path)

from egretfork_platform import declarations

from egretfork.passthrough import packets
from egretfork.passthrough import routing
from egretfork import reasons


def build_route(**changes: typing.Any) -> dict[str, typing.Any]:
    """Return a route as an operator writes it; ``None`` leaves a part out."""
    route = {
        "name": "r-1",
        "host": "198.18.0.1",
        "pathPrefix": "/8443/",
        "kind": "safe",
        "timeoutMs": 1200,
        "targetLatencyMs": 173,
        "priority": 2,
        "service": "mail",
        "maxAttempts": 2,
    } | changes
    return {key: part for key, part in route.items() if part is not None}


def read(
    *routes: dict[str, typing.Any], version: object = 7
) -> routing.Declaration | reasons.Failure:
    """Read a configuration with the services mail and feed."""
    content = {
        "version": version,
        "routes": list(routes),
        "services": [{"name": "mail"}, {"name": "feed"}],
        "limits": {"idleTimeoutMs": 15000},
    }
    return declarations.read(json.dumps(content).encode())


class ValidTest(unittest.TestCase):
    """Guards against valid configurations that are misread."""

    def test_route(self) -> None:
        declared = read(build_route())
        assert isinstance(declared, routing.Declaration)
        address = packets.ServiceAddress(0xC6120001, 8443)
        shares = (routing.Share("mail", 1),)
        self.assertEqual(
            declared.routing,
            routing.Routing(7, (routing.Route(address, shares),)),
        )

    def test_split(self) -> None:
        split = [
            {"service": "mail", "weight": 90},
            {"service": "feed", "weight": 10},
        ]
        declared = read(build_route(service=None, trafficSplit=split))
        assert isinstance(declared, routing.Declaration)
        self.assertEqual(
            declared.routing.routes[0].shares,
            (routing.Share("mail", 90), routing.Share("feed", 10)),
        )

    def test_the_document_is_kept_as_written(self) -> None:
        body = b'{ "version": 3, "routes": [], "services": [], "x": 1 }'
        declared = declarations.read(body)
        assert isinstance(declared, routing.Declaration)
        self.assertEqual(declared.document, body)


class InvalidTest(unittest.TestCase):
    """Guards against invalid configurations that are accepted."""

    def test_routes(self) -> None:
        none = [{"service": "mail", "weight": 0}]
        bad = [{"service": "mail"}]
        for name, route in (
            ("unknown service", build_route(service="other")),
            ("no timeout", build_route(timeoutMs=0)),
            ("timeout left out", build_route(timeoutMs=None)),
            ("timeout is text", build_route(timeoutMs="1")),
            ("no service", build_route(service=None)),
            ("no weight", build_route(service=None, trafficSplit=none)),
            ("weight left out", build_route(service=None, trafficSplit=bad)),
            ("host is a name", build_route(host="mail.example")),
            ("prefix is no port", build_route(pathPrefix="/mail/")),
        ):
            with self.subTest(name):
                self.assertIsInstance(read(route), reasons.Failure)

    def test_two_routes_at_one_place(self) -> None:
        result = read(build_route(), build_route(name="r-2"))
        self.assertIsInstance(result, reasons.Failure)

    def test_versions(self) -> None:
        for version in (None, "7", 7.5, -1, True, [7]):
            with self.subTest(version=version):
                result = read(build_route(), version=version)
                self.assertIsInstance(result, reasons.Failure)

    def test_a_body_cut_short(self) -> None:
        body = json.dumps(
            {"version": 7, "routes": [build_route()], "services": []}
        ).encode()
        for size in range(len(body)):
            result = declarations.read(body[:size])
            self.assertIsInstance(result, reasons.Failure)

    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes(self, body: bytes) -> None:
        result = declarations.read(body)
        self.assertIsInstance(result, (reasons.Failure, routing.Declaration))


if __name__ == "__main__":
    unittest.main()
