"""In-memory stand-in for the key-value service, with fault injection."""

import asyncio
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ibisport_fleet.errors import (
    ChangesTooLong,
    HistoryLost,
    StoreUnavailable,
    StoreUnknown,
)
from ibisport_fleet.store import (
    Change,
    Condition,
    Conflict,
    Item,
    Listing,
    Put,
    Removal,
    WatchOptions,
    WatchResult,
    Written,
)

ANSWER_SECONDS = 0.004
CALL_TIMEOUT_SECONDS = 0.9
# The real store client hedges on a second path after this time without an answer.
HEDGE_DELAY_SECONDS = 0.1
MAX_WRITE_DELAY_SECONDS = 6.0


@dataclass(slots=True)
class Faults:
    """Faults in force; none by default.

    Attributes:
        down: Every call is refused, and leases don't expire.
        cut: Names of the callers whose calls time out.
        lose: Share of the writes that are applied without an answer.
        late: Share of the writes that are applied seconds later, without an answer.
        slow: Factor on the round-trip time of each call.
        second_way: A write that got no answer is sent once more on a second path,
            which answers.
        refuse_writes: Every write is refused.
        bytes_per_second: Transfer rate of the answers to reads; 0 for no limit.
    """

    down: bool = False
    cut: set[str] = field(default_factory=set)
    lose: float = 0.0
    late: float = 0.0
    slow: float = 1.0
    second_way: bool = False
    refuse_writes: bool = False
    bytes_per_second: float = 0.0


class MemoryService:
    """The state that all callers share: keys, leases and history.

    Attributes:
        faults: Faults in force.
        items: Current items by key.
        revision: Revision of the last write.
        compacted_revision: Watches that start before this revision are refused.
        history: All changes, oldest first.
        calls: Number of one-way transfers to and from the store, over all callers.
        random: Source of the random draws of faults.
        links: Bytes per second of each caller's link, applied to conditional writes;
            a caller without an entry has no limit.
    """

    def __init__(self, seed: int = 1) -> None:
        self.faults = Faults()
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.compacted_revision = 0
        self.history: list[Change] = []
        self.calls = 0
        self.random = random.Random(seed)
        self.links: dict[str, float] = {}
        self._lease_deadlines: dict[int, float] = {}
        self._lease_seconds: dict[int, float] = {}
        self._lease_by_key: dict[str, int] = {}
        self._changed = asyncio.Event()

    def open_store(self, caller: str) -> 'MemoryStore':
        """Return the store client of a caller."""
        return MemoryStore(self, caller)

    def put(self, key: str, content: bytes, lease: int = 0) -> None:
        """Write one key without a condition, as operators and targets do."""
        self.revision += 1
        self._set(Put(key, content, lease))
        self._notify_watches()

    def remove(self, key: str) -> None:
        """Remove one key."""
        self.revision += 1
        self.items.pop(key, None)
        self.history.append(Removal(key, self.revision))
        self._notify_watches()

    def forget_history(self) -> None:
        """Compact the history; later watches from older revisions are refused."""
        self.compacted_revision = self.revision

    def grant(self, seconds: float) -> int:
        """Create a lease and return its id."""
        lease = len(self._lease_deadlines) + 1
        self._lease_deadlines[lease] = asyncio.get_running_loop().time() + seconds
        self._lease_seconds[lease] = seconds
        return lease

    def renew(self, lease: int) -> bool:
        """Restart the term of a lease; False if it has expired."""
        now = asyncio.get_running_loop().time()
        if self._lease_deadlines.get(lease, 0.0) <= now:
            return False
        self._lease_deadlines[lease] = now + self._lease_seconds[lease]
        return True

    def end(self, lease: int) -> None:
        """Revoke a lease and remove its keys."""
        self._lease_deadlines[lease] = asyncio.get_running_loop().time()
        self.expire_keys()

    def extend_leases(self, seconds: float) -> None:
        """Extend all leases, as a service does that pauses them in an outage."""
        for lease in self._lease_deadlines:
            self._lease_deadlines[lease] += seconds

    def end_leases(self) -> None:
        """Expire all leases now."""
        self._lease_deadlines = dict.fromkeys(self._lease_deadlines, 0.0)

    def expire_keys(self) -> None:
        """Remove the keys of expired leases; none expire while the service is down."""
        now = asyncio.get_running_loop().time()
        for key, lease in tuple(self._lease_by_key.items()):
            if lease and self._lease_deadlines[lease] <= now and not self.faults.down:
                self._lease_by_key.pop(key)
                self.remove(key)

    def commit(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> Written | Conflict:
        """Write all keys if all conditions hold."""
        self.expire_keys()
        for condition in conditions:
            item = self.items.get(condition.key)
            if (item.revision if item else 0) != condition.revision:
                keys = [expected.key for expected in conditions]
                return Conflict(
                    tuple(self.items[key] for key in keys if key in self.items),
                    tuple(key for key in keys if key not in self.items),
                )
        self.revision += 1
        for put in puts:
            self._set(put)
        self._notify_watches()
        return Written(self.revision)

    async def wait_for_change(self, after: int, wait: float) -> None:
        """Wait for a write after a revision, at most ``wait`` seconds."""
        deadline = asyncio.get_running_loop().time() + wait
        while self.revision <= after:
            changed = self._changed
            try:
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
            except TimeoutError:
                return

    def _set(self, put: Put) -> None:
        self.items[put.key] = Item(put.key, put.content, self.revision)
        self._lease_by_key[put.key] = put.lease
        self.history.append(self.items[put.key])

    def _notify_watches(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


class MemoryStore:
    """Store client of one caller."""

    def __init__(self, service: MemoryService, caller: str) -> None:
        self._service = service
        self._caller = caller

    async def read(self, key: str) -> Item | None:
        """Return the item of a key, or None if the key is missing."""
        await self._send_one_way()
        self._service.expire_keys()
        return self._service.items.get(key)

    async def scan(
        self, prefix: str, *, stale: bool = False, shared: bool = False
    ) -> Listing:
        """Return all items of a prefix; the answer is never stale here."""
        await self._send_one_way()
        self._service.expire_keys()
        items = [
            item for key, item in self._service.items.items() if key.startswith(prefix)
        ]
        # Writes during the transfer of the answer are not part of it.
        revision = self._service.revision
        await self._transfer_items(items)
        return Listing(tuple(items), revision)

    async def watch(self, prefix: str, after: int, terms: WatchOptions) -> WatchResult:
        """Return the changes of a prefix after a revision."""
        await self._send_one_way()
        if after < self._service.compacted_revision:
            raise HistoryLost(prefix)
        await self._service.wait_for_change(after, terms.wait)
        changes = tuple(
            change
            for change in self._service.history
            if change.revision > after and change.key.startswith(prefix)
        )
        revision = self._service.revision
        await self._send_one_way()
        written = [change for change in changes if isinstance(change, Item)]
        size = sum(len(item.content) for item in written)
        if terms.max_bytes and size > terms.max_bytes:
            raise ChangesTooLong(prefix)
        await self._transfer_items(written)
        return WatchResult(changes, revision)

    async def write(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> Written | Conflict:
        """Write all keys if all conditions hold, subject to the faults in force."""
        service = self._service
        try:
            await self._send_one_way(puts)
        except asyncio.CancelledError:
            # The caller was stopped, but its call may still reach the service.
            delay = service.random.uniform(0.0, MAX_WRITE_DELAY_SECONDS)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, service.commit, list(conditions), list(puts))
            raise
        if service.faults.refuse_writes:
            raise StoreUnavailable('the store refuses writes')
        if service.random.random() < service.faults.late:
            delay = service.random.uniform(1.0, MAX_WRITE_DELAY_SECONDS)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, service.commit, list(conditions), list(puts))
            await self._time_out()
        outcome = service.commit(conditions, puts)
        if service.random.random() < service.faults.lose:
            if not service.faults.second_way:
                await self._time_out()
            await asyncio.sleep(HEDGE_DELAY_SECONDS)
            outcome = service.commit(conditions, puts)
        await self._send_one_way(outcome.items if isinstance(outcome, Conflict) else ())
        return outcome

    async def grant_lease(self, seconds: float) -> tuple[int, float]:
        """Create a lease; return its id and its term in seconds."""
        await self._send_one_way()
        lease = self._service.grant(seconds)
        await self._send_one_way()
        return lease, seconds

    async def renew_lease(self, lease: int) -> bool:
        """Restart the term of a lease; False if it has expired."""
        await self._send_one_way()
        renewed = self._service.renew(lease)
        await self._send_one_way()
        return renewed

    async def end_lease(self, lease: int) -> None:
        """Revoke a lease and remove its keys."""
        await self._send_one_way()
        self._service.end(lease)
        await self._send_one_way()

    async def probe(self) -> bool:
        """Return whether the service is up."""
        return not self._service.faults.down

    async def _send_one_way(self, sent: Iterable[Item | Put] = ()) -> None:
        faults = self._service.faults
        self._service.calls += 1
        seconds = ANSWER_SECONDS / 2 * faults.slow
        bandwidth = self._service.links.get(self._caller)
        if bandwidth is not None:
            seconds += sum(len(item.content) for item in sent) / bandwidth
        await asyncio.sleep(seconds)
        if self._caller in faults.cut:
            await self._time_out()
        if faults.down:
            raise StoreUnavailable('the store is down')

    async def _transfer_items(self, items: Sequence[Item]) -> None:
        """Wait as long as the transfer of the items takes."""
        rate = self._service.faults.bytes_per_second
        if rate:
            await asyncio.sleep(sum(len(item.content) for item in items) / rate)

    async def _time_out(self) -> None:
        await asyncio.sleep(CALL_TIMEOUT_SECONDS)
        raise StoreUnknown('no answer')
