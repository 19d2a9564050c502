"""Steps on the limits that a router keeps; no process is started."""

from types import SimpleNamespace

from behave import given, then, when

from ibisport_core.catalogue import Catalogue
from ibisport_core.errors import StreamsFull
from ibisport_router.internal.limits import Limits

LARGE = ('large-0', 'large-1')


@given('a router with room for {room:d} requests')
def make_limits(context, room):
    context.room = room
    context.limits = Limits(room, Catalogue, lambda: 1)
    context.held = dict.fromkeys(LARGE, 0)


@when('two large workspaces ask until each is refused')
def fill(context):
    refused = set()
    while len(refused) < len(LARGE):
        for workspace in LARGE:
            if _enter(context, workspace):
                context.held[workspace] += 1
            else:
                refused.add(workspace)


@then('each of them holds less than half of the room')
def check_held(context):
    for held in context.held.values():
        assert 1 < held < context.room / 2, context.held


@then('{count:d} small workspaces are admitted')
def check_small(context, count):
    for number in range(count):
        assert _enter(context, f'small-{number}'), number


@then('a place given back is taken again')
def check_again(context):
    context.limits.leave(_make_order('small-0'))
    assert _enter(context, 'small-0')


def _enter(context, workspace):
    try:
        context.limits.enter(_make_order(workspace))
    except StreamsFull:
        return False
    return True


def _make_order(workspace):
    return SimpleNamespace(workspace=workspace, reserved_tokens=1)
