"""Steps for the platform's settings file."""

import shutil
import tempfile
from pathlib import Path

from behave import given, then, when

from ibisport_fleet.errors import RecordInvalid
from ibisport_platform.settings import load_settings, parse_features

SETTINGS = """
node = "edge-1"
ip = "127.0.0.1"
zone = "d-0"
portRange = [7200, 7215]
[platform]
address = "127.0.0.1:8742"
[bounds]
"""
INVALID_LINES = {
    'a grace time of -1': 'graceS = -1',
    'a grace time of nan': 'graceS = nan',
    'a grace time of inf': 'graceS = inf',
    'a retry window of -0.5': 'retryWindowS = -0.5',
    'tables nested 5000 deep': 'x = ' + '[' * 5_000 + ']' * 5_000,
    'a grace time that is text': 'graceS = "8"',
}


@given('a settings file with {invalid_line}')
def write_settings(context, invalid_line):
    folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, folder)
    context.path = Path(folder) / 'settings.toml'
    context.path.write_text(SETTINGS)
    # The file is valid without the invalid line.
    assert load_settings(context.path).host == 'edge-1'
    context.path.write_text(SETTINGS + INVALID_LINES[invalid_line])


@when('it is read')
def load_invalid_settings(context):
    context.refusal = None
    try:
        load_settings(context.path)
    except RecordInvalid as error:
        context.refusal = error


@then('it is refused, and the reason is told')
def check_settings_rejected(context):
    assert context.refusal is not None and 'settings' in str(context.refusal)


@when('the list of optional parts is "{text}"')
def parse_part_names(context, text):
    context.parts, context.refusal = None, None
    try:
        context.parts = parse_features(text)
    except RecordInvalid as error:
        context.refusal = error


@when('the list of optional parts is ""')
def parse_no_part_names(context):
    parse_part_names(context, '')


@then('the parts {names} are in use')
def check_parts(context, names):
    expected = set() if names == 'none' else set(names.split(' and '))
    assert {part.value for part in context.parts} == expected, context.parts


@then('the list is refused, and the reason names the part')
def check_part_refused(context):
    assert context.parts is None
    assert 'stand_by' in str(context.refusal), context.refusal
