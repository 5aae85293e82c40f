"""Tests of the linear fits and tables of the capacity page."""

import unittest

from egretfork.bench import capacity_gossip
from egretfork.bench import capacity_lines
from egretfork.bench import capacity_page


class CapacityTest(unittest.TestCase):
    def fit(
        self, points: tuple[tuple[float, float], ...], design: float
    ) -> capacity_lines.Series:
        return capacity_lines.fit("name", "MB", "flows", "m", points, design)

    def test_line_through_points(self) -> None:
        # Guards against swapped slope and intercept.
        line = self.fit(((1, 5.0), (2, 7.0), (4, 11.0)), 10)
        self.assertAlmostEqual(line.slope, 2)
        self.assertAlmostEqual(line.intercept, 3)
        self.assertAlmostEqual(line.worst_residual, 0)
        self.assertAlmostEqual(line.at_design, 23)
        self.assertFalse(line.is_measured_at_design)

    def test_measured_value_is_preferred_to_the_line(self) -> None:
        # Guards against fitted values that are reported as measured.
        line = self.fit(((1, 1.0), (2, 4.0), (3, 5.0)), 2)
        self.assertEqual(line.at_design, 4.0)
        self.assertTrue(line.is_measured_at_design)
        self.assertGreater(line.worst_residual, 0.5)

    def test_gossip_without_an_event_has_no_line(self) -> None:
        # Guards against values for events that an interrupted run lacks.
        rest = {"nodes": {"mean_sent": 1}}
        runs = [
            {"size": {"nodes": 50}, "rest": rest},
            {"size": {"nodes": 150}},
        ]
        path = ("rest", "nodes", "mean_sent")
        points = capacity_gossip.collect_points(runs, path)
        self.assertEqual(points, [(50, 1.0)])

    def test_markers_keep_the_text_around_them(self) -> None:
        # Guards against tables that overwrite hand-written text.
        page = "a\n<!-- t -->\nold\n<!-- end t -->\nb\n"
        replaced = capacity_page.replace_block(page, "t", r"new \1")
        expected = "a\n<!-- t -->\nnew \\1\n<!-- end t -->\nb\n"
        self.assertEqual(replaced, expected)
        with self.assertRaises(ValueError):
            capacity_page.replace_block(page, "absent", "new")
