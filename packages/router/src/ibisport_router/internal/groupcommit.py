"""Writes many claims in one call to the store.

The store counts calls, not keys. While one call is on its way, the claims that
come meanwhile gather and go out together in the next one, so the batch grows
with the load and a lone claim never waits. This is the group commit of
DeWitt et al., "Implementation Techniques for Main Memory Database Systems",
SIGMOD 1984.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ibisport_core.errors import (
    IbisportError,
    SessionFenced,
    StoreError,
    StoreOutcomeUnknown,
)
from ibisport_core.store import Commit, Put, Unchanged

# etcd takes 128 operations in a transaction by default.
MOST_WRITES = 60
_KEEP_SECONDS = 1.0
CommitAll = Callable[[Sequence[Unchanged], Sequence[Put]], Commit]


@dataclass(slots=True)
class _Waiting:
    """One write that waits for its call.

    Attributes:
        write: What to put.
        expected: Revision that the key must have; 0: it must not exist.
        revision: Revision of the write once it stands, else 0.
        failure: Why it is not known to stand, if the store failed.
    """

    write: Put
    expected: int
    revision: int = 0
    failure: IbisportError | None = None
    done: threading.Event = field(default_factory=threading.Event)


class GroupCommit:
    """Gathers conditional writes of many threads into few calls."""

    def __init__(self, commit: CommitAll) -> None:
        """Prepare; ``work`` is the task of one thread.

        Args:
            commit: Makes one call to the store.
        """
        self._commit = commit
        self._ready = threading.Condition()
        self._queue: deque[_Waiting] = deque()

    def put(self, write: Put, expected: int) -> int:
        """Write a key if it still has a revision; wait for the outcome.

        Args:
            write: What to put.
            expected: Revision that the key must have; 0: it must not exist.

        Returns:
            Revision of the write; 0 when it did not or may not stand.

        Raises:
            StoreError: The call certainly took no effect.
            SessionFenced: The session is ended; nothing was written.
        """
        waiting = _Waiting(write, expected)
        with self._ready:
            self._queue.append(waiting)
            self._ready.notify()
        waiting.done.wait()
        if waiting.failure is not None:
            raise waiting.failure
        return waiting.revision

    def work(self) -> None:
        """Send what has gathered, call after call, for the process's life.

        Also while the router stops: requests in flight may still be claimed.
        """
        while True:
            batch = self._take_batch()
            if batch:
                self._send(batch)

    def _take_batch(self) -> list[_Waiting]:
        with self._ready:
            if not self._queue:
                self._ready.wait(_KEEP_SECONDS)
            batch: dict[str, _Waiting] = {}
            left: deque[_Waiting] = deque()
            for waiting in self._queue:
                # A transaction may write a key only once.
                full = len(batch) >= MOST_WRITES or waiting.write.key in batch
                if full:
                    left.append(waiting)
                else:
                    batch[waiting.write.key] = waiting
            self._queue = left
            return list(batch.values())

    def _send(self, batch: list[_Waiting]) -> None:
        conditions = [Unchanged(one.write.key, one.expected) for one in batch]
        writes = [one.write for one in batch]
        try:
            commit = self._commit(conditions, writes)
        except StoreOutcomeUnknown:
            _finish(batch, 0, None)
        except (StoreError, SessionFenced) as error:
            _finish(batch, 0, error)
        else:
            self._take_outcome(batch, commit)

    def _take_outcome(self, batch: list[_Waiting], commit: Commit) -> None:
        if commit.succeeded:
            _finish(batch, commit.revision, None)
        elif len(batch) == 1:
            _finish(batch, 0, None)
        else:
            # One claim that stands already must not hold up the others.
            middle = len(batch) // 2
            self._send(batch[:middle])
            self._send(batch[middle:])


def _finish(
    batch: list[_Waiting], revision: int, failure: IbisportError | None
) -> None:
    for waiting in batch:
        waiting.revision = revision
        waiting.failure = failure
        waiting.done.set()
