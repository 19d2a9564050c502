"""Router membership, based on leased entries that routers maintain in the store."""

import asyncio
import contextlib
import math
import uuid
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ibisport_fleet.addresses import Address, Port
from ibisport_fleet.errors import RecordInvalid, StoreError
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.item_decoding import decode_item
from ibisport_fleet.store import Item, Listing, Put, Store

MEMBER_PREFIX = 'ibisport/router/'
# Shared state that routers read as often as the member list has keys with this prefix
# too, so that one listing returns both.
SHARED_PREFIX = 'ibisport/router'
# The lease is renewed and the list read about three times per lease, so that one lost
# answer doesn't expire the entry. Both calls cost a tenth of an ordinary one.
ENTRY_LEASE_SECONDS = 5.0
REFRESH_INTERVAL_SECONDS = 1.5
# Used until the list includes this router, because lending and borrowing depend on it.
INITIAL_REFRESH_INTERVAL_SECONDS = 0.3
# Delay before a leaving router retries to end its lease, since a store may refuse calls
# immediately.
WITHDRAW_BACKOFF_SECONDS = 0.1
# An entry that expired in a store outage may belong to a live router, so its host still
# counts for this time among the routers that share a budget of retries.
HOST_RETENTION_SECONDS = 15.0
# Routers that start at the same time register within about this time.
SETTLE_SECONDS = 0.5
# Stale listings may lack entries written within this time.
MAX_LISTING_AGE_SECONDS = 6.0


@dataclass(frozen=True, slots=True)
class Member:
    """One router.

    Attributes:
        host: Name of the router's host.
        incarnation: Identifier of the router's process.
        address: Address at which the router accepts messages from other routers.
    """

    host: str
    incarnation: str
    address: tuple[str, Port]


_DECODER = msgspec.json.Decoder(Member)


class Membership:
    """Maintains this router's entry and the list of all routers.

    Attributes:
        own: This router.
        current: All routers of the newest list, by host; always includes this router.
        listed: Whether a list that includes this router was read. An earlier list may
            lack all routers that start at the same time, and a router that knows no
            other router ranks itself as the lender of every budget.
        hosts: Hosts of all recently listed routers.
        may_lend: Whether this router can lend and registers its entry. Other routers
            would wait for a listed lender that can't lend.
        listing_handlers: Called with each listing of the shared prefix.
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
        self.listing_handlers: list[Callable[[Listing], None]] = []
        self._read_clock = read_clock
        self._lease = 0
        self._registered_at = 0.0
        self._listed_at = math.inf
        self._last_listed_at: dict[str, float] = {}
        self._leaving = asyncio.Event()

    @property
    def count(self) -> int:
        """Number of recently listed routers, including this one."""
        return len(self._list_recent_hosts())

    @property
    def settled(self) -> bool:
        """Whether the list probably has all routers that start with this one."""
        return self.listed and self._read_clock() - self._listed_at > SETTLE_SECONDS

    def list_others(self) -> list[Member]:
        """Return the other routers of the newest list."""
        return [
            member for member in self.current.values() if member.host != self.own.host
        ]

    async def run(self) -> None:
        """Renew the entry and refresh the list periodically; never returns."""
        while True:
            try:
                await self._refresh()
            except StoreError as error:
                self._log.write(Event.members_unknown, reason=repr(error))
            await self._wait()

    def leave(self) -> None:
        """Remove this router from the list, so that it isn't asked to lend."""
        self._leaving.set()

    async def _wait(self) -> None:
        """Wait for the next refresh, which is soon after ``leave``."""
        if self._leaving.is_set():
            # A leave during a refresh may not have ended the lease yet.
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
        for handle in self.listing_handlers:
            handle(listing)

    def _decode_entry(self, item: Item) -> Member | None:
        """Decode a router's entry; log and skip it if it is invalid."""
        try:
            return decode_member(item)
        except RecordInvalid as error:
            self._log.write(Event.record_refused, reason=str(error)[:200])
            return None

    async def _renew_entry(self) -> None:
        if not (self._lease and await self._store.renew_lease(self._lease)):
            await self._register()

    async def _withdraw(self) -> None:
        """End the lease, because other routers use a listed router as a lender.

        Until the entry expires, they would request each loan from this router first,
        and the lender that replaces it would write the budget page for each loan.
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
        """Return the hosts of recently listed routers, including this one's."""
        cutoff = self._read_clock() - HOST_RETENTION_SECONDS
        recent = {
            host
            for host, listed_at in self._last_listed_at.items()
            if listed_at > cutoff
        }
        return recent | {self.own.host}

    def _apply_members(self, members: list[Member]) -> None:
        now = self._read_clock()
        listed = {member.host: member for member in members}
        listed_own = listed.get(self.own.host)
        if (
            listed_own != self.own
            and now - self._registered_at > MAX_LISTING_AGE_SECONDS
        ):
            # A delayed write of the predecessor has replaced the entry.
            self._lease = 0
        listed[self.own.host] = self.own
        self._last_listed_at.update(dict.fromkeys(listed, now))
        if set(listed) != set(self.current):
            self._log.write(Event.members_changed, routers=len(listed))
        self.current = listed
        self.hosts = frozenset(self._list_recent_hosts())
        if listed_own == self.own and not self.listed:
            self.listed = True
            self._listed_at = now


def decode_member(item: Item) -> Member:
    """Decode a router's entry.

    Raises:
        RecordInvalid: The content is not a valid router entry.
    """
    return decode_item(_DECODER.decode, item)
