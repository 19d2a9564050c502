"""Steps on records of others with odd values, which a running router follows."""

import asyncio
import json
import random
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

from behave import then, when
from running_router import (
    CATALOGUE,
    ROUTER,
    Caller,
    RunningRouter,
    encode_request,
    make_plain,
    make_route,
)

from ibisport_bench.standins.scripted import ScriptedTarget
from ibisport_bench.virtual_network import run_on_net
from ibisport_fleet.catalogue import Engine, RouteKind, Service, ServiceShare
from ibisport_fleet.event_log import Event, EventLog
from ibisport_platform.records import decode_target

SERVICES = {
    'plain': Service('plain', 100, None),
    'model': Service('model', 100, Engine(8, 90_000, 1)),
}
SITE = replace(
    CATALOGUE,
    services=SERVICES,
    routes=tuple(
        replace(
            make_route(service, RouteKind.once),
            shares=(ServiceShare(service, 1.0),),
        )
        for service in SERVICES
    ),
)
# Requests of each service at a time.
REQUESTS = 6
APPLY_SECONDS = 1.0
TOKENS = 'Token-Usage: 1460,80\r\nPrompt-Prefix: 5c1e07a2:1400,91bd3f06:60\r\n'
ODD, FIRST, SECOND = '-odd', '-first', '-second'
ERROR = Event.request_error
TEXT = json.dumps
# Fields of an entry, as JSON, by the name of the scenario's case.
ODD_FIELDS = {
    'slots of 10^18': ('slots', str(10**18)),
    'slots of 10^30': ('slots', str(10**30)),
    'slots of 10^400': ('slots', str(10**400)),
    'coldLeftMs of 1e308': ('coldLeftMs', '1e308'),
    'born of 10^18': ('born', str(10**18)),
    'born of 10^400': ('born', str(10**400)),
    'address of 0.0.0.0': ('address', TEXT('0.0.0.0:80')),
    'address of 224.0.0.1': ('address', TEXT('224.0.0.1:80')),
    'address of 255.255.255.255': ('address', TEXT('255.255.255.255:80')),
    'address of a signed port': ('address', TEXT('10.0.0.7:+80')),
    'address of port 65536': ('address', TEXT('10.0.0.7:65536')),
    'a zone of 70000 characters': ('zone', TEXT('z' * 70_000)),
    'a version of 70000 characters': ('version', TEXT('v' * 70_000)),
    'a zone with a line end': ('zone', TEXT('z\r\nX: y')),
    'a field nested 200000 deep': ('note', '[' * 200_000 + ']' * 200_000),
}
# Ids of targets, after the name of the service.
ODD_IDS = {
    'an id with a line end': '\r\nX-Odd: 1',
    'an id with a zero byte': '-\x00',
    'an id that ends with a space': '-odd ',
    'an id that was no text': '-\ufffd',
}


def _encode_entry(target, service, odd=None):
    """Return an entry, in which a field may be replaced by JSON text."""
    fields = {
        'service': service,
        'address': '{}:{}'.format(*target.address),
        'zone': 'd-0',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'coldLeftMs': 0,
        'seq': 1,
        'born': 1_790_000_000_000,
    }
    texts = {name: TEXT(content) for name, content in fields.items()}
    texts.update([odd] if odd else [])
    pairs = ','.join(f'"{name}":{text}' for name, text in texts.items())
    return f'{{{pairs}}}'.encode()


class _Site(RunningRouter):
    """A router before two targets of each service, and one that odd entries name."""

    def __init__(self, net):
        super().__init__(net, [make_plain()], SITE)
        self.targets = {
            (service, name): ScriptedTarget([make_plain()])
            for service in SERVICES
            for name in (FIRST, SECOND, ODD)
        }

    async def start_targets(self):
        """Start the targets and register the valid entries."""
        for (service, name), target in self.targets.items():
            await self.net.start_on(service + name, target.start())
            if name != ODD:
                self.put_entry(service, name, target)

    def put_entry(self, service, name, target, odd=None):
        """Write an entry of a target."""
        content = _encode_entry(target, service, odd)
        self.service.put(f'servers/{service}{name}', content)

    def put_odd_entries(self, name, odd):
        """Write an odd entry of each service under an id."""
        for service in SERVICES:
            self.put_entry(service, name, self.targets[service, ODD], odd)

    def count_requests(self):
        """Return the number of requests that each target got, by name."""
        counts = dict.fromkeys((FIRST, SECOND, ODD), 0)
        for (_, name), target in self.targets.items():
            counts[name] += len(target.requests)
        return counts

    async def ask_all(self):
        """Send requests to all services; return the statuses and who got them."""
        before = self.count_requests()
        calls = [
            self.call(
                Caller(self).ask(encode_request(service, f'{service}-{number}', TOKENS))
            )
            for service in SERVICES
            for number in range(REQUESTS)
        ]
        answers = await asyncio.gather(*calls)
        after = self.count_requests()
        got = {name for name, count in after.items() if count > before[name]}
        return [answer.status for answer in answers], got

    def _build_entry(self, item):
        return decode_target(item)


def _run_site(context, act):
    """Run a site beside ``act``; record the events of the router's log."""
    context.events = []

    def write(self, event, **details):
        context.events.append((event, details))

    async def play(net):
        random.seed(1)
        clock = SimpleNamespace(
            clock_gettime=lambda clock_id: net.time(), CLOCK_BOOTTIME=0
        )
        with (
            mock.patch('ibisport_fleet.clocks.time', clock),
            mock.patch.object(EventLog, 'write', write),
        ):
            site = _Site(net)
            await site.start_targets()
            await act(site)
            net.kill(ROUTER)

    run_on_net(play)


@when('an entry with {odd} is listed, written later, and replaces an entry')
def follow_odd_entries(context, odd):
    field = ODD_FIELDS[odd]
    context.served = {}
    context.refusals = {ODD: 2, FIRST: 1}

    async def act(site):
        await _list_and_write(context, site, ODD, field)
        site.put_odd_entries(FIRST, field)
        await asyncio.sleep(APPLY_SECONDS)
        context.served['replacing'] = await site.ask_all()
        for service in SERVICES:
            site.put_entry(service, FIRST, site.targets[service, FIRST])
        await asyncio.sleep(APPLY_SECONDS)
        context.served['replaced again'] = await site.ask_all()

    _run_site(context, act)


@when('a valid entry under {odd} is listed, and written later')
def follow_odd_ids(context, odd):
    name = ODD_IDS[odd]
    context.served = {}
    context.refusals = {name: 2}

    async def act(site):
        await _list_and_write(context, site, name, None)

    _run_site(context, act)


async def _list_and_write(context, site, name, field):
    """Start the router before odd entries; then remove and write them."""
    site.put_odd_entries(name, field)
    await site.start()
    context.served['listed'] = await site.ask_all()
    for service in SERVICES:
        site.service.remove(f'servers/{service}{name}')
    await asyncio.sleep(APPLY_SECONDS)
    site.put_odd_entries(name, field)
    await asyncio.sleep(APPLY_SECONDS)
    context.served['written'] = await site.ask_all()


@then('each request is served by a target with a valid entry')
def check_served(context):
    for place, (statuses, got) in context.served.items():
        assert set(statuses) == {200}, (place, statuses)
        valid = {SECOND} if place == 'replacing' else {FIRST, SECOND}
        assert got == valid, (place, got)


@then('each refusal of the entry is logged, and no task has failed')
def check_refusals(context):
    reasons = [
        details['reason']
        for event, details in context.events
        if event is Event.record_refused
    ]
    for service in SERVICES:
        for name, count in context.refusals.items():
            key = f'servers/{service}{name}'
            found = sum(reason.startswith(f'{key}: ') for reason in reasons)
            assert found == count, (key, reasons)
    errors = [item for item in context.events if item[0] in {Event.task_failed, ERROR}]
    assert not errors, errors
