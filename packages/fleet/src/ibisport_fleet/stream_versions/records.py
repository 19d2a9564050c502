"""Which build began each recent stream, as far as this router knows."""

from collections import OrderedDict
from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from ibisport_fleet.calls import Call
from ibisport_fleet.catalogue import Route
from ibisport_fleet.targets import Build

KEY_BYTES = 8
# About 8 MB. A router of the target size (docs/CAPACITY.md) has under 10,000 records
# whose lifetime is a minute.
MAX_RECORDS = 32_768
# A stream, and the wait until its caller comes back, each last at most the time limit
# of the route.
LIFETIME_FACTOR = 2.0
MAX_LIFETIME_SECONDS = 3_600


@dataclass(frozen=True, slots=True)
class StreamRecord:
    """What is known of one stream.

    Attributes:
        build: The software that began it; None: two streams with the same id began
            with different software.
        recorded_at: Loop time at which this router learned it.
        expires_at: Loop time after which its caller doesn't come back.
    """

    build: Build | None
    recorded_at: float
    expires_at: float


class StreamRecords:
    """A limited number of records, by the key of their stream."""

    def __init__(self) -> None:
        self._records: OrderedDict[bytes, StreamRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def put(self, key: bytes, build: Build, now: float, expires_at: float) -> None:
        """Record which build began a stream.

        Args:
            key: Key of the stream.
            build: The software.
            now: Loop time.
            expires_at: Loop time after which the record isn't needed.
        """
        known = self.find(key, now)
        self._records.pop(key, None)
        is_ambiguous = known is not None and known.build != build
        self._records[key] = StreamRecord(
            None if is_ambiguous else build, now, expires_at
        )
        self._drop_oldest(now)

    def find(self, key: bytes, now: float) -> StreamRecord | None:
        """Return the record of a stream, or None."""
        record = self._records.get(key)
        return None if record is None or record.expires_at < now else record

    def _drop_oldest(self, now: float) -> None:
        while self._records:
            oldest = next(iter(self._records.values()))
            if len(self._records) <= MAX_RECORDS and oldest.expires_at >= now:
                return
            self._records.popitem(last=False)


def compute_window(route: Route) -> float:
    """Return how long ago a stream that is resumed may have begun, seconds."""
    return min(LIFETIME_FACTOR * route.time_limit, MAX_LIFETIME_SECONDS)


def compute_key(call: Call, request_id: str) -> bytes:
    """Return the key of the stream that a request began.

    The workspace is a part of it, so that no caller learns or changes what is known of
    the streams of others.

    Args:
        call: A request of the same caller.
        request_id: Id of the request that brought the first event.
    """
    owner = call.metadata.key if call.workspace is None else call.workspace.name
    identity = msgspec.json.encode((owner or '', request_id))
    return blake2b(identity, digest_size=KEY_BYTES).digest()
