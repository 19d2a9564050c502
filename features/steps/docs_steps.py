"""Steps that compare the documentation with the code."""

import re
from pathlib import Path

from behave import then

from ibisport_core import errors
from ibisport_core.events import Event
from ibisport_fleet.event_log import Event as FleetEvent

DOCS = Path(__file__).parents[2] / 'docs'
# Only sent between processes, or to a caller that has disconnected.
INTERNAL = frozenset(('refused', 'not_known', 'request_cancelled'))


@then('docs/EVENTS.md lists exactly the events of the code')
def check_events(context):
    page = (DOCS / 'EVENTS.md').read_text()
    listed = re.findall(r'^\| (\d+) \| `(\w+)` \|', page, re.MULTILINE)
    events = [*Event, *FleetEvent]
    assert listed == [(str(int(event)), event.name) for event in events], listed


@then('docs/CALLERS.md names the code and status of each refusal')
def check_refusals(context):
    page = (DOCS / 'CALLERS.md').read_text()
    rows = [line for line in page.splitlines() if line.startswith('| `')]
    for candidate in vars(errors).values():
        if _is_sent_to_callers(candidate):
            matches = [row for row in rows if f'`{candidate.code}`' in row]
            assert matches, candidate.code
            assert f'| {candidate.status} |' in matches[0], matches


def _is_sent_to_callers(candidate):
    if not isinstance(candidate, type) or not issubclass(candidate, errors.Refusal):
        return False
    return candidate.code not in INTERNAL
