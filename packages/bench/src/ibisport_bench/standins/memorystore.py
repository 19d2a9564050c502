"""A stand-in of the key-value service in memory, with the faults it may show."""

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
# After so long without an answer the shipped caller tries a second way.
FALLBACK_DELAY_SECONDS = 0.1
MAX_WRITE_DELAY_SECONDS = 6.0


@dataclass(slots=True)
class Faults:
    """What goes wrong now; all is well at first.

    Attributes:
        down: Every call is refused, and leases stand still.
        cut: Names of callers whose calls get no answer.
        lose: Share of the writes that are done and not answered.
        late: Share of the writes that are done seconds later, unanswered.
        slow: An answer takes so many times as long.
        second_way: A write without an answer is sent once more on another way,
            which answers.
        bytes_per_second: How fast answers of reads come; 0: at once.
    """

    down: bool = False
    cut: set[str] = field(default_factory=set)
    lose: float = 0.0
    late: float = 0.0
    slow: float = 1.0
    second_way: bool = False
    bytes_per_second: float = 0.0


class MemoryService:
    """What all callers share: the keys, the leases and the history.

    Attributes:
        faults: What goes wrong now.
        items: The keys.
        revision: Of the newest write.
        compacted_revision: The history before this revision is dropped.
        history: All changes.
        calls: Ways to and from the store, all callers together.
        random: Draws the faults.
        links: Bytes a second on callers' links, for conditional writes; a link that
            isn't named carries them at once.
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
        """Return the service as one caller sees it."""
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
        """Drop the history; a watch from before is refused."""
        self.compacted_revision = self.revision

    def grant(self, seconds: float) -> int:
        """Return a new lease."""
        lease = len(self._lease_deadlines) + 1
        self._lease_deadlines[lease] = asyncio.get_running_loop().time() + seconds
        self._lease_seconds[lease] = seconds
        return lease

    def renew(self, lease: int) -> bool:
        """Let a lease last as long again; False if it has ended."""
        now = asyncio.get_running_loop().time()
        if self._lease_deadlines.get(lease, 0.0) <= now:
            return False
        self._lease_deadlines[lease] = now + self._lease_seconds[lease]
        return True

    def end(self, lease: int) -> None:
        """End a lease, and remove its keys."""
        self._lease_deadlines[lease] = asyncio.get_running_loop().time()
        self.expire_keys()

    def end_leases(self) -> None:
        """Let all leases run out now."""
        self._lease_deadlines = dict.fromkeys(self._lease_deadlines, 0.0)

    def expire_keys(self) -> None:
        """Remove the keys whose leases have run out; none does in an outage."""
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
                keys = [one.key for one in conditions]
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
        """Wait until something was written after a revision."""
        until = asyncio.get_running_loop().time() + wait
        while self.revision <= after:
            changed = self._changed
            try:
                async with asyncio.timeout_at(until):
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
    """The service as one caller sees it."""

    def __init__(self, service: MemoryService, caller: str) -> None:
        self._service = service
        self._caller = caller

    async def read(self, key: str) -> Item | None:
        """Return one key, or None if there is none."""
        await self._send_one_way()
        self._service.expire_keys()
        return self._service.items.get(key)

    async def scan(
        self, prefix: str, *, stale: bool = False, shared: bool = False
    ) -> Listing:
        """Return all keys of a prefix; none is stale here."""
        await self._send_one_way()
        self._service.expire_keys()
        items = [
            item for key, item in self._service.items.items() if key.startswith(prefix)
        ]
        # What changes while the answer is on its way is not in it.
        revision = self._service.revision
        await self._transfer_items(items)
        return Listing(tuple(items), revision)

    async def watch(self, prefix: str, after: int, terms: WatchOptions) -> WatchResult:
        """Return what changed after a revision."""
        await self._send_one_way()
        if after < self._service.compacted_revision:
            raise HistoryLost(prefix)
        await self._service.wait_for_change(after, terms.wait)
        changes = tuple(
            one
            for one in self._service.history
            if one.revision > after and one.key.startswith(prefix)
        )
        revision = self._service.revision
        await self._send_one_way()
        written = [one for one in changes if isinstance(one, Item)]
        size = sum(len(one.content) for one in written)
        if terms.max_bytes and size > terms.max_bytes:
            raise ChangesTooLong(prefix)
        await self._transfer_items(written)
        return WatchResult(changes, revision)

    async def write(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> Written | Conflict:
        """Write all keys if all conditions hold, with the faults of the time."""
        service = self._service
        try:
            await self._send_one_way(puts)
        except asyncio.CancelledError:
            # The caller died; its call is on its way all the same.
            delay = service.random.uniform(0.0, MAX_WRITE_DELAY_SECONDS)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, service.commit, list(conditions), list(puts))
            raise
        if service.random.random() < service.faults.late:
            delay = service.random.uniform(1.0, MAX_WRITE_DELAY_SECONDS)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, service.commit, list(conditions), list(puts))
            await self._time_out()
        outcome = service.commit(conditions, puts)
        if service.random.random() < service.faults.lose:
            if not service.faults.second_way:
                await self._time_out()
            await asyncio.sleep(FALLBACK_DELAY_SECONDS)
            outcome = service.commit(conditions, puts)
        await self._send_one_way(outcome.items if isinstance(outcome, Conflict) else ())
        return outcome

    async def grant_lease(self, seconds: float) -> tuple[int, float]:
        """Return a new lease and how long it lasts."""
        await self._send_one_way()
        lease = self._service.grant(seconds)
        await self._send_one_way()
        return lease, seconds

    async def renew_lease(self, lease: int) -> bool:
        """Let a lease last as long again."""
        await self._send_one_way()
        renewed = self._service.renew(lease)
        await self._send_one_way()
        return renewed

    async def end_lease(self, lease: int) -> None:
        """End a lease, and with it its keys."""
        await self._send_one_way()
        self._service.end(lease)
        await self._send_one_way()

    async def probe(self) -> bool:
        """Whether the service answers."""
        return not self._service.faults.down

    async def _send_one_way(self, carried: Iterable[Item | Put] = ()) -> None:
        faults = self._service.faults
        self._service.calls += 1
        seconds = ANSWER_SECONDS / 2 * faults.slow
        link = self._service.links.get(self._caller)
        if link is not None:
            seconds += sum(len(one.content) for one in carried) / link
        await asyncio.sleep(seconds)
        if self._caller in faults.cut:
            await self._time_out()
        if faults.down:
            raise StoreUnavailable('the store is down')

    async def _transfer_items(self, items: Sequence[Item]) -> None:
        """Let an answer take as long as its size does."""
        rate = self._service.faults.bytes_per_second
        if rate:
            await asyncio.sleep(sum(len(item.content) for item in items) / rate)

    async def _time_out(self) -> None:
        await asyncio.sleep(CALL_TIMEOUT_SECONDS)
        raise StoreUnknown('no answer')
