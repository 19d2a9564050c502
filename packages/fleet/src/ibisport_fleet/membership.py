"""Which routers there are, by entries that each of them keeps alive in the store."""

import asyncio
import contextlib
import uuid
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ibisport_fleet.addresses import Address
from ibisport_fleet.errors import RecordInvalid, StoreError
from ibisport_fleet.eventlog import Event, EventLog
from ibisport_fleet.store import Item, Listing, Put, Store

MEMBER_PREFIX = 'ibisport/router/'
# What all routers read about as often as the list of routers lies beside it: one
# listing brings both.
SHARED_PREFIX = 'ibisport/router'
# A lease is renewed and the list read about three times within it, so that one lost
# answer costs no entry. Both calls cost a tenth of a usual one.
ENTRY_LEASE_SECONDS = 5.0
REFRESH_INTERVAL_SECONDS = 1.5
# The same until the list holds this router: nobody lends or borrows well before.
INITIAL_REFRESH_INTERVAL_SECONDS = 0.3
# Until a router that leaves tries again to end its entry: a store may refuse at once.
WITHDRAW_BACKOFF_SECONDS = 0.1
# An entry that lapsed while the store was away may belong to a living router: it
# counts among those that share a budget of retries for so long.
HOST_RETENTION_SECONDS = 15.0
# A stale list may lack the newest entries for some seconds.
MAX_LISTING_AGE_SECONDS = 6.0


@dataclass(frozen=True, slots=True)
class Member:
    """One router.

    Attributes:
        host: Name of its host.
        incarnation: Its process.
        address: Where it lends to other routers.
    """

    host: str
    incarnation: str
    address: Address


_DECODER = msgspec.json.Decoder(Member)


class Membership:
    """This router's entry, and the list of all.

    Attributes:
        own: This router.
        current: All routers of the newest list, by host; this one is always in it.
        listed: A list that holds this router was read. One that was read before may
            lack all that start at the same time, and whoever knows no other router
            takes itself for the lender of every budget.
        hosts: Hosts of all routers that were listed lately.
        may_lend: This router can lend and is listed; others would wait for a
            lender that can't.
        on_listing: Is called with each listing of the shared prefix, if set.
    """

    def __init__(
        self,
        host: str,
        address: Address,
        store: Store,
        log: EventLog,
        read_clock: Callable[[], float],
    ) -> None:
        self.own = Member(host, uuid.uuid4().hex[:12], address)
        self.current = {host: self.own}
        self.hosts = frozenset((host,))
        self.listed = False
        self.may_lend = False
        self._store = store
        self._log = log
        self.on_listing: Callable[[Listing], None] | None = None
        self._read_clock = read_clock
        self._lease = 0
        self._registered_at = 0.0
        self._last_listed_at: dict[str, float] = {}
        self._leaving = asyncio.Event()

    @property
    def count(self) -> int:
        """How many routers there may be, this one counted."""
        return len(self._list_recent_hosts())

    def list_others(self) -> list[Member]:
        """Return all other routers of the newest list."""
        return [one for one in self.current.values() if one.host != self.own.host]

    async def run(self) -> None:
        """Keep the entry alive and the list fresh for ever."""
        while True:
            try:
                await self._refresh()
            except StoreError as error:
                self._log.write(Event.members_unknown, reason=repr(error))
            await self._wait()

    def leave(self) -> None:
        """Take this router off the list; it lends no more."""
        self._leaving.set()

    async def _wait(self) -> None:
        """Wait for the next turn; after ``leave`` it comes soon."""
        if self._leaving.is_set():
            # A leave in the middle of a turn has found its entry not yet ended.
            await asyncio.sleep(
                WITHDRAW_BACKOFF_SECONDS if self._lease else REFRESH_INTERVAL_SECONDS
            )
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                REFRESH_INTERVAL_SECONDS
                if self.listed
                else INITIAL_REFRESH_INTERVAL_SECONDS
            ):
                await self._leaving.wait()

    async def _refresh(self) -> None:
        if self._leaving.is_set():
            await self._withdraw()
        elif self.may_lend:
            await self._renew_entry()
        listing = await self._store.scan(SHARED_PREFIX, stale=True)
        entries = [item for item in listing.items if item.key.startswith(MEMBER_PREFIX)]
        self._apply_members(
            [member for item in entries if (member := self._decode_entry(item))]
        )
        if self.on_listing is not None:
            self.on_listing(listing)

    def _decode_entry(self, item: Item) -> Member | None:
        """Return a router's entry; one that can't be read costs no other its place."""
        try:
            return decode_member(item)
        except RecordInvalid as error:
            self._log.write(Event.record_refused, reason=str(error)[:200])
            return None

    async def _renew_entry(self) -> None:
        if not (self._lease and await self._store.renew_lease(self._lease)):
            await self._register()

    async def _withdraw(self) -> None:
        """End the entry: until it lapses others take this router for a lender.

        They would ask it for each loan, and whoever lends in its place would write the
        page for each.
        """
        if self._lease:
            await self._store.end_lease(self._lease)
            self._lease = 0

    async def _register(self) -> None:
        lease, _ = await self._store.grant_lease(ENTRY_LEASE_SECONDS)
        key = f'{MEMBER_PREFIX}{self.own.host}'
        await self._store.write((), (Put(key, msgspec.json.encode(self.own), lease),))
        self._lease = lease
        self._registered_at = self._read_clock()

    def _list_recent_hosts(self) -> set[str]:
        """Return the hosts of routers that were listed lately, this one's too."""
        oldest = self._read_clock() - HOST_RETENTION_SECONDS
        seen = {host for host, seen in self._last_listed_at.items() if seen > oldest}
        return seen | {self.own.host}

    def _apply_members(self, members: list[Member]) -> None:
        now = self._read_clock()
        listed = {member.host: member for member in members}
        known = listed.get(self.own.host)
        if known != self.own and now - self._registered_at > MAX_LISTING_AGE_SECONDS:
            # A write of the process before, done late, has taken the entry's place.
            self._lease = 0
        listed[self.own.host] = self.own
        self._last_listed_at.update(dict.fromkeys(listed, now))
        if set(listed) != set(self.current):
            self._log.write(Event.members_changed, routers=len(listed))
        self.current = listed
        self.hosts = frozenset(self._list_recent_hosts())
        self.listed = self.listed or known == self.own


def decode_member(item: Item) -> Member:
    """Return the router that an entry tells of.

    Raises:
        RecordInvalid: The entry can't be read.
    """
    try:
        return _DECODER.decode(item.content)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise RecordInvalid(f'{item.key}: {error!r}') from error
