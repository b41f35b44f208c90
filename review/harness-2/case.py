"""Runs one case and turns its result into the exit code that the cases share."""

import asyncio
import os
import pathlib
import sys
import traceback
from collections.abc import Awaitable, Callable

from deployment import Deployment, Log

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

LIMIT_S = 110.0
"""Seconds after which a case is given up."""


def has_trouble() -> bool:
    """Return whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: pathlib.Path,
    make: Callable[[Log], Deployment],
    play: Callable[[Deployment, Log, bool], Awaitable[list[str]]],
) -> None:
    """
    Play a case, write its record and end this process with its exit code.

    :param make: returns the deployment.
    :param play: plays the case and returns what broke the rule.
    """

    async def main() -> int:
        log = Log(folder / "record.txt")
        log("case", trouble=has_trouble())
        deployment = make(log)
        try:
            async with asyncio.timeout(LIMIT_S):
                broken = await play(deployment, log, has_trouble())
        except Exception as error:
            log("could_not_run", error=repr(error))
            traceback.print_exc()
            return COULD_NOT_RUN
        finally:
            deployment.close()
        for line in broken:
            log("rule_broken", what=line)
            print(line)
        log("result", broken=len(broken))
        print("broken" if broken else "held")
        return BROKEN if broken else HELD

    sys.exit(asyncio.run(main()))
