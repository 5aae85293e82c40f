"""Runs the stateful request tests with more examples than CI.

Usage: ``python -m tests.fuzz [EXAMPLES [SEED]]``
"""

import sys
import unittest

import hypothesis

from tests import test_requests_machine

DEFAULT_EXAMPLES = 2_000
STEPS_PER_EXAMPLE = 50


def main() -> int:
    """Run the state machine with the given number of examples and seed."""
    arguments = [int(text) for text in sys.argv[1:]]
    examples = arguments[0] if arguments else DEFAULT_EXAMPLES
    seed = arguments[1] if len(arguments) > 1 else 0
    case = test_requests_machine.RequestsMachineTest
    case.settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=STEPS_PER_EXAMPLE,
        deadline=None,
        database=None,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    hypothesis.seed(seed)(test_requests_machine.RequestsMachine)
    suite = unittest.TestSuite([case("runTest")])
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    print(f"examples {examples}, seed {seed}")
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
