"""Runs the stateful tests for longer than CI: ``python -m tests.fuzz``."""

import sys
import unittest

import hypothesis

from tests import test_requests_machine

DEFAULT_EXAMPLES = 2_000
STEPS = 50


def main() -> int:
    """Run the machine with the number of examples and seed given."""
    arguments = [int(text) for text in sys.argv[1:]]
    examples = arguments[0] if arguments else DEFAULT_EXAMPLES
    seed = arguments[1] if len(arguments) > 1 else 0
    case = test_requests_machine.RequestsMachineTest
    case.settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        deadline=None,
        database=None,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    seeded = hypothesis.seed(seed)(case.runTest)
    case.runTest = seeded
    suite = unittest.TestSuite([case("runTest")])
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    print(f"examples {examples}, seed {seed}")
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
