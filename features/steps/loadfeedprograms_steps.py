"""Steps on the load feed over real sockets of 127.0.0.0/8."""

import asyncio
import json
import os
import shutil
import socket
import subprocess
import sys
import tempfile
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from urllib.request import urlopen

from behave import given, then, when
from running_router import CATALOGUE

from ibisport_fleet.catalogue import Engine, Service
from ibisport_fleet.datagrams import DatagramEndpoint
from ibisport_fleet.event_log import Event
from ibisport_fleet.fleet_view import CatalogueView, TargetView
from ibisport_fleet.load_feed.feeds import LoadFeeds, run_relay_feed
from ibisport_fleet.load_feed.messages import (
    Subscription,
    decode_load,
    encode_subscription,
)
from ibisport_fleet.settings import Bounds, Feature, HostSettings
from ibisport_fleet.targets import TargetEntry
from ibisport_platform.records import decode_catalogue, decode_target, parse_incarnation
from ibisport_platform.reports import PlatformReportCodec
from ibisport_platform.settings import FEATURES_VARIABLE, SETTINGS_VARIABLE

RELAY_IP, ROUTER_IP = '127.0.0.2', '127.0.0.3'
# By program, and by the features that it starts with.
PROGRAM_IPS = {
    'relay': {'load_feed': '127.0.0.4', '': '127.0.0.5'},
    'router': {'load_feed': '127.0.0.6', '': '127.0.0.7'},
}
MAX_TEST_SECONDS = 20.0
MAX_AGE = 0.5
# The stand-in reports one of four units of its memory as used.
MEMORY_USE = 0.25
ENTRY = TargetEntry('i-1', 'svc', (RELAY_IP, 80), 'd', 64, False, 1)
ENGINES = replace(CATALOGUE, services={'svc': Service('svc', 1, Engine(64, 1_000, 5))})


class RecordingLog:
    """Keeps the events that are written to it."""

    def __init__(self):
        self.events = []

    def write(self, event, **details):
        """Record an event."""
        self.events.append(event)


class StandInEngine:
    """Answers requests for reports over HTTP, or leaves them unanswered."""

    def __init__(self):
        self.running = 4
        self.silent = False
        self.requests = []

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        while line := await reader.readline():
            await reader.readuntil(b'\r\n\r\n')
            self.requests.append(line)
            if self.silent:
                continue
            record = {'running': self.running, 'waiting': 1, 'state': 'ready'}
            body = json.dumps({**record, 'kvUsed': 1, 'kvTotal': 4}).encode()
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body))
            writer.write(body)
        writer.close()


def find_free_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((ROUTER_IP, 0))
        return probe.getsockname()[1]


def make_settings(ip, port, engine=None):
    return HostSettings(
        host=ip,
        domain='d',
        peer_address=(ip, port),
        metrics_address=(ip, 1),
        callers_address=None,
        readiness_address=None,
        store_address=(ip, 1),
        bounds=Bounds(0.2, 10, 10.0, 8.0),
        features=frozenset((Feature.load_feed,)),
        engine_address=engine,
    )


def make_router(port):
    log = RecordingLog()
    targets = TargetView(decode_target, parse_incarnation, log)
    targets.targets.put(ENTRY)
    catalogue = CatalogueView('key', decode_catalogue, log)
    catalogue.current = ENGINES
    settings = make_settings(ROUTER_IP, port)
    endpoint = DatagramEndpoint(settings.peer_address, log)
    feeds = LoadFeeds(settings, catalogue, targets, endpoint, log)
    health = targets.find_health(ENTRY.start_id)
    return SimpleNamespace(log=log, feeds=feeds, health=health, endpoint=endpoint)


async def wait_for(condition, seconds):
    """Wait until a condition holds; fail after some seconds."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


def run_in_loop(context, coroutine):
    return context.loop.run_until_complete(
        asyncio.wait_for(coroutine, MAX_TEST_SECONDS)
    )


def start_engine(context):
    """Start an engine in a loop of its own, and return its address."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(close_loop, context.loop)
    context.engine, context.port = StandInEngine(), find_free_port()
    listen = asyncio.start_server(context.engine.serve, RELAY_IP, 0)
    context.server = run_in_loop(context, listen)
    return context.server.sockets[0].getsockname()


def close_loop(loop):
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks))
    loop.close()


@given('an engine, the relay on its host and a router with the load feed')
def start_feed(context):
    engine = start_engine(context)
    context.relay_log, context.router = RecordingLog(), make_router(context.port)
    settings = make_settings(RELAY_IP, context.port, engine)
    relay = run_relay_feed(settings, PlatformReportCodec(), context.relay_log)
    context.relay_task = context.loop.create_task(relay)
    context.loop.create_task(context.router.endpoint.run())
    context.router_task = context.loop.create_task(context.router.feeds.run())


@given("another socket at the router's port")
def occupy_port(context):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind((ROUTER_IP, context.port))
        run_in_loop(context, asyncio.sleep(1.2))
    assert context.router.log.events == [Event.load_feed_unavailable]


@when('the port is free, and garbage and oversized datagrams arrive')
def send_garbage(context):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for ip in (RELAY_IP, ROUTER_IP):
            for datagram in (b'', b'\x01\x99', b'\x01' * 4_000):
                sender.sendto(datagram, (ip, context.port))


@then("the router knows the engine's load within 3 seconds")
def check_known(context):
    health, feeds = context.router.health, context.router.feeds
    run_in_loop(context, wait_for(feeds.count_fresh, 3))
    load = health.reported_load
    assert (load.running, load.waiting, load.slots) == (4, 1, 64), load
    assert health.memory_use == MEMORY_USE
    assert set(context.engine.requests) == {b'GET /report HTTP/1.1\r\n'}


@then('a change of it within half a second')
def check_change(context):
    health = context.router.health
    context.engine.running = 9
    run_in_loop(context, wait_for(lambda: health.reported_load.running == 9, 0.5))
    age = context.loop.time() - health.reported_at
    assert 0 <= age < MAX_AGE, age


@then('the router logs the loss of the feed if the engine stops answering')
def check_loss(context):
    context.engine.silent = True

    async def wait_for_loss():
        # The line about the start of the feed holds back others for ten seconds.
        lost = Event.load_report_lost
        await wait_for(lambda: lost in context.relay_log.events, 3)
        await wait_for(lambda: not context.router.feeds.count_fresh(), 3)
        await wait_for(lambda: Event.load_feed_lost in context.router.log.events, 12)

    run_in_loop(context, wait_for_loss())
    started = context.router.log.events.count(Event.load_feed_started)
    assert started == 1, context.router.log.events


@then('the relay stops polling when the router has ended')
def check_polling_ends(context):
    context.router_task.cancel()
    context.engine.silent = False

    async def count_polls():
        await asyncio.sleep(3.3)
        count = len(context.engine.requests)
        await asyncio.sleep(0.5)
        assert len(context.engine.requests) == count

    run_in_loop(context, count_polls())
    context.server.close()


def start_program(context, program, ip, features, engine):
    front = f'front = "{ip}:{context.port + 2}"\nready = "{ip}:{context.port + 3}"'
    folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, folder)
    path = Path(folder) / 'settings.toml'
    path.write_text(f"""
node = "{ip}"
ip = "{ip}"
zone = "d"
app = "{engine[0]}:{engine[1]}"
portRange = [{context.port}, {context.port + 1}]
[platform]
address = "{ip}:1"
[listen]
{front if program == 'router' else ''}
""")
    process = subprocess.Popen(
        [sys.executable, '-m', 'ibisport_platform', program],
        env={**os.environ, SETTINGS_VARIABLE: str(path), FEATURES_VARIABLE: features},
        stdout=subprocess.DEVNULL,
    )
    context.add_cleanup(process.wait)
    context.add_cleanup(process.kill)


@given('an engine, and a relay and a router with and without the load feed')
def start_programs(context):
    engine = start_engine(context)
    for program in ('relay', 'router'):
        for features, ip in PROGRAM_IPS[program].items():
            start_program(context, program, ip, features, engine)


@then("only the relay with the feed sends the engine's load to a subscriber")
def check_relays(context):
    relays = [(ip, context.port) for ip in PROGRAM_IPS['relay'].values()]
    received = run_in_loop(context, subscribe(relays))
    assert {source for _, source in received} == {relays[0]}, received
    assert decode_load(received[0][0]).report.running == 4


async def subscribe(relays):
    """Return what the relays send to a subscriber within two seconds."""
    for relay in relays:
        await wait_for_listener(relay)
    loop, received = asyncio.get_running_loop(), []
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as router:
        router.setblocking(False)
        router.bind((ROUTER_IP, 0))
        loop.add_reader(router, lambda: received.append(router.recvfrom(256)))
        for _ in range(10):
            datagram = encode_subscription(Subscription(1, loop.time()))
            for relay in relays:
                router.sendto(datagram, relay)
            await asyncio.sleep(0.2)
        loop.remove_reader(router)
    return received


async def wait_for_listener(address):
    """Wait until a program accepts connections."""
    while True:
        try:
            _, writer = await asyncio.open_connection(*address)
        except OSError:
            await asyncio.sleep(0.05)
        else:
            writer.close()
            return


@then('only the router with the feed has a metric of it')
def check_routers(context):
    async def fetch_metrics(url):
        while True:
            try:
                with urlopen(url, timeout=2) as answer:
                    return answer.read().decode()
            except OSError:
                # The program is starting.
                await asyncio.sleep(0.1)

    name = 'ibisport_state{name="load_feeds"}'
    for features, ip in PROGRAM_IPS['router'].items():
        metrics = run_in_loop(
            context, fetch_metrics(f'http://{ip}:{context.port + 1}/metrics')
        )
        assert (name in metrics) == bool(features), metrics
    context.server.close()
