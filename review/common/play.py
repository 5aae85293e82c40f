"""Frame of a case: record, exit code and the end of all processes."""

import asyncio
import collections.abc
import os
import pathlib
import sys
import traceback

import deployment
import record

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0

Case = collections.abc.Callable[
    [record.Record, bool], collections.abc.Awaitable[list[str]]
]


def run(case: Case, folder: pathlib.Path) -> None:
    """Play a case and exit with 1 if it returns breaks of the rule.

    The case gets ``False`` in place of ``True`` for ``TROUBLE=0``.
    """
    play = record.Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    play.write("play", trouble=int(trouble))
    try:
        broken = asyncio.run(
            asyncio.wait_for(case(play, trouble), TIME_LIMIT_S)
        )
    except (deployment.CannotRun, TimeoutError, OSError) as error:
        play.write("cannot_run", reason=repr(error))
        traceback.print_exc()
        sys.exit(CANNOT_RUN)
    for line in broken:
        play.write("BROKEN", what=line)
        print(line)
    play.write("result", broken=len(broken))
    sys.exit(BROKEN if broken else HELD)
