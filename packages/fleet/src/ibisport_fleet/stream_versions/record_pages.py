"""Keeps in the store which builds began the streams in progress.

A kill of all routers ends every record of a stream. While versions differ, each router
therefore writes the records of its streams in progress to a page of its own.
"""

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import Mapping

import msgspec
from msgspec import Struct

from ibisport_fleet.calls import draw_jittered_delay
from ibisport_fleet.errors import RecordInvalid, StoreError
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.item_decoding import decode_item
from ibisport_fleet.membership import Membership
from ibisport_fleet.settings import HostSettings
from ibisport_fleet.store import Item, Listing, Put, Store
from ibisport_fleet.stream_versions.build_store import BuildStore
from ibisport_fleet.stream_versions.record_sender import RecordSender
from ibisport_fleet.stream_versions.records import (
    KEY_BYTES,
    MAX_LIFETIME_SECONDS,
    StreamRecords,
)
from ibisport_fleet.targets import Build

PAGES_PREFIX = 'ibisport/streams/'
# Streams that began within this time before a kill of all routers are lost.
WRITE_INTERVAL_SECONDS = 0.25
# Of the writes that the store takes; budgets need most of them.
WRITE_SHARE = 0.125
# A store outage may end leases, and a page is missing until its lease is renewed. A
# renewal costs a tenth of a read.
RENEWAL_INTERVAL_SECONDS = 2.0
# The longest lease that the store grants.
MAX_LEASE_SECONDS = 600.0
LOAD_BACKOFF_SECONDS = 0.25
WRITE_BACKOFF_SECONDS = 2.0


class _Group(Struct, array_like=True):
    service: str
    version: str
    # Keys of the streams, one after the other.
    keys: bytes
    # Seconds for which their callers may still come back.
    lifetimes: list[int]


_DECODER = msgspec.msgpack.Decoder(list[_Group])


class RecordPages:
    """Writes this router's page, and reads all pages at its start."""

    def __init__(
        self,
        settings: HostSettings,
        store: Store,
        members: Membership,
        sender: RecordSender,
        records: StreamRecords,
        builds: BuildStore,
        log: EventLog,
    ) -> None:
        """Create an instance that hasn't read the pages yet.

        Args:
            settings: Tell how many writes the store takes.
            store: Keeps the pages.
            members: Tells how many routers write pages.
            sender: Has the streams in progress.
            records: Gets the records of all pages.
            builds: Tells whether versions differ.
            log: Receives failures.
        """
        self._settings = settings
        self._store = store
        self._members = members
        self._sender = sender
        self._records = records
        self._builds = builds
        self._log = log
        self._loaded = asyncio.Event()
        self._members_read = asyncio.Event()
        members.listing_handlers.append(self._handle_listing)
        self._lease = 0
        self._renewal_due_at = 0.0
        self._written: Mapping[bytes, Build] = {}

    async def run(self) -> None:
        """Read the pages once, then keep this router's page until cancelled."""
        await self._load()
        while True:
            await asyncio.sleep(self._compute_interval())
            try:
                await self._update()
            except StoreError as error:
                # The lease may have ended.
                self._lease = 0
                self._log.write(Event.streams_unsaved, reason=repr(error))
                await asyncio.sleep(draw_jittered_delay(WRITE_BACKOFF_SECONDS))

    async def wait_until_loaded(self, deadline: float) -> None:
        """Wait until the pages are read, or until a loop time."""
        if self._loaded.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                await self._loaded.wait()

    def _handle_listing(self, listing: Listing) -> None:
        self._members_read.set()

    def _compute_interval(self) -> float:
        writes_per_second = WRITE_SHARE * self._settings.store_writes_per_second
        return max(WRITE_INTERVAL_SECONDS, self._members.count / writes_per_second)

    async def _load(self) -> None:
        while not self._loaded.is_set():
            try:
                await self._read_pages()
            except StoreError as error:
                self._log.write(Event.streams_unsaved, reason=repr(error))
                await asyncio.sleep(draw_jittered_delay(LOAD_BACKOFF_SECONDS))
            else:
                self._loaded.set()

    async def _read_pages(self) -> None:
        await self._builds.wait_until_read()
        await self._members_read.wait()
        if not self._builds.is_ambiguous:
            return
        listing = await self._store.scan(PAGES_PREFIX)
        now = asyncio.get_running_loop().time()
        for item in listing.items:
            self._apply_page(item, now)
            # A large fleet has hundreds of pages, and requests are served meanwhile.
            await asyncio.sleep(0)

    def _apply_page(self, item: Item, now: float) -> None:
        try:
            groups = decode_page(item)
        except RecordInvalid as error:
            self._log.write(Event.record_refused, reason=str(error)[:200])
            return
        for group in groups:
            build = Build(group.service, group.version)
            for number, lifetime in enumerate(group.lifetimes):
                key = group.keys[number * KEY_BYTES : (number + 1) * KEY_BYTES]
                if self._sender.is_asked(key):
                    expires_at = now + min(lifetime, MAX_LIFETIME_SECONDS)
                    self._records.put(key, build, now, expires_at)

    async def _update(self) -> None:
        """Write the page if the streams in progress have changed, or if it is gone."""
        now = asyncio.get_running_loop().time()
        streams = self._sender.list_sent(now) if self._builds.is_ambiguous else {}
        builds = {key: stream.build for key, stream in streams.items()}
        if not builds and not self._written:
            return
        is_gone = not await self._keep_lease(now)
        if builds == self._written and not is_gone:
            return
        lifetimes = {key: stream.expires_at - now for key, stream in streams.items()}
        content = encode_page(builds, lifetimes)
        key = f'{PAGES_PREFIX}{self._members.own.incarnation}'
        await self._store.write((), (Put(key, content, self._lease),))
        self._written = builds

    async def _keep_lease(self, now: float) -> bool:
        """Renew the lease if that is due; return False if a new one had to be granted.

        The page outlives its router for as long as callers may come back.
        """
        if self._lease and now < self._renewal_due_at:
            return True
        is_kept = self._lease and await self._store.renew_lease(self._lease)
        if not is_kept:
            window = self._builds.compute_longest_window() or MAX_LEASE_SECONDS
            seconds = min(window + 2 * RENEWAL_INTERVAL_SECONDS, MAX_LEASE_SECONDS)
            granted = await self._store.grant_lease(seconds)
            self._lease = granted[0]
        self._renewal_due_at = now + RENEWAL_INTERVAL_SECONDS
        return bool(is_kept)


def encode_page(
    builds: Mapping[bytes, Build], lifetimes: Mapping[bytes, float]
) -> bytes:
    """Encode the records of streams for the store.

    Args:
        builds: Which build began each stream, by the stream's key.
        lifetimes: For how long its caller may come back, seconds.
    """
    keys: defaultdict[Build, list[bytes]] = defaultdict(list)
    for key, build in builds.items():
        keys[build].append(key)
    groups = [
        _Group(
            build.service,
            build.version,
            b''.join(group),
            [int(lifetimes[key]) for key in group],
        )
        for build, group in keys.items()
    ]
    return msgspec.msgpack.encode(groups)


def decode_page(item: Item) -> list[_Group]:
    """Decode the records of streams from the store.

    Raises:
        RecordInvalid: The content is not a valid page.
    """
    groups = decode_item(_DECODER.decode, item)
    for group in groups:
        if len(group.keys) != KEY_BYTES * len(group.lifetimes):
            raise RecordInvalid(f'{item.key}: {len(group.keys)} bytes of keys')
    return groups
