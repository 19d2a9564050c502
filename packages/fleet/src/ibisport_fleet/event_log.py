"""Writes numbered log events, one JSON object per line; docs/EVENTS.md lists them."""

import os
import time
import traceback
from enum import IntEnum

import msgspec

# Sustained rate and burst size. A line costs about 15 us, so the log takes less than
# 0.2 % of a core at the sustained rate.
MAX_LINES_PER_SECOND = 100.0
MAX_BURST_LINES = 400.0
MAX_REASON_LENGTH = 200


class Event(IntEnum):
    """All events that this package logs; numbers are never reused."""

    process_started = 2001
    process_stopping = 2002
    process_stopped = 2003
    settings_reloaded = 2004
    task_failed = 2005
    listener_closed = 2006
    process_held = 2007
    store_lost = 2101
    store_regained = 2102
    watch_lost = 2103
    store_way_regained = 2104
    members_changed = 2105
    members_unknown = 2106
    watch_shared = 2107
    answer_cut = 2108
    answer_slow = 2109
    watch_ended = 2110
    notice_lost = 2111
    catalogue_changed = 2201
    record_refused = 2202
    target_added = 2301
    target_draining = 2302
    target_gone = 2303
    target_lapsed = 2304
    target_ended = 2305
    target_limited = 2306
    target_paused = 2307
    domain_evacuated = 2308
    shares_borrowed = 2309
    engine_paced = 2310
    part_spread = 2311
    builds_recorded = 2312
    builds_unsaved = 2313
    streams_unsaved = 2314
    load_feed_started = 2320
    load_feed_lost = 2321
    load_feed_unavailable = 2322
    load_report_lost = 2323
    load_report_regained = 2324
    request_refused = 2401
    request_sent = 2402
    request_served = 2403
    request_failed = 2404
    request_left = 2405
    request_resumed = 2406
    request_cut = 2407
    request_quarantined = 2408
    quarantine_lifted = 2409
    quarantine_unsaved = 2410
    part_probed = 2411
    connection_idle = 2412
    request_error = 2413
    request_queued = 2420
    request_not_queued = 2421
    stream_continued = 2430
    copy_missing = 2431
    target_silent = 2432
    request_hedged = 2433
    stream_origin_found = 2434
    stream_origin_unknown = 2435
    budget_opened = 2501
    budget_unknown = 2502
    lender_lost = 2503
    standby_begun = 2510
    standby_ended = 2511
    lender_late = 2512
    lines_dropped = 2901


class EventLog:
    """Writes events to a file descriptor without blocking on its reader.

    Lines beyond the rate limit, and lines that the reader isn't ready for, are dropped
    and counted. The count is written before the next line that fits.
    """

    def __init__(self, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._encoder = msgspec.json.Encoder()
        self._available_lines = MAX_BURST_LINES
        self._refilled_at = time.monotonic()
        self._dropped = 0
        self._unwritten = b''
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines dropped since the last count that was written."""
        return self._dropped

    def refill(self, seconds: float) -> None:
        """Add the lines that the rate limit allows for some seconds."""
        earned = seconds * MAX_LINES_PER_SECOND
        self._available_lines = min(MAX_BURST_LINES, self._available_lines + earned)

    def write(self, event: Event, **details: object) -> None:
        """Write one event.

        Args:
            event: Number and name of the event.
            details: Fields of the event; never keys, prompts or answers.
        """
        now = time.monotonic()
        self.refill(now - self._refilled_at)
        self._refilled_at = now
        if self._available_lines < 1 or not self._flush():
            self._dropped += 1
            return
        self._available_lines -= 1
        if self._dropped:
            self._append(Event.lines_dropped, now, {'lines': self._dropped})
            self._dropped = 0
        self._append(event, now, details)

    def write_error(
        self, event: Event, error: BaseException | None, **details: object
    ) -> None:
        """Write an event about an error, with its reason and its place.

        Args:
            event: Number and name of the event.
            error: The error; None: what should have gone on ended without one.
            details: Fields of the event; never keys, prompts or answers.
        """
        place = None if error is None else _find_place(error)
        reason = repr(error)[:MAX_REASON_LENGTH]
        self.write(event, **details, reason=reason, place=place)

    def _append(self, event: Event, now: float, details: dict[str, object]) -> None:
        record = {
            'timestamp': round(time.time(), 3),
            'clock': round(now, 4),
            'event': int(event),
            'message_type': event.name,
            **details,
        }
        self._unwritten += self._encoder.encode(record) + b'\n'
        self._flush()

    def _flush(self) -> bool:
        if not self._unwritten:
            return True
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return False
        except OSError:
            # The reader is gone, so the lines can't be written any more.
            self._unwritten = b''
            return True
        self._unwritten = self._unwritten[written:]
        return not self._unwritten


def _find_place(error: BaseException) -> str:
    """Return the file and the line at which an error was raised."""
    frames = traceback.extract_tb(error.__traceback__, limit=-1)
    return (
        f'{os.path.basename(frames[-1].filename)}:{frames[-1].lineno}' if frames else ''
    )
