"""Runs the tests except those listed in KNOWN-RED.txt."""

import faulthandler
import pathlib
import sys
import unittest

import hypothesis

ROOT = pathlib.Path(__file__).resolve().parent.parent
# A run that hangs fails with a traceback of all threads.
WATCHDOG_S = 1800
KNOWN_RED = ROOT / "KNOWN-RED.txt"

# Use the same examples on every run, so that CI results are reproducible.
hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("ci")


def read_known_red(path: pathlib.Path) -> frozenset[str]:
    """Return the test names in a file of ``test: NAME`` lines."""
    if not path.exists():
        return frozenset()
    lines = path.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.partition(":")[2].strip()
        for line in lines
        if line.startswith("test:")
    )


def list_test_cases(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Return the test cases of a suite and its nested suites."""
    cases: list[unittest.TestCase] = []
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            cases.extend(list_test_cases(item))
        else:
            cases.append(item)
    return cases


def main() -> int:
    """Run the tests, print a summary and return the exit code."""
    faulthandler.dump_traceback_later(WATCHDOG_S, exit=True)
    known_red = read_known_red(KNOWN_RED)
    names = sys.argv[1:]
    loader = unittest.defaultTestLoader
    suite = (
        loader.loadTestsFromNames(names)
        if names
        else loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    )
    cases = list_test_cases(suite)
    missing = known_red - {case.id() for case in cases}
    if missing and not names:
        print(f"KNOWN-RED.txt names tests that do not exist: {missing}")
        return 1
    selected = [case for case in cases if case.id() not in known_red]
    result = unittest.TextTestRunner(verbosity=1).run(
        unittest.TestSuite(selected)
    )
    for name in sorted(known_red):
        print(f"known red, not run: {name}")
    failed = len(result.failures) + len(result.errors)
    failed += len(result.unexpectedSuccesses)
    skipped = len(result.skipped) + len(cases) - len(selected)
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
