"""Tests the validation and conversion of operators' configurations."""

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
    """Return the JSON object of a route; ``None`` omits a field."""
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
    return {key: value for key, value in route.items() if value is not None}


def parse_routes(
    *routes: dict[str, typing.Any], version: object = 7
) -> routing.Declaration | reasons.Failure:
    """Parse a configuration that declares the services mail and feed."""
    content = {
        "version": version,
        "routes": list(routes),
        "services": [{"name": "mail"}, {"name": "feed"}],
        "limits": {"idleTimeoutMs": 15000},
    }
    return declarations.parse_configuration(json.dumps(content).encode())


class ValidTest(unittest.TestCase):
    """Guards against valid configurations that are converted wrongly."""

    def test_route(self) -> None:
        declared = parse_routes(build_route())
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
        declared = parse_routes(build_route(service=None, trafficSplit=split))
        assert isinstance(declared, routing.Declaration)
        self.assertEqual(
            declared.routing.routes[0].shares,
            (routing.Share("mail", 90), routing.Share("feed", 10)),
        )

    def test_document_is_kept_verbatim(self) -> None:
        body = b'{ "version": 3, "routes": [], "services": [], "x": 1 }'
        declared = declarations.parse_configuration(body)
        assert isinstance(declared, routing.Declaration)
        self.assertEqual(declared.document, body)


class InvalidTest(unittest.TestCase):
    """Guards against invalid configurations that are accepted."""

    def test_fields_of_another_type(self) -> None:
        for field, value in (
            ("kind", 7),
            ("kind", ["safe"]),
            ("targetLatencyMs", "173"),
            ("priority", -1),
            ("maxAttempts", {}),
        ):
            with self.subTest(field, value=value):
                result = parse_routes(build_route(**{field: value}))
                self.assertIsInstance(result, reasons.Failure)

    def test_services_and_limits_of_another_type(self) -> None:
        for field, value in (
            ("services", [{"name": "mail", "healthPath": 1}]),
            ("services", [{"name": "mail", "maxConnections": "2000"}]),
            ("services", [{"name": "mail", "protocol": None}]),
            ("services", [{"name": "mail", "tls": "no"}]),
            ("limits", []),
            ("limits", None),
            ("limits", {"idleTimeoutMs": "15000"}),
        ):
            content = {"version": 7, "routes": [], "services": []}
            body = json.dumps(content | {field: value}).encode()
            with self.subTest(field, value=value):
                result = declarations.parse_configuration(body)
                self.assertIsInstance(result, reasons.Failure)

    def test_routes(self) -> None:
        zero_weight = [{"service": "mail", "weight": 0}]
        missing_weight = [{"service": "mail"}]
        for name, route in (
            ("unknown service", build_route(service="other")),
            ("no timeout", build_route(timeoutMs=0)),
            ("timeout left out", build_route(timeoutMs=None)),
            ("timeout is text", build_route(timeoutMs="1")),
            ("no service", build_route(service=None)),
            ("no weight", build_route(service=None, trafficSplit=zero_weight)),
            (
                "weight left out",
                build_route(service=None, trafficSplit=missing_weight),
            ),
            ("host is a name", build_route(host="mail.example")),
            ("prefix is no port", build_route(pathPrefix="/mail/")),
        ):
            with self.subTest(name):
                self.assertIsInstance(parse_routes(route), reasons.Failure)

    def test_two_routes_with_one_address(self) -> None:
        result = parse_routes(build_route(), build_route(name="r-2"))
        self.assertIsInstance(result, reasons.Failure)

    def test_versions(self) -> None:
        for version in (None, "7", 7.5, -1, True, [7]):
            with self.subTest(version=version):
                result = parse_routes(build_route(), version=version)
                self.assertIsInstance(result, reasons.Failure)

    def test_numbers_that_the_log_cannot_hold(self) -> None:
        # Guards against an error that is not the operator's (500).
        for weight in (2**63, 2**64, 10**30):
            split = [{"service": "mail", "weight": weight}]
            route = build_route(service=None, trafficSplit=split)
            self.assertIsInstance(parse_routes(route), reasons.Failure)

    def test_nested_too_deeply(self) -> None:
        # Guards against an error that is not the operator's (500).
        body = b'{"version": 7, "limits": ' + b"[" * 100_000
        result = declarations.parse_configuration(body)
        self.assertIsInstance(result, reasons.Failure)

    def test_truncated_body(self) -> None:
        body = json.dumps(
            {"version": 7, "routes": [build_route()], "services": []}
        ).encode()
        for size in range(len(body)):
            result = declarations.parse_configuration(body[:size])
            self.assertIsInstance(result, reasons.Failure)

    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_bytes(self, body: bytes) -> None:
        result = declarations.parse_configuration(body)
        self.assertIsInstance(result, (reasons.Failure, routing.Declaration))


if __name__ == "__main__":
    unittest.main()
