"""Programs import only what they use; metrics are loaded on demand."""

import subprocess
import sys
import unittest
import urllib.request

from egretfork import metrics
from egretfork import reasons

UNUSED_MODULES = {
    "entry": ("aiocoap", "egretfork.agent", "prometheus_client", "zmq"),
    "agent": ("egretfork.control", "prometheus_client", "zmq"),
    "control": ("aiocoap", "egretfork.agent", "prometheus_client"),
    "client": ("asyncio", "mode", "prometheus_client"),
}


class ImportsTest(unittest.TestCase):
    def test_program_imports_no_modules_of_other_roles(self) -> None:
        # Guards against memory taken in every process by modules of other
        # roles.
        for role, unused in UNUSED_MODULES.items():
            with self.subTest(role):
                code = (
                    f"import sys, egretfork.{role}.program;"
                    f"print(*(set({unused!r}) & sys.modules.keys()))"
                )
                done = subprocess.run(
                    (sys.executable, "-c", code),
                    stdout=subprocess.PIPE,
                    check=True,
                    text=True,
                )
                self.assertEqual(done.stdout.strip(), "")

    def test_metrics_page_has_counters_and_gauges(self) -> None:
        # Guards against a page without the counts from before it was served,
        # or without reasons that have not occurred.
        registry = metrics.Metrics()
        registry.count(reasons.Drop.MALFORMED)
        registry.set_gauge("flows", "Open flows.", 2)
        port = registry.serve("127.0.0.1", 0)
        registry.count(reasons.Drop.MALFORMED)
        url = f"http://127.0.0.1:{port}/metrics"
        with urllib.request.urlopen(url) as page:
            text = page.read().decode()
        prefix = 'egretfork_reasons_total{category="drop",reason='
        self.assertIn(f'{prefix}"{reasons.Drop.MALFORMED.value}"}} 2.0', text)
        zeros = sum(
            line.startswith("egretfork_reasons_total") and " 0.0" in line
            for line in text.splitlines()
        )
        reason_count = sum(len(category) for category in metrics.CATEGORIES)
        self.assertEqual(zeros, reason_count - 1)
        self.assertIn("egretfork_flows 2.0", text)
