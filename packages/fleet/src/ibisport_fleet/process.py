"""Runs a router as the process's only work."""

import asyncio
import gc
import signal

import uvloop

from ibisport_fleet.eventlog import EventLog
from ibisport_fleet.router import Adapters, Router
from ibisport_fleet.settings import HostSettings


def run_router(settings: HostSettings, adapters: Adapters) -> None:
    """Serve until the process is told to stop.

    Args:
        settings: Who this process is.
        adapters: The platform's adapter.
    """
    # What was imported lives for ever; the collector needn't look at it again.
    gc.freeze()
    uvloop.run(_run(settings, adapters))


async def _run(settings: HostSettings, adapters: Adapters) -> None:
    router = Router(settings, adapters, EventLog())
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, router.stop)
    loop.add_signal_handler(signal.SIGINT, router.stop)
    loop.add_signal_handler(signal.SIGHUP, router.reload)
    await router.run()
