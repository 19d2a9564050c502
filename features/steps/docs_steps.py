"""Steps that compare the pages with the code."""

import re
from pathlib import Path

from behave import then

from ibisport_core import errors
from ibisport_core.events import Event
from ibisport_fleet.eventlog import Event as FleetEvent

DOCS = Path(__file__).parents[2] / 'docs'
# They pass between processes only, or answer a caller who has gone.
INTERNAL = frozenset(('refused', 'not_known', 'request_cancelled'))


@then('docs/EVENTS.md lists exactly the events of the code')
def check_events(context):
    page = (DOCS / 'EVENTS.md').read_text()
    listed = re.findall(r'^\| (\d+) \| `(\w+)` \|', page, re.MULTILINE)
    events = [*Event, *FleetEvent]
    assert listed == [(str(int(one)), one.name) for one in events], listed


@then('docs/CALLERS.md names the code and status of each refusal')
def check_refusals(context):
    page = (DOCS / 'CALLERS.md').read_text()
    rows = [line for line in page.splitlines() if line.startswith('| `')]
    for kind in vars(errors).values():
        if _is_sent_to_callers(kind):
            found = [row for row in rows if f'`{kind.code}`' in row]
            assert found, kind.code
            assert f'| {kind.status} |' in found[0], found


def _is_sent_to_callers(kind):
    if not isinstance(kind, type) or not issubclass(kind, errors.Refusal):
        return False
    return kind.code not in INTERNAL
