"""Steps on the load feed: decisions without a network."""

import itertools
import json
import os
import tempfile
from collections import Counter
from pathlib import Path
from unittest import mock

from behave import given, then, when
from followers import open_null_log
from hypothesis import given as given_data
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from settings_steps import SETTINGS

from ibisport_fleet.errors import RecordInvalid
from ibisport_fleet.event_log import Event
from ibisport_fleet.fleet_view import TargetView
from ibisport_fleet.load_feed.engine_poller import PollSchedule
from ibisport_fleet.load_feed.feeds import apply_fed_load
from ibisport_fleet.load_feed.messages import (
    EngineReport,
    LoadDatagram,
    Subscription,
    decode_load,
    decode_subscription,
    encode_load,
    encode_subscription,
)
from ibisport_fleet.load_feed.publisher import LoadPublisher
from ibisport_fleet.load_feed.subscriptions import (
    FedLoad,
    FeedSubscriptions,
    select_feeds,
)
from ibisport_fleet.metadata import TargetLoad
from ibisport_fleet.target_choice import TargetHealth
from ibisport_fleet.targets import TargetEntry
from ibisport_platform.records import decode_target, parse_incarnation
from ibisport_platform.reports import PlatformReportCodec
from ibisport_platform.settings import FEATURES_VARIABLE, load_settings

PORT = 7200
ROUTER_ID, RELAY_ID = 11, 22
RELAY = ('10.1.0.1', PORT)
REPORT = EngineReport(running=3, waiting=1, memory_use=0.25)
NOW = 100.0
BEGAN_AT = 50.0
# Rounding of times in datagrams.
TOLERANCE = 0.00001
MAX_GAP, MIN_GAP = 0.5, 1 / 3


def make_entry(number, started_at_ms=0):
    address = (f'10.1.{number // 250}.{number % 250}', 80)
    return TargetEntry(f'i-{number}', 'svc', address, 'd', 64, False, 1, started_at_ms)


def make_load(sequence, sent_at=NOW, **changed):
    fields = {'router_id': ROUTER_ID, 'relay_id': RELAY_ID, 'age': 0.0}
    report = changed.pop('report', REPORT)
    fields |= changed
    return encode_load(
        LoadDatagram(sequence=sequence, sent_at=sent_at, report=report, **fields)
    )


def make_feeds(entries, began_at=BEGAN_AT):
    feeds = FeedSubscriptions('host-0', ROUTER_ID, PORT)
    feeds.update(entries, began_at)
    return feeds


def make_view(*entries):
    view = TargetView(decode_target, parse_incarnation, open_null_log())
    for entry in entries:
        view.targets.put(entry)
    return view


@given('a router that has used datagram 5 of a relay')
def use_datagram(context):
    context.feeds = make_feeds([make_entry(1)])
    assert context.feeds.apply_datagram(make_load(5), RELAY, NOW) is not None


def list_datagrams():
    following = make_load(6)
    return {
        'the next datagram': following,
        'datagram 5 again': make_load(5),
        'an earlier datagram': make_load(4),
        'one for another router process': make_load(6, router_id=12),
        'one from another address': following,
        'one of 257 bytes': following + b'x' * (257 - len(following)),
        'one of another version': b'\x02' + following[1:],
        'a truncated one': following[:-1],
        'random bytes': bytes(range(40)),
        'an empty one': b'',
        'one whose counts are negative': make_load(6, report=EngineReport(-1, 0)),
        'one that was sent 2.1 s ago': make_load(6, NOW - 2.1),
        'the first one of a restarted relay': make_load(1, NOW + 0.05, relay_id=23),
        'a delayed one of an earlier relay': make_load(90, NOW - 0.1, relay_id=21),
    }


@when('the router receives {name}')
def receive_datagram(context, name):
    source = ('10.1.0.2', PORT) if name == 'one from another address' else RELAY
    datagram = list_datagrams()[name]
    context.used = context.feeds.apply_datagram(datagram, source, NOW + 0.1)


@then('the datagram is {outcome:w}')
def check_outcome(context, outcome):
    assert (context.used is not None) == (outcome == 'used'), context.used


@then('no random bytes raise an error, become a report or become a subscription')
def check_random_bytes(context):
    @hypothesis_settings(max_examples=300, deadline=None)
    @given_data(st.binary(max_size=300))
    def check(content):
        for datagram in (content, b'\x01' + content):
            decode_load(datagram)
            decode_subscription(datagram)

    check()
    # A datagram of one kind isn't read as the other.
    assert decode_subscription(make_load(1)) is None
    assert decode_load(encode_subscription(Subscription(1, NOW))) is None


@when('reports travel between clocks that differ, over links whose delays vary')
def carry_reports(context):
    context.journeys = []
    delays = st.floats(0, 0.4)

    @hypothesis_settings(max_examples=100, deadline=None)
    @given_data(st.floats(-1e5, 1e5), st.lists(delays, min_size=1, max_size=20), delays)
    def carry(offset, ups, down):
        publisher = LoadPublisher(RELAY_ID)
        feeds = make_feeds([make_entry(1)], began_at=0.0)
        for number, up in enumerate(ups):
            sent_at = 100.0 + number
            datagram = encode_subscription(Subscription(ROUTER_ID, sent_at))
            source, arrived_at = ('10.0.0.1', PORT), sent_at + up + offset
            publisher.apply_subscription(datagram, source, arrived_at)
        made_at = 100.5 + len(ups)
        datagram, _ = publisher.list_datagrams(
            REPORT, made_at + offset, made_at + offset + 0.01
        )[0]
        load = feeds.apply_datagram(datagram, RELAY, made_at + 0.01 + down)
        shortest = min(ups[-16:])
        context.journeys.append((load.measured_at - made_at, shortest + down))

    carry()


@then('no report is taken for younger than it is')
def check_not_younger(context):
    assert context.journeys
    errors = [error for error, _ in context.journeys]
    assert max(errors) <= TOLERANCE, max(errors)


@then('none for older by more than the delays of the fastest subscription and its own')
def check_not_older(context):
    for error, delay in context.journeys:
        assert -error <= delay + TOLERANCE, (error, delay)


@when('a router reads what arrived while it was suspended for 1.2 seconds')
def read_burst(context):
    context.entry = make_entry(1)
    context.feeds = make_feeds([context.entry])
    context.feeds.apply_datagram(make_load(1, NOW - 1.2), RELAY, NOW - 1.2)
    context.feeds.list_changes(NOW - 1.3)
    assert len(context.feeds.list_changes(NOW - 1.2)) == 1

    # Timers run before sockets are read.
    context.changes = context.feeds.list_changes(NOW + 2.0)
    context.health = TargetHealth()
    for number in range(2, 9):
        report = EngineReport(running=number, waiting=0)
        datagram = make_load(number, NOW - 1.2 + number * 0.1, age=0.0, report=report)
        load = context.feeds.apply_datagram(datagram, RELAY, NOW - 0.1)
        reported = TargetLoad(load.report.running, 0, 64)
        context.health.record_fed_load(reported, load.measured_at)


@then("the target's load is that of the newest, measured 0.3 seconds ago")
def check_newest(context):
    assert context.health.reported_load.running == 8
    assert abs(NOW - 0.1 - context.health.reported_at - 0.3) < TOLERANCE


@then('the feed is not logged as lost')
def check_not_lost(context):
    assert not context.changes
    assert not context.feeds.list_changes(NOW + 0.05)


@when("a fed report and an answer's header arrive in either order")
def combine(context):
    fed, header = TargetLoad(5, 0, 64), TargetLoad(9, 0, 64)
    context.header_last, context.feed_last = TargetHealth(), TargetHealth()
    context.header_last.record_load(header, NOW)
    context.header_last.record_fed_load(fed, NOW - 0.1)
    context.feed_last.record_load(header, NOW)
    context.feed_last.record_fed_load(fed, NOW + 0.1)


@then("the target's load is that of the one that was made last")
def check_made_last(context):
    assert context.header_last.estimate_load(NOW + 0.2) == 9
    assert context.feed_last.estimate_load(NOW + 0.2) == 5


@then('requests that this router sent after the fed report count in addition')
def check_sends_counted(context):
    health = context.feed_last
    for sent_at in (NOW + 0.2, NOW + 0.35, NOW + 0.38):
        health.begin_request(sent_at)
    # Made after the first send and before the others, which it can't contain.
    health.record_fed_load(TargetLoad(6, 0, 64), NOW + 0.3)
    assert health.estimate_load(NOW + 0.4) == 8
    health.end_request()
    assert health.estimate_load(NOW + 0.4) == 7


@then("2 seconds after the last report only this router's own requests count")
def check_report_expires(context):
    assert context.feed_last.estimate_load(NOW + 2.31) == 2


@given('a feed whose target leaves and starts again at the same address')
def restart_target(context):
    before, context.entry = make_entry(1, 1_000), make_entry(1, 2_000)
    context.feeds = make_feeds([before])
    context.feeds.apply_datagram(make_load(1, NOW - 0.5), RELAY, NOW - 0.5)
    context.feeds.update([context.entry], NOW)
    context.view = make_view(before, context.entry)


@when("the predecessor's last report arrives late")
def receive_predecessor(context):
    report = EngineReport(0, 0, leaving=True)
    datagram = make_load(2, NOW + 0.1, age=0.2, report=report)
    load = context.feeds.apply_datagram(datagram, RELAY, NOW + 0.1)
    if load is not None:
        apply_fed_load(context.view, load)


@then('the successor is not taken for leaving, and its own reports are used')
def check_successor(context):
    assert context.view.targets.is_serving(context.entry)
    load = context.feeds.apply_datagram(make_load(3, NOW + 0.3), RELAY, NOW + 0.3)
    apply_fed_load(context.view, load)
    health = context.view.find_health(context.entry.start_id)
    assert health.reported_load == TargetLoad(3, 1, 64), health
    assert health.memory_use == REPORT.memory_use


@then('a target whose feed reports that it leaves gets no new requests')
def check_left(context):
    entry, report = make_entry(1), EngineReport(2, 0, leaving=True)
    view = make_view(entry)
    for measured_at in (NOW, NOW + 0.1):
        apply_fed_load(view, FedLoad(entry, report, measured_at))
        assert not view.targets.list_serving()


@when('65 routers subscribe to a relay, each once')
def subscribe(context):
    context.publisher = LoadPublisher(RELAY_ID)
    datagram = encode_subscription(Subscription(ROUTER_ID, NOW))
    context.accepted = [
        context.publisher.apply_subscription(datagram, ('10.0.0.1', port), NOW)
        for port in range(65)
    ]


@then('64 of them get datagrams until 3 seconds later, and none after that')
def check_expiry(context):
    publisher = context.publisher
    assert all(context.accepted[:64]) and not context.accepted[64]
    assert len(publisher.list_datagrams(REPORT, NOW, NOW + 2.99)) == 64
    assert publisher.count_subscribers(NOW + 3.01) == 0
    other = EngineReport(9, 9)
    assert not publisher.list_datagrams(other, NOW + 3.01, NOW + 3.01)


@then("a new process at a subscriber's address replaces its subscription")
def check_replaced(context):
    publisher, source = context.publisher, ('10.0.0.1', PORT)
    for router_id in (1, 2):
        datagram = encode_subscription(Subscription(router_id, NOW + router_id))
        publisher.apply_subscription(datagram, source, NOW + 5)
        sent = publisher.list_datagrams(REPORT, NOW + 5, NOW + 5)
        load = decode_load(sent[0][0])
        # Neither the id nor the clock of the process before.
        assert (load.router_id, load.sent_at) == (router_id, NOW + router_id)


@then('each router subscribes to 64 relays, and no relay gets more than 12 subscribers')
def check_spread(context):
    context.engines = [make_entry(number) for number in range(12_000)]
    context.selected = [
        select_feeds(f'host-{number}', context.engines) for number in range(330)
    ]
    assert {len(entries) for entries in context.selected} == {64}
    counts = Counter(
        entry.incarnation for entries in context.selected for entry in entries
    )
    assert max(counts.values()) <= 12, max(counts.values())


@then('the end of one target changes the subscriptions of few routers')
def check_stable(context):
    remaining = context.engines[1:]
    for number, before in enumerate(context.selected[:3]):
        after = select_feeds(f'host-{number}', remaining)
        assert len(set(after) - set(before)) <= 1


@then('a host with two engines gets no subscription')
def check_shared_host(context):
    first, other = make_entry(1), make_entry(2)
    second = TargetEntry('i-3', 'svc', (first.address[0], 81), 'd', 64, False, 1)
    assert select_feeds('host-0', [first, second, other]) == [other]


@when("a relay doesn't answer for 5 minutes")
def keep_silent(context):
    context.feeds = make_feeds([make_entry(1)], began_at=0.0)
    context.sent = [
        tenth for tenth in range(3_000) if context.feeds.list_due(tenth / 10)
    ]


@then(
    'a router sends it at most {maximum:d} subscriptions, '
    'and one a second once it answers'
)
def check_seldom(context, maximum):
    assert len(context.sent) <= maximum, len(context.sent)
    for tenth in range(3_000, 3_200):
        now = tenth / 10
        if context.feeds.list_due(now):
            context.feeds.apply_datagram(make_load(tenth, now), RELAY, now)
            context.sent.append(tenth)
    last = context.sent[-3:]
    assert last[2] - last[1] == last[1] - last[0] == 10, last


@then('one in two seconds when it falls silent again')
def check_after_cut(context):
    sent = [
        tenth for tenth in range(3_200, 4_200) if context.feeds.list_due(tenth / 10)
    ]
    assert 50 <= len(sent) <= 54, sent
    assert sent[-1] - sent[-2] == 20, sent


@then('one that is listed and removed each second is logged {maximum:d} times a minute')
def check_log_lines(context, maximum):
    feeds, changes = make_feeds([]), 0
    for step in range(600):
        now = NOW + step / 10
        if step % 10 == 0:
            feeds.update([make_entry(1)] if step % 20 else [], now)
        feeds.apply_datagram(make_load(step, now), RELAY, now)
        changes += len(feeds.list_changes(now))
    assert 1 <= changes <= maximum, changes


@when(
    '{routers:d} routers get the load of {engines:d} engines, '
    'which changes all the time, for 10 s'
)
def publish(context, routers, engines):
    context.received = Counter()
    for engine in range(engines):
        publisher = LoadPublisher(2**62 + engine)
        for poll in range(round(10 / 0.15)):
            now = NOW + poll * 0.15
            for router in range(routers):
                subscription = Subscription(2**62 + router, now)
                source = (f'10.0.0.{router}', PORT)
                datagram = encode_subscription(subscription)
                publisher.apply_subscription(datagram, source, now)
            report = EngineReport(poll % 64, 1_000, 0.99)
            for datagram, receiver in publisher.list_datagrams(report, now, now + 0.01):
                context.received[receiver] += 1
                context.received[receiver, 'bytes'] += len(datagram)


@then('each router gets at most {datagrams:d} datagrams and {size:d} bytes a second')
def check_size(context, datagrams, size):
    receiver = ('10.0.0.0', PORT)
    # A router that gets nothing would make this test meaningless.
    assert 1_000 < context.received[receiver] <= datagrams * 10, context.received
    assert context.received[receiver, 'bytes'] <= size * 10, context.received


@then('the load of one that stays the same is sent each 0.33 to 0.5 s')
def check_repeated(context):
    publisher, sent = LoadPublisher(RELAY_ID), []
    for poll in range(100):
        now = NOW + poll * 0.15
        datagram = encode_subscription(Subscription(ROUTER_ID, now))
        publisher.apply_subscription(datagram, ('10.0.0.1', PORT), now)
        if publisher.list_datagrams(REPORT, now, now):
            sent.append(now)
    gaps = [later - earlier for earlier, later in itertools.pairwise(sent)]
    assert max(gaps) <= MAX_GAP and min(gaps) >= MIN_GAP, gaps


@then("one that doesn't answer is polled at most {maximum:d} times a minute")
def check_polls(context, maximum):
    schedule, now, events = PollSchedule(), 0.0, []
    while now < 60:
        schedule.record(answered=False)
        events.append(schedule.find_change(now))
        now += schedule.compute_interval()
    assert len(events) <= maximum, len(events)
    assert list(filter(None, events)) == [Event.load_report_lost], events


@when('a worker reports {fields}')
def decode_report(context, fields):
    record = {}
    for field in fields.split(', '):
        name, value = field.split()
        record[name] = value if name == 'state' else int(value)
    context.report = None
    try:
        content = json.dumps(record).encode()
        context.report = PlatformReportCodec().decode_report(content)
    except RecordInvalid:
        return


@then('{running:d} run, {waiting:d} wait, {use:f} is in use')
def check_report(context, running, waiting, use):
    assert context.report == EngineReport(running, waiting, use), context.report


@then('{running:d} run, {waiting:d} wait, and it leaves')
def check_leaving_report(context, running, waiting):
    expected = EngineReport(running, waiting, leaving=True)
    assert context.report == expected, context.report


@then('the report is unreadable')
def check_unreadable(context):
    assert context.report is None


def load_with(features, app):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.toml'
        path.write_text(f'app = "{app}"\n{SETTINGS}')
        with mock.patch.dict(os.environ, {FEATURES_VARIABLE: features}):
            return load_settings(path)


@then("a relay's engine is known with the load feed, and not without it")
def check_engine_address(context):
    address = '127.0.0.1:9000'
    assert load_with('load_feed', address).engine_address == ('127.0.0.1', 9000)
    assert load_with('', address).engine_address is None
    assert load_with('load_feed', '').engine_address is None


@then("an address of an engine that can't be read stops only programs with the feed")
def check_bad_address(context):
    assert load_with('', 'nowhere').engine_address is None
    try:
        load_with('load_feed', 'nowhere')
    except RecordInvalid:
        return
    raise AssertionError('an unreadable address was accepted')
