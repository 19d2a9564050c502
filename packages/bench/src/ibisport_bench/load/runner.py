"""Sends the requests of a run at their due times, each in its own thread."""

import sys
import threading
import time
from collections.abc import Sequence

from ibisport_bench.load.arrivals import Arrival, draw_arrivals
from ibisport_bench.load.caller import Caller
from ibisport_bench.load.config import LoadConfig
from ibisport_bench.load.recording import Recorder

_PROGRESS_INTERVAL_SECONDS = 5.0
_JOIN_MARGIN_SECONDS = 5.0


def run_load(config: LoadConfig, routers: Sequence[str]) -> Recorder:
    """Run a load against routers until all requests have ended.

    Requests that are still open twice the patience and a margin after the last request
    was sent are counted as ``unfinished``.

    Args:
        config: Configuration of the run.
        routers: Addresses of routers, ``host:port``.

    Returns:
        Latencies and counts of the callers.
    """
    recorder = Recorder()
    caller = Caller(config, routers, recorder)
    arrivals = draw_arrivals(config, len(routers))
    threads = _send_arrivals(arrivals, caller, recorder)
    deadline = time.monotonic() + config.patience * 2 + _JOIN_MARGIN_SECONDS
    for thread in threads:
        thread.join(max(0, deadline - time.monotonic()))
    unfinished = sum(thread.is_alive() for thread in threads)
    recorder.count('arrivals', len(arrivals))
    recorder.count('unfinished', unfinished)
    caller.close()
    return recorder


def _send_arrivals(
    arrivals: Sequence[Arrival], caller: Caller, recorder: Recorder
) -> list[threading.Thread]:
    threads = []
    started_at = time.monotonic()
    printed_at = started_at
    for arrival in arrivals:
        due_at = started_at + arrival.at
        time.sleep(max(0, due_at - time.monotonic()))
        thread = threading.Thread(
            target=caller.run, args=(arrival, due_at), daemon=True
        )
        thread.start()
        threads.append(thread)
        if time.monotonic() - printed_at > _PROGRESS_INTERVAL_SECONDS:
            printed_at = time.monotonic()
            _print_progress(arrival, len(arrivals), recorder)
    return threads


def _print_progress(arrival: Arrival, count: int, recorder: Recorder) -> None:
    answered = recorder.read_count('answered')
    sys.stderr.write(f'{arrival.number + 1}/{count} sent, {answered} answered\n')
