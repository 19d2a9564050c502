"""Command line of ``ibisport``: the router, and the operators' commands."""

import sys

import fire
import orjson

from ibisport_core.announce import announce
from ibisport_core.errors import SettingsError
from ibisport_core.events import Event, log_event, start_log
from ibisport_core.settings import RouterSettings, load_settings
from ibisport_core.shutdown import wait_signal
from ibisport_router.commands import (
    BudgetCommands,
    CatalogueCommands,
    SessionCommands,
    TargetCommands,
)
from ibisport_router.internal.statusclient import read_status
from ibisport_router.router import Router

_EXIT_SETTINGS = 2


def route(**flags: object) -> None:
    """Run a router until SIGTERM or SIGINT, then end gracefully.

    Args:
        flags: Settings by name; see ``ibisport settings``.
    """
    settings = _load(flags)
    start_log()
    router = Router(settings)
    router.start()
    announce('ready', router.gateway.address)
    announce('ready-status', router.status_address)
    announce('ready-links', router.link_address)
    wait_signal()
    log_event(Event.process_stopping, role='router', session=router.session.name)
    router.stop()


def settings(**flags: object) -> None:
    """Print the effective settings as JSON, secrets blanked."""
    shown = orjson.dumps(_load(flags).describe(), option=orjson.OPT_INDENT_2)
    print(shown.decode())


def status(*addresses: str) -> None:
    """Print what routers and agents believe, and how old it is.

    Args:
        addresses: Their status addresses, ``host:port`` each.
    """
    shown = {address: read_status(address) for address in addresses}
    print(orjson.dumps(shown, option=orjson.OPT_INDENT_2).decode())


def run() -> None:
    """Entry point of the binary."""
    fire.Fire(
        {
            'route': route,
            'settings': settings,
            'status': status,
            'catalogue': CatalogueCommands,
            'budget': BudgetCommands,
            'session': SessionCommands,
            'target': TargetCommands,
        },
        name='ibisport',
    )


def _load(flags: dict[str, object]) -> RouterSettings:
    try:
        return load_settings(RouterSettings, flags)
    except SettingsError as error:
        print(f'ibisport: {error}', file=sys.stderr)
        sys.exit(_EXIT_SETTINGS)
