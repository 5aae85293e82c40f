"""The operator documentation lists every setting and every reason."""

import pathlib
import unittest

import msgspec

from egretfork.agent import program as agent
from egretfork.control import program as control
from egretfork.entry import program as entry
from egretfork.gossip import settings as gossip
from egretfork import model
from egretfork import reasons

PAGES = pathlib.Path(__file__).resolve().parent.parent / "docs" / "operators"


class DocumentationTest(unittest.TestCase):
    def test_settings_page_names_every_setting(self) -> None:
        page = (PAGES / "settings.md").read_text(encoding="utf-8")
        types = (
            agent.AgentSettings,
            control.ControlSettings,
            entry.EntrySettings,
            gossip.GossipSettings,
            model.Service,
        )
        missing = [
            f"{kind.__name__}.{field.name}"
            for kind in types
            for field in msgspec.structs.fields(kind)
            if f"`{field.name}`" not in page
        ]
        self.assertEqual(missing, [])

    def test_pages_name_every_reason(self) -> None:
        page = "".join(
            (PAGES / name).read_text(encoding="utf-8")
            for name in ("metrics.md", "refusals.md")
        )
        types = (
            reasons.Drop,
            reasons.Refusal,
            reasons.UnknownOutcome,
            reasons.Retry,
            reasons.ControlRefusal,
        )
        missing = [
            reason.value
            for kind in types
            for reason in kind
            if f"`{reason.value}`" not in page
        ]
        self.assertEqual(missing, [])


if __name__ == "__main__":
    unittest.main()
