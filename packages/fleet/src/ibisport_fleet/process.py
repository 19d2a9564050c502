"""Runs a router or a relay as a process."""

import asyncio
import gc
import signal
import sys

import uvloop

from ibisport_fleet.adapters import Adapters
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.load_feed.feeds import run_relay_feed, uses_relay_feed
from ibisport_fleet.loop_delays import record_delays
from ibisport_fleet.relay import EXIT_MARGIN_SECONDS, Relay, RelayAdapters
from ibisport_fleet.router import Router
from ibisport_fleet.settings import HostSettings

# Exit code of a router that stopped because a background task failed.
FAILURE_EXIT_CODE = 1


def run_router(settings: HostSettings, adapters: Adapters) -> None:
    """Serve requests until the process is asked to stop.

    Args:
        settings: The settings of this process.
        adapters: The platform's adapters.
    """
    # Imported objects are never freed, so the garbage collector can skip them.
    gc.freeze()
    if uvloop.run(_run_router(settings, adapters)):
        sys.exit(FAILURE_EXIT_CODE)


def run_relay(settings: HostSettings, adapters: RelayAdapters) -> None:
    """Relay store calls until the process is asked to stop.

    Args:
        settings: The settings of this process.
        adapters: The platform's adapters.
    """
    gc.freeze()
    uvloop.run(_run_relay(settings, adapters))


async def _run_relay(settings: HostSettings, adapters: RelayAdapters) -> None:
    log = EventLog()
    delays = asyncio.create_task(record_delays(log))
    relay = Relay(settings, adapters, log)
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    # A relay has nothing to reload; `int` serves as a handler without an effect.
    loop.add_signal_handler(signal.SIGHUP, int)
    _unblock_sighup()
    accept = relay.connections.accept
    listener = await loop.create_server(accept, *settings.peer_address)
    log.write(Event.process_started, host=settings.host, domain=settings.domain)
    feed = _start_relay_feed(settings, adapters, log)
    await stopped.wait()
    if feed is not None:
        feed.cancel()
    killed_at = loop.time() + settings.bounds.stop_grace
    log.write(Event.process_stopping, host=settings.host, in_flight=relay.in_flight)
    listener.close()
    await relay.drain(killed_at - EXIT_MARGIN_SECONDS)
    _ignore_sighup()
    delays.cancel()
    log.write(Event.process_stopped, host=settings.host)


def _start_relay_feed(
    settings: HostSettings, adapters: RelayAdapters, log: EventLog
) -> asyncio.Task[None] | None:
    """Start the load feed if the settings call for it."""
    if adapters.report_codec is None or not uses_relay_feed(settings):
        return None
    coroutine = run_relay_feed(settings, adapters.report_codec, log)
    task = asyncio.get_running_loop().create_task(coroutine)

    def log_failure(ended: asyncio.Task[None]) -> None:
        # Store calls are still forwarded without the feed.
        if not ended.cancelled():
            error = ended.exception()
            log.write_error(Event.task_failed, error, task='load feed')

    task.add_done_callback(log_failure)
    return task


async def _run_router(settings: HostSettings, adapters: Adapters) -> bool:
    """Serve, and return whether a background task of the router failed."""
    log = EventLog()
    delays = asyncio.create_task(record_delays(log))
    router = Router(settings, adapters, log)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, router.stop)
    loop.add_signal_handler(signal.SIGINT, router.stop)
    loop.add_signal_handler(signal.SIGHUP, router.reload)
    _unblock_sighup()
    await router.run()
    _ignore_sighup()
    delays.cancel()
    return router.failed


def _ignore_sighup() -> None:
    """Ignore SIGHUP from now on.

    The event loop would restore the default, which ends a process, before it exits.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _unblock_sighup() -> None:
    """Unblock SIGHUP, which the program blocks until its handler is installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
