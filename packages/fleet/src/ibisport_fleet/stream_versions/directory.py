"""Finds out with which software a stream began that its caller takes up.

A caller may come back at any router within milliseconds, also after the router that
began its stream has ended. So each router tells two others, chosen by the stream's id,
as soon as a stream has begun. The router that a caller comes back to asks these.
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec

from ibisport_fleet.calls import Call
from ibisport_fleet.errors import PeerUnavailable
from ibisport_fleet.fleet_view import TargetView
from ibisport_fleet.membership import Member
from ibisport_fleet.peers import PeerHandler, decode_message
from ibisport_fleet.router_links import RouterLinks
from ibisport_fleet.settings import HostSettings
from ibisport_fleet.stream_versions.hash_ring import HashRing
from ibisport_fleet.stream_versions.messages import (
    KIND,
    StreamAnswer,
    StreamBegun,
    StreamQuery,
    decode_begun,
    encode_begun,
)
from ibisport_fleet.stream_versions.records import (
    LIFETIME_FACTOR,
    StreamRecords,
    compute_key,
)
from ibisport_fleet.targets import Build

QUERY_PATH = b'/streams'
# Any one of them may end with the router that began the stream.
REPLICAS = 2
# The lists of two routers may differ by a router or two, such as the one that began the
# stream.
ASKED_ROUTERS = 4
# Far beyond a round trip between failure domains.
ANSWER_TIMEOUT_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class Found:
    """The software that began a stream is known.

    Attributes:
        build: The software.
        source: How it is known: a record of this router (``own``), of another one
            (``peer``), or there was no other software (``only``).
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
            asked don't know it (``unrecorded``), or some didn't answer
            (``unanswered``) and another router may find out.
        asked: Number of routers that were asked.
    """

    reason: str
    asked: int = 0


Finding = Found | NotFound


class StreamDirectory:
    """The software that began the recent streams of the fleet.

    Attributes:
        records: What this router knows itself.
    """

    def __init__(
        self,
        settings: HostSettings,
        links: RouterLinks,
        targets: TargetView,
        read_confirmed_at: Callable[[], float],
    ) -> None:
        """Create an empty directory.

        Args:
            settings: The settings of this router.
            links: Reaches the other routers.
            targets: The listed targets.
            read_confirmed_at: Returns the loop time at which the list was current.
        """
        self.records = StreamRecords()
        self._max_list_age = settings.bounds.max_propagation_delay
        self._links = links
        self._targets = targets
        self._read_confirmed_at = read_confirmed_at
        self._ring = HashRing()
        links.datagrams.add_handler(KIND, self._handle_begun)

    @property
    def handlers(self) -> Mapping[bytes, PeerHandler]:
        """Handlers of queries by path."""
        return {QUERY_PATH: self._handle_query}

    def record(self, call: Call, build: Build) -> None:
        """Record the software that began a stream, here and at other routers."""
        request_id = call.metadata.request_id
        if not request_id:
            return
        key = compute_key(call, request_id)
        lifetime = LIFETIME_FACTOR * call.route.time_limit
        self._put(key, build, lifetime)
        datagram = encode_begun(StreamBegun(key, build, lifetime))
        if datagram is not None:
            for member in self._select_members(key, REPLICAS):
                self._links.datagrams.send(datagram, member.address)

    async def find(self, call: Call) -> Finding:
        """Return the software that began the stream that a request takes up."""
        resumed_id = call.metadata.resumed_id
        if resumed_id:
            finding = await self._find_named(call, resumed_id)
        else:
            finding = NotFound('unnamed')
        if isinstance(finding, Found):
            return finding
        only = self._find_only_build(call)
        return finding if only is None else Found(only, 'only')

    async def _find_named(self, call: Call, resumed_id: str) -> Finding:
        key = compute_key(call, resumed_id)
        now = asyncio.get_running_loop().time()
        record = self.records.find(key, now)
        if record is not None:
            if record.build is None:
                return NotFound('unrecorded')
            return Found(record.build, 'own', now - record.recorded_at)
        finding = await self._ask_members(key)
        if isinstance(finding, Found):
            lifetime = LIFETIME_FACTOR * call.route.time_limit
            self._put(key, finding.build, lifetime)
        return finding

    async def _ask_members(self, key: bytes) -> Finding:
        """Ask the routers that may have a record; return the first one."""
        members = self._select_members(key, ASKED_ROUTERS)
        deadline = asyncio.get_running_loop().time() + ANSWER_TIMEOUT_SECONDS
        tasks = [
            asyncio.ensure_future(self._ask(member, key, deadline))
            for member in members
        ]
        answered = 0
        try:
            for answering in asyncio.as_completed(tasks):
                answer = await answering
                if answer is not None and answer.build is not None:
                    return Found(answer.build, 'peer', answer.age)
                answered += answer is not None
        finally:
            for task in tasks:
                task.cancel()
        is_certain = self._links.members.listed and answered == len(members)
        reason = 'unrecorded' if is_certain else 'unanswered'
        return NotFound(reason, len(members))

    async def _ask(
        self, member: Member, key: bytes, deadline: float
    ) -> StreamAnswer | None:
        content = msgspec.json.encode(StreamQuery(key))
        ask = self._links.peers.ask
        try:
            answer = await ask(member.address, QUERY_PATH, content, deadline)
            return decode_message(answer, StreamAnswer)
        except PeerUnavailable:
            return None

    def _find_only_build(self, call: Call) -> Build | None:
        """Return the only software that can have begun a stream of a route, or None.

        A list that isn't current may lack newer software.
        """
        now = asyncio.get_running_loop().time()
        if now - self._read_confirmed_at() > self._max_list_age:
            return None
        since = now - LIFETIME_FACTOR * call.route.time_limit
        builds = [
            self._targets.find_only_build(share.service, since)
            for share in call.route.shares
        ]
        return builds[0] if len(builds) == 1 else None

    def _select_members(self, key: bytes, count: int) -> list[Member]:
        members = self._links.members
        self._ring.update(members.current)
        return self._ring.select(key, count, members.own.host)

    def _put(self, key: bytes, build: Build, lifetime: float) -> None:
        now = asyncio.get_running_loop().time()
        self.records.put(key, build, now, now + lifetime)

    def _handle_begun(self, datagram: bytes, source: object) -> None:
        begun = decode_begun(datagram)
        if begun is not None:
            self._put(begun.key, begun.build, begun.lifetime)

    async def _handle_query(self, content: bytes) -> bytes:
        query = decode_message(content, StreamQuery)
        now = asyncio.get_running_loop().time()
        record = self.records.find(query.key, now)
        if record is None:
            return msgspec.json.encode(StreamAnswer(None))
        age = now - record.recorded_at
        return msgspec.json.encode(StreamAnswer(record.build, age))
