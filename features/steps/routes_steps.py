"""Steps for the lookup of routes."""

import time

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from ibisport_bench.soak.site import SITE_HOST, make_route
from ibisport_fleet.catalogue import Catalogue, RouteKind

OTHER_HOST = 'other.example'
LOOKUPS, ROUNDS = 200, 5
PATHS = st.lists(st.sampled_from('ab'), max_size=4).map(
    lambda names: ''.join(f'/{name}' for name in names) + '/'
)


def _make_catalogue(prefixes):
    routes = [
        make_route(f'route-{number}', prefix, RouteKind.once, 'service')
        for number, prefix in enumerate(prefixes)
    ]
    return Catalogue(1, 1, tuple(routes), {}, {}, {}, needs_keys=False)


@when('paths are looked up among random routes')
def look_up_random(context):
    context.lookups = []

    @settings(max_examples=300, derandomize=True)
    @given(st.lists(PATHS), PATHS, st.sampled_from(('', 'a', 'a/b')))
    def look_up(prefixes, path, rest):
        catalogue = _make_catalogue(prefixes)
        found = catalogue.find_route(SITE_HOST.upper(), path + rest)
        matching = [
            route
            for route in catalogue.routes
            if (path + rest).startswith(route.prefix)
        ]
        # Of equally long prefixes, max returns the first.
        expected = max(matching, key=lambda route: len(route.prefix), default=None)
        others = catalogue.find_route(OTHER_HOST, path)
        context.lookups.append((found, expected, others))

    look_up()


@then('each has the first route with the longest prefix that matches')
def check_random(context):
    assert any(expected for _, expected, _ in context.lookups)
    wrong = [
        (found, expected)
        for found, expected, others in context.lookups
        if found is not expected or others is not None
    ]
    assert not wrong, wrong[0]


def _measure_lookups(count):
    catalogue = _make_catalogue(f'/service-{number}/' for number in range(count))
    seconds = []
    for _ in range(ROUNDS):
        begun = time.process_time()
        for number in range(LOOKUPS):
            assert catalogue.find_route(SITE_HOST, f'/service-{number % count}/x')
        seconds.append(time.process_time() - begun)
    return min(seconds)


@when('paths are looked up among {few:d} and among {many:d} routes')
def measure_lookups(context, few, many):
    context.seconds = _measure_lookups(few), _measure_lookups(many)


@then('a lookup among more routes takes at most {factor:d} times as long')
def check_lookups(context, factor):
    few, many = context.seconds
    assert many <= factor * few, f'{many / few:.1f} times as long'
