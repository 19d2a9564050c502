"""Steps on routes and workspaces that are bound to regions."""

from dataclasses import replace

import msgspec
from behave import then, when
from running_fleet import make_body, run_fleet

from ibisport_fleet.store import Item
from ibisport_platform.records import CATALOGUE_KEY, decode_catalogue

REQUEST_INTERVAL_SECONDS = 0.02
SECONDS = 3.0
REGIONS = {'d-0': 'r-0', 'd-1': 'r-1'}
RECORD = {
    'version': 1,
    'routes': [
        {
            'name': name,
            'hostname': 'h.example',
            'prefix': f'/{name}/',
            'kind': 'idempotent',
            'timeoutMs': 1000,
            'service': 'svc',
            **extra,
        }
        for name, extra in (('bound', {'allowedRegions': ['r-1']}), ('free', {}))
    ],
    'services': [{'name': 'svc'}],
    'tenants': [{'name': 'bound', 'allowedRegions': ['r-0', 'r-1']}, {'name': 'free'}],
}


def _parse_regions(text):
    return None if text == 'all' else frozenset(text.split())


@when('the route allows "{route}" and the workspace "{workspace}"')
def send(context, route, workspace):
    async def act(fleet):
        await fleet.press(REQUEST_INTERVAL_SECONDS, SECONDS, make_body)

    def bind(catalogue):
        routes = tuple(
            replace(one, regions=_parse_regions(route)) for one in catalogue.routes
        )
        workspaces = {
            name: replace(one, regions=_parse_regions(workspace))
            for name, one in catalogue.workspaces.items()
        }
        return replace(catalogue, routes=routes, workspaces=workspaces)

    context.fleet = run_fleet(act, *context.size, change_catalogue=bind)


@then('the requests reach targets in "{reached}" only')
def check_reached(context, reached):
    fleet = context.fleet
    regions = {target.incarnation: REGIONS[target.domain] for target in fleet.targets}
    assert {regions[arrival.target] for arrival in fleet.arrivals} == set(
        reached.split()
    )


@then('no request reaches a target')
def check_none(context):
    assert not context.fleet.arrivals


@when('a record binds a route and a workspace to regions and leaves others free')
def decode(context):
    item = Item(CATALOGUE_KEY, msgspec.json.encode(RECORD), 1)
    context.catalogue = decode_catalogue(item)


@then('the catalogue has these regions, and none for the others')
def check_decoded(context):
    routes = {route.name: route.regions for route in context.catalogue.routes}
    workspaces = {
        name: workspace.regions
        for name, workspace in context.catalogue.workspaces.items()
    }
    assert routes == {'bound': frozenset(('r-1',)), 'free': None}, routes
    assert workspaces == {'bound': frozenset(('r-0', 'r-1')), 'free': None}
