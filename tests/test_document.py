"""Invalid configuration files give an error that names the problem."""

import pathlib
import unittest

from egretfork import document
from egretfork import model
from egretfork import reasons

PATH = pathlib.Path("services.yaml")
EXAMPLES = pathlib.Path(__file__).resolve().parents[1] / "examples"

VALID_DOCUMENT = """\
services:
  - name: one
    addresses: [127.0.0.1:5683]
    targets: ["one-*"]
  - name: two
    addresses: [127.0.0.2:5683]
    targets: ["two-*"]
"""


def parse(old: str = "", new: str = "") -> document.Document | reasons.Failure:
    return document.parse(
        VALID_DOCUMENT.replace(old, new) if old else VALID_DOCUMENT, PATH
    )


class ParseTest(unittest.TestCase):
    def assert_fails(self, old: str, new: str, *expected: str) -> None:
        result = parse(old, new)
        assert isinstance(result, reasons.Failure), result
        for text in (str(PATH), *expected):
            self.assertIn(text, str(result))

    def test_unknown_key_names_its_line(self) -> None:
        # Guards against a misspelt field that is silently ignored.
        self.assert_fails(
            'targets: ["two-*"]',
            'targets: ["two-*"]\n    slot: 3',
            "`slot`",
            "$.services[1]",
            "line 5",
        )

    def test_unknown_top_level_key_is_refused(self) -> None:
        self.assert_fails("services:", "service:", "service")

    def test_duplicate_key_is_refused(self) -> None:
        self.assert_fails("name: two", "name: two\n    name: six", "repeated")

    def test_value_out_of_range_names_path_and_line(self) -> None:
        self.assert_fails(
            'targets: ["two-*"]',
            'targets: ["two-*"]\n    slots: 0',
            "$.services[1].slots",
            "line 8",
            ">= 1",
        )

    def test_address_of_another_service_is_refused(self) -> None:
        # Guards against two services that share one address.
        self.assert_fails(
            "127.0.0.2", "127.0.0.1", "already used by service 'one'", "line 6"
        )

    def test_duplicate_name_is_refused(self) -> None:
        self.assert_fails("name: two", "name: one", "used twice", "line 2")

    def test_address_without_port_is_refused(self) -> None:
        self.assert_fails("127.0.0.2:5683", "127.0.0.2", "host:port", "line 6")

    def test_noncanonical_address_is_refused(self) -> None:
        # Guards against one address that two spellings make look different.
        self.assert_fails("0.2:5683", "0.1:05683", "not canonical")

    def test_wildcard_address_is_refused(self) -> None:
        self.assert_fails("127.0.0.2:", "0.0.0.0:", "wildcard")

    def test_invalid_yaml_names_its_line(self) -> None:
        self.assert_fails("[127.0.0.2:5683]", "[127.0.0.2:5683", "line 7")

    def test_missing_file_is_a_failure(self) -> None:
        result = document.load(PATH)
        self.assertIsInstance(result, reasons.Failure)


class CompareTest(unittest.TestCase):
    def test_changes_are_typed(self) -> None:
        before = parse()
        after = parse("name: two", "name: six")
        assert isinstance(before, document.Document)
        assert isinstance(after, document.Document)
        changed = document.compare(before.services, after.services)
        address = ("127.0.0.2:5683",)
        self.assertEqual(
            changed,
            (
                document.ServiceRemoved("two", address),
                document.ServiceAdded("six", address),
            ),
        )

    def test_field_change_shows_both_values(self) -> None:
        before = parse()
        after = parse("127.0.0.2:5683]", "127.0.0.2:5683]\n    slots: 4")
        assert isinstance(before, document.Document)
        assert isinstance(after, document.Document)
        changed = document.compare(before.services, after.services)
        expected = (document.FieldChanged("two", "slots", "2", "4"),)
        self.assertEqual(changed, expected)
        self.assertEqual(document.describe(changed[0]), "~ two.slots: 2 -> 4")


class ExampleTest(unittest.TestCase):
    def test_example_files_are_valid_and_disjoint(self) -> None:
        services: tuple[model.Service, ...] = ()
        for name in ("coastal.yaml", "tibay.yaml"):
            loaded = document.load(EXAMPLES / name)
            assert isinstance(loaded, document.Document), loaded
            services += loaded.services
        self.assertEqual(document.check_services(services), "")
