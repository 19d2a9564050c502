"""Command line of ``ibisport-agent``."""

import sys

import fire
import orjson

from ibisport_agent.agent import Agent
from ibisport_core.announce import announce
from ibisport_core.errors import SettingsError
from ibisport_core.events import Event, log_event, start_log
from ibisport_core.settings import AgentSettings, load_settings
from ibisport_core.shutdown import wait_signal

_EXIT_SETTINGS = 2


def serve(**flags: object) -> None:
    """Run the agent until SIGTERM or SIGINT, then shut down gracefully.

    Args:
        flags: Settings by name; see ``ibisport-agent settings``.
    """
    settings = _load(flags)
    start_log()
    agent = Agent(settings)
    agent.start()
    announce('ready', agent.address)
    announce('ready-status', agent.status_address)
    wait_signal()
    log_event(Event.process_stopping, role='agent', session=agent.session)
    agent.stop()


def settings(**flags: object) -> None:
    """Print the effective settings as JSON, with secrets redacted."""
    document = orjson.dumps(_load(flags).describe(), option=orjson.OPT_INDENT_2)
    print(document.decode())


def run() -> None:
    """Run the command line; entry point of ``ibisport-agent``."""
    fire.Fire({'serve': serve, 'settings': settings}, name='ibisport-agent')


def _load(flags: dict[str, object]) -> AgentSettings:
    try:
        return load_settings(AgentSettings, flags)
    except SettingsError as error:
        print(f'ibisport-agent: {error}', file=sys.stderr)
        sys.exit(_EXIT_SETTINGS)
