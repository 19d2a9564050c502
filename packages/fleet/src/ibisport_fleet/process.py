"""Runs a router as the process's only work."""

import asyncio
import gc
import signal
import sys

import uvloop

from ibisport_fleet.adapters import Adapters
from ibisport_fleet.eventlog import Event, EventLog
from ibisport_fleet.relay import EXIT_MARGIN_SECONDS, Relay, RelayAdapters
from ibisport_fleet.router import Router
from ibisport_fleet.settings import HostSettings

# Exit code of a process that ended since a part of it failed.
FAILURE_CODE = 1


def run_router(settings: HostSettings, adapters: Adapters) -> None:
    """Serve until the process is told to stop.

    Args:
        settings: Who this process is.
        adapters: The platform's adapter.
    """
    # What was imported lives for ever; the collector needn't look at it again.
    gc.freeze()
    if uvloop.run(_run(settings, adapters)):
        sys.exit(FAILURE_CODE)


def run_relay(settings: HostSettings, adapters: RelayAdapters) -> None:
    """Pass store calls on until the process is told to stop.

    Args:
        settings: Who this process is.
        adapters: The platform's adapter.
    """
    gc.freeze()
    uvloop.run(_run_relay(settings, adapters))


async def _run_relay(settings: HostSettings, adapters: RelayAdapters) -> None:
    log = EventLog()
    relay = Relay(settings, adapters, log)
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    # A relay has nothing to reload.
    loop.add_signal_handler(signal.SIGHUP, int)
    _let_hangups_through()
    accept = relay.connections.accept
    listener = await loop.create_server(accept, *settings.peer_address)
    log.write(Event.process_started, host=settings.host, domain=settings.domain)
    await stopped.wait()
    killed_at = loop.time() + settings.bounds.stop_grace
    log.write(Event.process_stopping, host=settings.host, in_flight=relay.in_flight)
    listener.close()
    await relay.drain(killed_at - EXIT_MARGIN_SECONDS)
    log.write(Event.process_stopped, host=settings.host)


async def _run(settings: HostSettings, adapters: Adapters) -> bool:
    """Serve, and return whether a part of the router failed."""
    router = Router(settings, adapters, EventLog())
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, router.stop)
    loop.add_signal_handler(signal.SIGINT, router.stop)
    loop.add_signal_handler(signal.SIGHUP, router.reload)
    _let_hangups_through()
    await router.run()
    return router.failed


def _let_hangups_through() -> None:
    """Take SIGHUP, which the program held back until its handler stood."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
