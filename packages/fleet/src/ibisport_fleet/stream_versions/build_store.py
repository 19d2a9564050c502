"""Keeps in the store which builds may have begun streams.

What routers remember of their lists of targets ends with them. The page of builds is
what is left after all of them have restarted, in turn or at once. It is written only
when a build appears, or long after one has gone.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Set

from ibisport_fleet.calls import draw_jittered_delay
from ibisport_fleet.errors import RecordInvalid, StoreError
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.fleet_view import CatalogueView, TargetView
from ibisport_fleet.store import Condition, Conflict, Item, Listing, Put, Store, Written
from ibisport_fleet.stream_versions.build_page import (
    PAGE_KEY,
    BuildPage,
    decode_page,
    encode_page,
)
from ibisport_fleet.stream_versions.records import compute_window
from ibisport_fleet.targets import Build

# A router that is cut off from the store may begin streams for this long at a build
# that the others no longer list.
RETENTION_MARGIN_SECONDS = 60.0
CHECK_INTERVAL_SECONDS = 2.0
# All routers see a new build at the same moment, and one write is enough.
MAX_WRITE_DELAY_SECONDS = 0.3
# Far more than the versions that serve within minutes; about 40 KB.
MAX_BUILDS = 1_024
MIN_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 4.0


class BuildStore:
    """Synchronizes the listed builds with their page in the store.

    Attributes:
        change_handlers: Called when the builds that may have begun streams may have
            changed.
    """

    def __init__(
        self,
        store: Store,
        targets: TargetView,
        catalogue: CatalogueView,
        log: EventLog,
        is_list_current: Callable[[], bool],
        *,
        first_start: bool,
    ) -> None:
        """Create an instance that doesn't know the page yet.

        Args:
            store: Keeps the page.
            targets: The listed targets.
            catalogue: Its routes tell how long callers may come back.
            log: Receives writes and failures.
            is_list_current: Returns whether the list of targets is current.
            first_start: Whether no router has run before, so that the first page is
                complete.
        """
        self.change_handlers: list[Callable[[], None]] = []
        self._store = store
        self._targets = targets
        self._catalogue = catalogue
        self._log = log
        self._is_list_current = is_list_current
        self._first_start = first_start
        self._page = BuildPage()
        self._revision = 0
        # Number of the newest full listing after which the page was read.
        self._covered_listings = 0
        self._was_read = asyncio.Event()
        self._backoff = MIN_BACKOFF_SECONDS

    def __len__(self) -> int:
        return len(self._page.builds)

    @property
    def is_current(self) -> bool:
        """Whether the page was read after the newest full listing of targets."""
        return self._covered_listings == self._targets.listings

    def is_recorded(self, build: Build) -> bool:
        """Return whether the page has a build."""
        return build in self._page.builds

    def list_builds(self, service: str, window: float) -> Set[Build] | None:
        """Return the builds of a service that may have begun a stream.

        The page tells those before the newest full listing, the list those since then.

        Args:
            service: Name of the service.
            window: How long ago the stream may have begun, seconds.

        Returns:
            The builds; None: not known.
        """
        if not self._page.complete or not self.is_current:
            return None
        since = asyncio.get_running_loop().time() - window
        builds = self._page.builds | self._targets.list_all_builds(since)
        return {build for build in builds if build.service == service}

    @property
    def is_ambiguous(self) -> bool:
        """Whether a service may have had several builds lately."""
        services = [build.service for build in self._page.builds]
        return not self._page.complete or len(set(services)) < len(services)

    async def wait_until_read(self, deadline: float | None = None) -> None:
        """Wait until the page is read, or until a loop time if there is one."""
        if self._covered_listings and self.is_current:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                await self._was_read.wait()

    def compute_longest_window(self) -> float | None:
        """Return how long ago any stream may have begun; None: not known."""
        catalogue = self._catalogue.current
        if catalogue is None:
            return None
        return max(map(compute_window, catalogue.routes), default=0.0)

    def apply_listing(self, listing: Listing) -> None:
        """Apply the page of a listing, which may be stale."""
        for item in listing.items:
            if item.key == PAGE_KEY and item.revision > self._revision:
                self._apply_item(item)

    async def run(self) -> None:
        """Keep the page up to date until cancelled."""
        while True:
            self._targets.builds_changed.clear()
            for handle in self.change_handlers:
                handle()
            try:
                await self._synchronize()
            except StoreError as error:
                self._log.write(Event.builds_unsaved, reason=repr(error))
                await asyncio.sleep(draw_jittered_delay(self._backoff))
                self._backoff = min(2 * self._backoff, MAX_BACKOFF_SECONDS)
                continue
            self._backoff = MIN_BACKOFF_SECONDS
            await self._wait()

    async def _wait(self) -> None:
        """Wait until a build appears or the next check is due."""
        delay = draw_jittered_delay(CHECK_INTERVAL_SECONDS)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay):
                await self._targets.builds_changed.wait()

    async def _synchronize(self) -> None:
        """Read the page after a full listing, and write it if it has to change."""
        if not self._targets.listings:
            return
        if not self.is_current:
            await self._read()
        if self._plan_page() == self._page:
            return
        await asyncio.sleep(random.uniform(0, MAX_WRITE_DELAY_SECONDS))
        await self._read()
        page = self._plan_page()
        if page != self._page:
            await self._write(page)

    async def _read(self) -> None:
        listings = self._targets.listings
        item = await self._store.read(PAGE_KEY)
        if item is None:
            self._page, self._revision = BuildPage(), 0
        elif item.revision > self._revision:
            self._apply_item(item)
        self._covered_listings = listings
        was_read, self._was_read = self._was_read, asyncio.Event()
        was_read.set()

    async def _write(self, page: BuildPage) -> None:
        condition = Condition(PAGE_KEY, self._revision)
        put = Put(PAGE_KEY, encode_page(page))
        written = await self._store.write((condition,), (put,))
        match written:
            case Written(revision=revision):
                if revision > self._revision:
                    self._page, self._revision = page, revision
                self._first_start = False
                self._log.write(
                    Event.builds_recorded,
                    builds=len(page.builds),
                    complete=page.complete,
                    revision=revision,
                )
            case Conflict():
                # The next round reads the page that another router has written.
                self._targets.builds_changed.set()

    def _apply_item(self, item: Item) -> None:
        try:
            page = decode_page(item)
        except RecordInvalid as error:
            self._log.write(Event.record_refused, reason=str(error)[:200])
            # The next write replaces the invalid page.
            page = BuildPage()
        self._page, self._revision = page, item.revision
        self._first_start = False

    def _plan_page(self) -> BuildPage:
        """Return what the page should be, by what this router knows."""
        now = asyncio.get_running_loop().time()
        window = self.compute_longest_window()
        targets = self._targets
        seen = targets.list_all_builds(now if window is None else now - window)
        builds = self._page.builds | seen
        complete = self._page.complete or self._first_start
        if window is not None and self._is_list_current():
            complete = complete or targets.is_known_since(now - window)
            retained_since = now - window - RETENTION_MARGIN_SECONDS
            if targets.is_known_since(retained_since):
                builds &= targets.list_all_builds(retained_since)
        if len(builds) > MAX_BUILDS:
            return BuildPage(frozenset(targets.targets.builds), complete=False)
        return BuildPage(builds, complete)
