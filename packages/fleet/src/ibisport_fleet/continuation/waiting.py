"""Waits for a target with a limit, after which the caller may give it up."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from ibisport_fleet.errors import ConnectionBroken
from ibisport_fleet.http_connection import HttpConnection
from ibisport_fleet.target_client import Answered, SendOutcome


@dataclass(frozen=True, slots=True)
class SilenceLimit:
    """When to ask whether a silent target may be given up.

    Attributes:
        deadline: Loop time at which to ask first.
        interval: Seconds after which to ask again.
    """

    deadline: float
    interval: float


async def read_part(
    connection: HttpConnection, limit: SilenceLimit, may_give_up: Callable[[], bool]
) -> bytes | None:
    """Return the next bytes of an answer's body, or None at its end.

    Raises:
        ConnectionBroken: The connection broke, or its target is given up.
    """
    deadline = limit.deadline
    while True:
        try:
            async with asyncio.timeout_at(deadline):
                return await connection.read_part()
        except TimeoutError:
            if may_give_up():
                raise ConnectionBroken('the target is silent') from None
        deadline = asyncio.get_running_loop().time() + limit.interval


async def wait_for_outcome(
    sending: Coroutine[Any, Any, SendOutcome],
    limit: SilenceLimit,
    may_give_up: Callable[[], bool],
) -> SendOutcome | None:
    """Return the outcome of a send; None: it was given up and its connection closed.

    Args:
        sending: The send. Cancelling it closes its connection.
        limit: When to ask whether to give up.
        may_give_up: Returns whether to give up.
    """
    loop = asyncio.get_running_loop()
    task = loop.create_task(sending)
    seconds = limit.deadline - loop.time()
    try:
        while not task.done():
            await asyncio.wait((task,), timeout=seconds)
            seconds = limit.interval
            if not task.done() and may_give_up():
                await cancel_send(task)
                return None
    except BaseException:
        await cancel_send(task)
        raise
    return task.result()


async def cancel_send(task: asyncio.Task[SendOutcome]) -> None:
    """End a send and close its connection, also if its answer has just arrived."""
    task.cancel()
    await asyncio.wait((task,))
    if not task.cancelled() and task.exception() is None:
        outcome = task.result()
        if isinstance(outcome, Answered):
            outcome.connection.close()
