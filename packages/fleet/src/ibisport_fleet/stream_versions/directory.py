"""Finds out with which software a stream began that its caller resumes.

A caller may come back at any router within milliseconds, also after the router that
began its stream has ended. While the page of builds has several versions of a service,
each router therefore tells two others, chosen by the stream's id, as soon as a stream
has begun. The router that a caller comes back to asks these. While there is one
version, that is enough to know.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from itertools import chain

import msgspec

from ibisport_fleet.calls import Call
from ibisport_fleet.errors import PeerUnavailable
from ibisport_fleet.event_log import EventLog
from ibisport_fleet.fleet_view import CatalogueView, TargetView
from ibisport_fleet.membership import Member
from ibisport_fleet.peers import PeerHandler, decode_message
from ibisport_fleet.router_links import RouterLinks
from ibisport_fleet.settings import HostSettings
from ibisport_fleet.store import Store
from ibisport_fleet.stream_versions.build_store import BuildStore
from ibisport_fleet.stream_versions.messages import (
    KIND,
    StreamAnswer,
    StreamQuery,
    decode_begun,
)
from ibisport_fleet.stream_versions.origin import Begun
from ibisport_fleet.stream_versions.record_pages import RecordPages
from ibisport_fleet.stream_versions.record_sender import ASKED_ROUTERS, RecordSender
from ibisport_fleet.stream_versions.records import (
    StreamRecords,
    compute_key,
    compute_window,
)
from ibisport_fleet.targets import Build

QUERY_PATH = b'/streams'
# Far beyond a round trip between failure domains.
ANSWER_TIMEOUT_SECONDS = 0.25
# Sources of a finding that say that other routers have records of the stream.
RECORD_SOURCES = frozenset(('own', 'peer'))
# Two are as many as it takes to know that they don't tell which one began a stream.
MAX_ANSWERED_BUILDS = 2


@dataclass(frozen=True, slots=True)
class Found:
    """The software that began a stream is known.

    Attributes:
        build: The software.
        source: How it is known: by a record of this router (``own``) or of another one
            (``peer``), or since there was no other software by the lists of routers
            (``only``) or by the store's page of builds (``page``).
        age: Seconds since it was recorded.
    """

    build: Build
    source: str
    age: float = 0.0


@dataclass(frozen=True, slots=True)
class NotFound:
    """The software that began a stream isn't known.

    Attributes:
        reason: Why: the caller named no stream (``unnamed``), the routers that were
            asked don't know it (``unrecorded``), some didn't answer (``unanswered``)
            and another router may find out, or the page of builds couldn't be read in
            time (``unread``).
        asked: Number of routers that were asked.
        answered: How many of them answered.
        informed: How many of those knew their list for the whole window.
        builds: Number of builds that may have begun the stream; 0 if neither a list
            nor the page of builds tells.
    """

    reason: str
    asked: int = 0
    answered: int = 0
    informed: int = 0
    builds: int = 0


Finding = Found | NotFound


class StreamDirectory:
    """The software that began the recent streams of the fleet.

    Attributes:
        records: What this router knows itself.
        builds: The store's page of builds.
        record_pages: The store's pages of records.
    """

    def __init__(
        self,
        settings: HostSettings,
        links: RouterLinks,
        store: Store,
        targets: TargetView,
        builds: BuildStore,
        log: EventLog,
        is_list_current: Callable[[], bool],
    ) -> None:
        """Create an empty directory.

        Args:
            settings: The settings of this router.
            links: Reaches the other routers.
            store: Keeps the pages of records.
            targets: The listed targets.
            builds: The store's page of builds.
            log: Receives failures of the store.
            is_list_current: Returns whether the list of targets is current.
        """
        self.records = StreamRecords()
        self.builds = builds
        self._links = links
        self._targets = targets
        self._is_list_current = is_list_current
        self._sender = RecordSender(links)
        self.record_pages = RecordPages(
            settings, store, links.members, self._sender, self.records, builds, log
        )
        self._tasks: set[asyncio.Task[StreamAnswer | None]] = set()
        links.datagrams.add_handler(KIND, self._handle_begun)
        builds.change_handlers.append(self._send_if_ambiguous)

    @property
    def handlers(self) -> Mapping[bytes, PeerHandler]:
        """Handlers of queries by path."""
        return {QUERY_PATH: self._handle_query}

    def record_begin(self, call: Call, build: Build) -> None:
        """Record the software that began a stream.

        Other routers are told unless the page of builds, which outlives all routers,
        has no other software. Once it has, they are also told of the streams that
        began before.
        """
        request_id = call.metadata.request_id
        if not request_id:
            return
        key = compute_key(call, request_id)
        window = compute_window(call.route)
        now = asyncio.get_running_loop().time()
        self.records.put(key, build, now, now + window)
        self._sender.add(key, build, now + window)
        if self._list_page_builds((build.service,), window) != (build,):
            self._sender.send_unsent(now)

    def _send_if_ambiguous(self) -> None:
        """Record streams elsewhere if the page doesn't tell which build began them."""
        window = self.builds.compute_longest_window() or 0.0
        builds = self._sender.unsent_builds
        if any(
            self._list_page_builds((build.service,), window) != (build,)
            for build in builds
        ):
            self._sender.send_unsent(asyncio.get_running_loop().time())

    def record_end(self, call: Call) -> None:
        """Record that a caller got the whole stream that its request is part of."""
        if isinstance(call.origin, Begun):
            for request_id in (call.metadata.request_id, call.metadata.resumed_id):
                self._sender.remove(compute_key(call, request_id or ''))

    async def find(self, call: Call) -> Finding:
        """Return the software that began the stream that a request resumes."""
        resumed_id = call.metadata.resumed_id
        key = compute_key(call, resumed_id) if resumed_id else None
        window = compute_window(call.route)
        services = tuple(share.service for share in call.route.shares)
        query = StreamQuery(key, services, window)
        own = self._answer(query)
        if not own.recorded:
            now = asyncio.get_running_loop().time()
            await self.record_pages.wait_until_loaded(now + ANSWER_TIMEOUT_SECONDS)
            own = self._answer(query)
        if own.recorded:
            finding = _judge_record(own, 'own', 0)
        else:
            seed = key or compute_key(call, call.metadata.request_id)
            finding = await self._ask_members(seed, query, own)
        match finding:
            case Found() if key is not None:
                self._record_resumed(key, finding, window)
            case NotFound() if key is None:
                return replace(finding, reason='unnamed')
        return finding

    def _record_resumed(self, key: bytes, found: Found, window: float) -> None:
        """Record a stream that goes on here as one that this router began."""
        now = asyncio.get_running_loop().time()
        self.records.put(key, found.build, now, now + window)
        is_known = found.source in RECORD_SOURCES
        add = self._sender.add_sent if is_known else self._sender.add
        add(key, found.build, now + window)

    async def _ask_members(
        self, seed: bytes, query: StreamQuery, own: StreamAnswer
    ) -> Finding:
        """Ask the routers that may know a stream.

        A record decides at once. Without one, all lists together decide, so that no
        router relies on its own while others know more. If no list goes back far
        enough, the page of builds decides.
        """
        deadline = asyncio.get_running_loop().time() + ANSWER_TIMEOUT_SECONDS
        members = self._sender.select_members(seed, ASKED_ROUTERS)
        answers = await self._gather_answers(members, query, deadline)
        if answers and answers[-1].recorded:
            return _judge_record(answers[-1], 'peer', len(members))
        if own.builds is None and own.page is None:
            await self.builds.wait_until_read(deadline)
            own = self._answer(query)
        builds, source = _join_builds((own, *answers))
        if len(builds) == 1 and (answers or not members):
            return Found(builds.pop(), source)
        is_certain = self._links.members.listed and len(answers) == len(members)
        reason = 'unrecorded' if is_certain else 'unanswered'
        if not builds and not self.builds.is_current:
            reason = 'unread'
        informed = sum(answer.builds is not None for answer in answers)
        return NotFound(reason, len(members), len(answers), informed, len(builds))

    async def _gather_answers(
        self, members: Sequence[Member], query: StreamQuery, deadline: float
    ) -> list[StreamAnswer]:
        """Return the answers up to the first one with a record, which is the last."""
        tasks = [
            asyncio.ensure_future(self._ask(member, query, deadline))
            for member in members
        ]
        # Their connections stay usable if the other answers are read as well.
        self._tasks.update(tasks)
        answers: list[StreamAnswer] = []
        for task in tasks:
            task.add_done_callback(self._tasks.discard)
        for answering in asyncio.as_completed(tasks):
            answer = await answering
            if answer is not None:
                answers.append(answer)
                if answer.recorded:
                    break
        return answers

    async def _ask(
        self, member: Member, query: StreamQuery, deadline: float
    ) -> StreamAnswer | None:
        content = msgspec.json.encode(query)
        ask = self._links.peers.ask
        try:
            answer = await ask(member.address, QUERY_PATH, content, deadline)
            return decode_message(answer, StreamAnswer)
        except PeerUnavailable:
            return None

    def _answer(self, query: StreamQuery) -> StreamAnswer:
        """Return what this router knows of a stream."""
        if query.key is not None:
            now = asyncio.get_running_loop().time()
            record = self.records.find(query.key, now)
            if record is not None:
                builds = () if record.build is None else (record.build,)
                return StreamAnswer(builds, recorded=True, age=now - record.recorded_at)
        return StreamAnswer(
            self._list_builds(query.services, query.window),
            page=self._list_page_builds(query.services, query.window),
        )

    def _list_builds(
        self, services: tuple[str, ...], window: float
    ) -> tuple[Build, ...] | None:
        """Return the software that may have begun a stream; None: not known.

        A list that isn't current may lack newer software.
        """
        if not self._is_list_current():
            return None
        since = asyncio.get_running_loop().time() - window
        found: list[Build] = []
        for service in services:
            builds = self._targets.list_builds(service, since)
            if builds is None:
                return None
            found.extend(builds)
        return tuple(found[:MAX_ANSWERED_BUILDS])

    def _list_page_builds(
        self, services: tuple[str, ...], window: float
    ) -> tuple[Build, ...] | None:
        """Return the software that may have begun a stream, by the page of builds.

        Returns:
            The software; None: not known.
        """
        if not self._is_list_current():
            return None
        found: list[Build] = []
        for service in services:
            builds = self.builds.list_builds(service, window)
            if builds is None:
                return None
            found.extend(builds)
        return tuple(found[:MAX_ANSWERED_BUILDS])

    def _handle_begun(self, datagram: bytes, source: object) -> None:
        begun = decode_begun(datagram)
        if begun is not None:
            now = asyncio.get_running_loop().time()
            self.records.put(begun.key, begun.build, now, now + begun.lifetime)

    async def _handle_query(self, content: bytes) -> bytes:
        return msgspec.json.encode(self._answer(decode_message(content, StreamQuery)))


def build_stream_directory(
    settings: HostSettings,
    links: RouterLinks,
    store: Store,
    views: tuple[CatalogueView, TargetView],
    is_list_current: Callable[[], bool],
    log: EventLog,
) -> StreamDirectory:
    """Assemble the directory of a router.

    Args:
        settings: The settings of this router.
        links: Reaches the other routers.
        store: Keeps the page of builds and the pages of records.
        views: The catalogue and the list of targets.
        is_list_current: Returns whether the list of targets is current.
        log: Receives changes and failures of the pages.
    """
    catalogue, targets = views
    builds = BuildStore(
        store,
        targets,
        catalogue,
        log,
        is_list_current,
        first_start=settings.first_start,
    )
    links.members.listing_handlers.append(builds.apply_listing)
    return StreamDirectory(
        settings, links, store, targets, builds, log, is_list_current
    )


def _join_builds(answers: Sequence[StreamAnswer]) -> tuple[set[Build], str]:
    """Return the software that may have begun a stream, and how it is known."""
    lists = [answer.builds for answer in answers if answer.builds is not None]
    if lists:
        return set(chain.from_iterable(lists)), 'only'
    pages = [answer.page for answer in answers if answer.page is not None]
    return set(chain.from_iterable(pages)), 'page'


def _judge_record(answer: StreamAnswer, source: str, asked: int) -> Finding:
    if not answer.builds:
        return NotFound('unrecorded', asked)
    return Found(answer.builds[0], source, answer.age)
