"""Deadline of an answer that does not pass over what has arrived."""

import asyncio
import contextlib

from plantainway import loops


@contextlib.asynccontextmanager
async def answer_within(left_s: float):
    """Limits how long an answer may take, until a deadline.

    At the deadline, what lies in the sockets is read first, for
    ``loops.LISTEN_S`` or, beside a late loop, a few times that.

    Args:
        left_s: Seconds until the deadline; lost time counts.

    Raises:
        TimeoutError: If the deadline has passed.
    """
    async with asyncio.timeout(None) as scope:
        loop = asyncio.get_running_loop()
        timer = loops.ListeningTimer(lambda: scope.reschedule(loop.time()))
        handle = loop.call_later(left_s, timer.arm, 0.0)
        try:
            yield
        finally:
            handle.cancel()
            timer.disarm()
