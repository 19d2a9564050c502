"""Sends other routers the records of the streams in progress at this router."""

import asyncio
from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from ibisport_fleet.membership import Member
from ibisport_fleet.router_links import RouterLinks
from ibisport_fleet.store import Listing
from ibisport_fleet.stream_versions.hash_ring import HashRing
from ibisport_fleet.stream_versions.messages import StreamBegun, encode_begun
from ibisport_fleet.targets import Build

# Any one of them may end with the router that began the stream.
REPLICAS = 2
# The lists of two routers may differ by a router or two, such as the one that began the
# stream.
ASKED_ROUTERS = 4
# Streams in progress at a router, at the most.
MAX_STREAMS = 4_096


@dataclass(frozen=True, slots=True)
class StreamInProgress:
    """A stream in progress.

    Attributes:
        build: The software that began it.
        expires_at: Loop time after which its caller doesn't come back.
    """

    build: Build
    expires_at: float


class RecordSender:
    """Sends records of streams to the routers that a hash of the stream selects.

    Records are lost with the routers that have them, so those that have started since
    get the records of the streams that are still in progress.
    """

    def __init__(self, links: RouterLinks) -> None:
        """Create a sender without streams.

        Args:
            links: Reaches the other routers.
        """
        self._links = links
        self._ring = HashRing()
        self._unsent: OrderedDict[bytes, StreamInProgress] = OrderedDict()
        self._sent: OrderedDict[bytes, StreamInProgress] = OrderedDict()
        self._listed: set[str] = set()
        links.members.listing_handlers.append(self._handle_listing)

    def add(self, key: bytes, build: Build, expires_at: float) -> None:
        """Add a stream that is in progress and that no other router knows.

        Args:
            key: Key of the stream.
            build: The software that began it.
            expires_at: Loop time after which its caller doesn't come back.
        """
        _put(self._unsent, key, StreamInProgress(build, expires_at))

    def add_sent(self, key: bytes, build: Build, expires_at: float) -> None:
        """Add a stream that is in progress and that other routers know."""
        _put(self._sent, key, StreamInProgress(build, expires_at))

    def remove(self, key: bytes) -> None:
        """Remove a stream whose caller has all of it."""
        self._unsent.pop(key, None)
        self._sent.pop(key, None)

    @property
    def unsent_builds(self) -> set[Build]:
        """The software of the streams that no other router knows."""
        return {stream.build for stream in self._unsent.values()}

    def list_sent(self, now: float) -> Mapping[bytes, StreamInProgress]:
        """Return a copy of the streams in progress that other routers know, by key."""
        self._drop_expired(now)
        return dict(self._sent)

    def send_unsent(self, now: float) -> None:
        """Send the records of all streams that no other router knows."""
        self._update_ring()
        for key, stream in self._unsent.items():
            self._send(key, stream, self._select_replicas(key), now)
            _put(self._sent, key, stream)
        self._unsent.clear()

    def select_members(self, key: bytes, count: int) -> list[Member]:
        """Return the first other routers for a stream.

        Args:
            key: Key of the stream.
            count: Maximum number of routers.
        """
        self._update_ring()
        return self._ring.select(key, count, self._links.members.own.host)

    def is_asked(self, key: bytes) -> bool:
        """Return whether other routers ask this one for a stream."""
        self._update_ring()
        # A router that asks leaves itself out.
        first = self._ring.select(key, ASKED_ROUTERS + 1, '')
        return self._links.members.own in first

    def _update_ring(self) -> None:
        self._ring.update(self._links.members.current)

    def _select_replicas(self, key: bytes) -> list[Member]:
        return self._ring.select(key, REPLICAS, self._links.members.own.host)

    def _handle_listing(self, listing: Listing) -> None:
        """Send records to routers that have started since the listing before."""
        members = self._links.members
        listed = {member.incarnation for member in members.list_others()}
        started = listed - self._listed
        self._listed = listed
        if started:
            self._send_to(started, asyncio.get_running_loop().time())

    def _send_to(self, incarnations: Collection[str], now: float) -> None:
        self._update_ring()
        self._drop_expired(now)
        for key, stream in self._sent.items():
            receivers = [
                member
                for member in self._select_replicas(key)
                if member.incarnation in incarnations
            ]
            self._send(key, stream, receivers, now)

    def _drop_expired(self, now: float) -> None:
        expired = [
            key for key, stream in self._sent.items() if stream.expires_at <= now
        ]
        for key in expired:
            self._sent.pop(key)

    def _send(
        self,
        key: bytes,
        stream: StreamInProgress,
        receivers: Iterable[Member],
        now: float,
    ) -> None:
        if stream.expires_at <= now:
            return
        begun = StreamBegun(key, stream.build, stream.expires_at - now)
        datagram = encode_begun(begun)
        if datagram is None:
            return
        for member in receivers:
            self._links.datagrams.send(datagram, member.address)


def _put(
    streams: OrderedDict[bytes, StreamInProgress], key: bytes, stream: StreamInProgress
) -> None:
    streams[key] = stream
    if len(streams) > MAX_STREAMS:
        streams.popitem(last=False)
