"""Watch streams of newline-delimited JSON messages."""

import json
import queue
import time
from collections.abc import Iterator
from functools import partial

from ibisport_bench.standins.store.database import Batch, Database, Watch
from ibisport_bench.standins.store.encoding import (
    Fields,
    encode_change,
    encode_header,
)
from ibisport_bench.standins.store.faults import FaultControl
from ibisport_bench.standins.store.limits import Counts
from ibisport_bench.standins.store.messages import WatchCreateRequest
from ibisport_bench.standins.store.records import KeyRange
from ibisport_bench.standins.web import Call, pause_while

POLL_INTERVAL_SECONDS = 0.5
DEFAULT_PROGRESS_SECONDS = 10


class WatchStreams:
    """Opens and serves watch streams."""

    def __init__(
        self,
        database: Database,
        fault_control: FaultControl,
        counts: Counts,
        progress_seconds: float = DEFAULT_PROGRESS_SECONDS,
    ) -> None:
        """Serve the watches of a database, subject to the faults in force."""
        self._database = database
        self._fault_control = fault_control
        self._counts = counts
        self._progress_seconds = progress_seconds

    def stream(
        self, call: Call, request: WatchCreateRequest, label: str
    ) -> Iterator[bytes]:
        """Yield the messages of a watch until it ends or the client disconnects."""
        watch = self._open(request)
        compacted = self._database.compacted
        self._counts.count_open_watch(label, 1)
        try:
            yield self._encode({'created': True})
            if request.start_revision and request.start_revision < compacted:
                cancellation = {'canceled': True, 'compact_revision': str(compacted)}
                yield self._encode(cancellation)
                return
            yield from self._stream_changes(call, watch, request, label)
        finally:
            self._counts.count_open_watch(label, -1)
            with self._database.lock:
                self._database.remove_watch(watch)

    def _open(self, request: WatchCreateRequest) -> Watch:
        key_range = KeyRange(request.key, request.range_end)
        with self._database.lock:
            first_revision = request.start_revision or self._database.revision + 1
            watch = Watch(key_range, first_revision)
            self._database.add_watch(watch)
            return watch

    def _stream_changes(
        self, call: Call, watch: Watch, request: WatchCreateRequest, label: str
    ) -> Iterator[bytes]:
        is_held = partial(self._are_events_held, label)
        progress_at = time.monotonic() + self._progress_seconds
        while not self._fault_control.faults.down and not call.is_abandoned():
            try:
                batch = watch.batches.get(timeout=POLL_INTERVAL_SECONDS)
            except queue.Empty:
                batch = ()
            if batch is None:
                return
            pause_while(is_held, call)
            if batch:
                yield self._encode_batch(batch, request.prev_kv)
            elif request.progress_notify and time.monotonic() >= progress_at:
                progress_at = time.monotonic() + self._progress_seconds
                yield self._encode({})

    def _are_events_held(self, label: str) -> bool:
        faults = self._fault_control.faults
        return faults.hold_watches or self._fault_control.is_partitioned(label)

    def _encode_batch(self, batch: Batch, with_previous: bool) -> bytes:
        events = [encode_change(change, with_previous) for change in batch]
        revision = batch[0].pair.mod_revision
        return self._encode({'events': events}, revision)

    def _encode(self, fields: Fields, revision: int = 0) -> bytes:
        header = encode_header(revision or self._database.revision)
        message = {'result': {'header': header, **fields}}
        return json.dumps(message).encode() + b'\n'
