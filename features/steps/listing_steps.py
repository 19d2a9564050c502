"""Steps on a keeper and its session record, with links that are stood in for."""

import sys
import tempfile
import threading
from dataclasses import dataclass
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when
from sites import wait_until

from ibisport_bench.launcher import start_program
from ibisport_core.settings import RouterSettings
from ibisport_core.store import StoreClient
from ibisport_router.internal.keeper import SessionKeeper
from ibisport_router.internal.session import ListedAgent

STORE_MODULE = 'ibisport_bench.standins.store'
ADDRESS = '127.0.0.1:1'
FIRST = 'first-incarnation'
OTHER = 'other-incarnation'
GUARD_SECONDS = 60.0
# The link's listing either ends at once or waits for the keeper's look to end.
LISTING_SECONDS = 1.0


@dataclass
class FakeLink:
    """What a keeper asks of a link to an agent."""

    incarnation: str
    is_connected: bool

    @property
    def listed(self):
        """The agent as it stands in the record."""
        return ListedAgent('engine-0', ADDRESS, self.incarnation)


class FakeRouter:
    """A router with a keeper and one link, and nothing that the keeper doesn't ask."""

    def __init__(self, store):
        """Start with one link that stands."""
        self.store = store
        self.settings = RouterSettings(lease_seconds=1)
        self.link_address = ADDRESS
        self.stopping = threading.Event()
        self.targets = self
        self.peers = SimpleNamespace(recall=lambda *_: (0, 0))
        self.link = FakeLink(FIRST, is_connected=True)
        self.during_look = None
        self.keeper = SessionKeeper(self)
        self._thread = threading.Thread(target=self.keeper.keep, daemon=True)
        self._thread.start()

    def list_links(self):
        """Return the links; the last look does more while the keeper looks."""
        links = (FakeLink(self.link.incarnation, self.link.is_connected),)
        if self.during_look is not None:
            self.stopping.set()
            self.during_look()
        return links

    def look_last(self, during_look):
        """Let the keeper look at its record once more, and stop it."""
        self.during_look = during_look
        self.keeper.close_soon()
        self._thread.join(GUARD_SECONDS)
        assert not self._thread.is_alive(), 'the keeper hangs'


@given("a router's keeper that lists an agent")
def start_keeper(context):
    log = Path(tempfile.mkdtemp(prefix='ibisport-keeper-')) / 'store.log'
    program = start_program([sys.executable, '-m', STORE_MODULE, '--port=0'], log)
    context.add_cleanup(program.kill)
    client = StoreClient((program.address,), 'router')
    context.add_cleanup(client.close)
    context.router = FakeRouter(client)
    context.keeper = context.router.keeper
    wait_until(lambda: context.keeper.may_pay(FIRST), GUARD_SECONDS, 'the listing')


@when('the agent has greeted on its next link, and its former one ends')
def greet_before(context):
    _greet(context, FIRST)
    context.keeper.note_agent_gone(FIRST)


@when("the agent's former link has ended")
def end_former(context):
    context.router.link = FakeLink('', is_connected=False)
    context.keeper.note_agent_gone(FIRST)


@when('another incarnation of the agent has greeted')
def replace(context):
    _greet(context, OTHER)
    context.keeper.note_agent_gone(FIRST)


@when('the keeper looks at its record')
def look(context):
    context.router.look_last(lambda: None)


@when('its next one opens while the keeper looks at its record')
def look_while_opening(context):
    listing = threading.Thread(target=_greet, args=(context, FIRST), daemon=True)

    def open_link():
        listing.start()
        listing.join(LISTING_SECONDS)

    context.router.look_last(open_link)
    listing.join(GUARD_SECONDS)
    assert not listing.is_alive(), 'the listing hangs'


@then('the agent may get paid work')
def check_may_pay(context):
    assert context.keeper.may_pay(FIRST)


@then('only the other incarnation may get paid work')
def check_replaced(context):
    assert context.keeper.may_pay(OTHER)
    assert not context.keeper.may_pay(FIRST)


def _greet(context, incarnation):
    """Do what a link does between the greeting and its first use."""
    context.router.link = FakeLink(incarnation, is_connected=False)
    context.keeper.list_agent(context.router.link.listed)
