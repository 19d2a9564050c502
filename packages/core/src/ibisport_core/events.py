"""Numbered log events; docs/EVENTS.md is their catalogue.

eliot writes one JSON object a line to standard error. A number is never used
again for another meaning.
"""

import sys
import threading
from enum import IntEnum

import eliot


class Event(IntEnum):
    """Every event that a process logs."""

    process_started = 1001
    process_stopping = 1002
    process_stopped = 1003
    unexpected_failure = 1005
    link_opened = 1101
    link_lost = 1102
    link_refused = 1103
    frame_refused = 1104
    peer_draining = 1105
    store_failed = 1201
    watch_lost = 1203
    catalogue_changed = 1204
    session_opened = 1301
    session_lost = 1302
    session_closed = 1303
    grant_returned = 1305
    budget_short = 1306
    agent_listed = 1307
    agent_unlisted = 1308
    agent_gone = 1309
    recovery_began = 1401
    recovery_waits = 1402
    recovery_done = 1403
    session_fenced = 1404
    session_missed = 1405
    recovery_put_off = 1406
    recovery_failed = 1407
    request_retried = 1502
    request_unknown = 1504
    target_failed = 1601
    target_draining = 1602


def start_log() -> None:
    """Write the log of this process to standard error."""
    eliot.to_file(sys.stderr)
    threading.excepthook = _log_dead_thread


def log_event(event: Event, **details: object) -> None:
    """Write one event.

    Args:
        event: Its number and name.
        details: JSON-able facts about it; never keys, prompts or answers.
    """
    eliot.log_message(message_type=event.name, event=int(event), **details)


def _log_dead_thread(fault: threading.ExceptHookArgs) -> None:
    """Say which task of the process has ended: the others go on without it."""
    name = fault.thread.name if fault.thread else ''
    log_event(Event.unexpected_failure, task=name, detail=repr(fault.exc_value))
    threading.__excepthook__(fault)
