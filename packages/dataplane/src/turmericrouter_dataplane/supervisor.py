"""Restarts background work that ends with an unexpected error."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from turmericrouter_dataplane.decision_log import DecisionLog

RESTART_DELAY_S = 1.0


async def supervise(
    name: str, work: Callable[[], Awaitable[None]], log: DecisionLog
) -> None:
    """Run work for ever; start it again if it fails.

    An error of one part must not end the others, nor leave the process
    without that part.

    Args:
        name: Name of the work in the log.
        work: Runs until it is cancelled.
        log: Decision log.
    """
    while True:
        try:
            await work()
        except Exception as error:
            log.event('task_failed', task=name, error=repr(error))
        await asyncio.sleep(RESTART_DELAY_S)
