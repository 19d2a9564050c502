"""Steps on what routers remember of the streams that began."""

import contextlib
import math
import re
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import given as draw
from hypothesis import settings
from hypothesis import strategies as st

from ibisport_fleet.datagrams import MAX_DATAGRAM_BYTES
from ibisport_fleet.errors import RecordInvalid
from ibisport_fleet.membership import Member
from ibisport_fleet.store import Item
from ibisport_fleet.stream_versions import build_page, record_pages
from ibisport_fleet.stream_versions.build_history import BuildHistory
from ibisport_fleet.stream_versions.hash_ring import HashRing
from ibisport_fleet.stream_versions.messages import (
    KIND,
    StreamBegun,
    decode_begun,
    encode_begun,
)
from ibisport_fleet.stream_versions.record_sender import ASKED_ROUTERS, REPLICAS
from ibisport_fleet.stream_versions.records import (
    KEY_BYTES,
    StreamRecords,
    compute_key,
)
from ibisport_fleet.targets import Build

V1, V2 = Build('svc', 'v1'), Build('svc', 'v2')
KEY = b'k' * KEY_BYTES
NAMES = st.text(max_size=60)
_CALL = SimpleNamespace(workspace=None, metadata=SimpleNamespace(key=None))
KEYS = st.binary(min_size=KEY_BYTES, max_size=KEY_BYTES)


def make_key(number):
    return number.to_bytes(KEY_BYTES, 'big')


@when('40,000 streams begin within their lifetime')
def begin_many(context):
    context.records = StreamRecords()
    for number in range(40_000):
        context.records.put(make_key(number), V1, number / 1_000, 100.0)


@then('32,768 records are kept, without the first and with the last')
def check_limit(context):
    assert len(context.records) == 32_768, len(context.records)
    assert context.records.find(make_key(0), 40.0) is None
    assert context.records.find(make_key(39_999), 40.0).build == V1


@when('a stream begins whose caller may come back for 30 s')
def begin_one(context):
    context.records = StreamRecords()
    context.records.put(KEY, V1, 0.0, 30.0)


@then('its record is found after 29 s and not after 31 s')
def check_lifetime(context):
    assert context.records.find(KEY, 29.0).build == V1
    assert context.records.find(KEY, 31.0) is None


@when('a stream of v1 and a stream of v2 begin with the same id')
def begin_twice(context):
    context.records = StreamRecords()
    for build in (V1, V2, V1):
        context.records.put(KEY, build, 0.0, 30.0)


@then('no version is found for the id')
def check_ambiguous(context):
    assert context.records.find(KEY, 1.0).build is None


@when('requests of two workspaces have the same id')
def make_keys(context):
    context.keys = [
        compute_key(SimpleNamespace(workspace=SimpleNamespace(name=name)), 'n1')
        for name in ('acme', 'other')
    ]


@then('their keys differ')
def check_keys(context):
    assert context.keys[0] != context.keys[1]


@when('300 generated datagrams and the records of 100 generated streams arrive')
def decode_generated(context):
    @settings(max_examples=300, deadline=None)
    @draw(st.binary(max_size=2 * MAX_DATAGRAM_BYTES))
    def decode_any(content):
        for datagram in (content, bytes((KIND,)) + content):
            found = decode_begun(datagram)
            assert found is None or len(found.key) == KEY_BYTES

    @settings(max_examples=100, deadline=None)
    @draw(KEYS, NAMES, NAMES, st.floats(0, 3_600))
    def decode_own(key, service, version, lifetime):
        begun = StreamBegun(key, Build(service, version), lifetime)
        datagram = encode_begun(begun)
        if datagram is None:
            return
        found = decode_begun(datagram)
        assert (found.key, found.build) == (begun.key, begun.build)
        assert math.isclose(found.lifetime, lifetime, abs_tol=0.001), found

    context.checks = (decode_any, decode_own)


@then('each record is decoded as it was, and no datagram is an error')
def check_generated(context):
    for check in context.checks:
        check()


@when('200 generated contents are decoded as pages of builds and of records')
def decode_pages(context):
    @settings(max_examples=200, deadline=None)
    @draw(st.binary(max_size=200))
    def decode_any(content):
        for decode in (build_page.decode_page, record_pages.decode_page):
            with contextlib.suppress(RecordInvalid):
                decode(Item('k', content, 1))

    @settings(max_examples=100, deadline=None)
    @draw(st.dictionaries(KEYS, st.builds(Build, NAMES, NAMES)), st.booleans())
    def decode_own(builds, complete):
        page = build_page.BuildPage(frozenset(builds.values()), complete)
        content = build_page.encode_page(page)
        assert build_page.decode_page(Item('k', content, 1)) == page
        records = record_pages.encode_page(builds, dict.fromkeys(builds, 30.0))
        groups = record_pages.decode_page(Item('k', records, 1))
        assert sum(len(group.lifetimes) for group in groups) == len(builds)

    context.checks = (decode_any, decode_own)


@then('each is decoded or refused as invalid, and own pages are decoded as they were')
def check_pages(context):
    for check in context.checks:
        check()


@given('the lists of two routers, of which one lacks one router of 30')
def make_lists(context):
    members = {
        f'router-{number}': Member(f'router-{number}', 'i', ('10.0.0.1', 1))
        for number in range(30)
    }
    context.lists = [members, dict(list(members.items())[1:])]


@then('for 500 streams the routers with the records are among those that are asked')
def check_rings(context):
    rings = [HashRing(), HashRing()]
    for ring, members in zip(rings, context.lists, strict=True):
        ring.update(members)
    for number in range(500):
        key = compute_key(_CALL, f'{number}')
        told = rings[0].select(key, REPLICAS, 'router-5')
        asked = rings[1].select(key, ASKED_ROUTERS, 'router-6')
        assert len({member.host for member in told}) == REPLICAS
        missing = {member.host for member in told} - {member.host for member in asked}
        # One isn't listed, and one is the router that asks.
        assert missing <= {'router-0', 'router-6'}, (told, asked)


@given('a list known since 0 s, with {history}')
def make_history(context, history):
    context.history = BuildHistory()
    context.history.restart(0.0)
    context.listed = []
    if history != 'nothing':
        context.listed.append(V1)
    if history == 'v1 and v2':
        context.listed.append(V2)
    if 'another' in history:
        context.listed.append(Build('another', 'v2'))
    ended = re.search(r'v2 until (\d+) s', history)
    if ended:
        context.history.record(V2, float(ended.group(1)))
    anew = re.search(r'anew at (\d+) s', history)
    if anew:
        context.history.restart(float(anew.group(1)))


@then('at 40 s the versions since 10 s are: {version}')
def check_versions(context, version):
    found = context.history.find('svc', context.listed, 10.0)
    names = 'not known' if found is None else ' '.join(sorted(b.version for b in found))
    assert names == version, found
