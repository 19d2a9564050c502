"""Steps on the schema of the links."""

from pathlib import Path

import capnp
from behave import given, then, when

import ibisport_core

SCHEMA = capnp.load(str(Path(ibisport_core.__file__).parent / 'link.capnp'))
DEADLINE = 1_700_000_000_000_000


@given('a submit frame with a body of {size:d} bytes')
def make_submit(context, size):
    context.frame = SCHEMA.Frame.new_message()
    submit = context.frame.init('submit')
    submit.body = bytes(size)
    submit.deadline = DEADLINE


@when('it is written and read again')
def write_and_read(context):
    wire = context.frame.to_bytes()
    with SCHEMA.Frame.from_bytes(wire) as frame:
        context.read = (frame.submit.body, frame.submit.deadline)


@then('the body and the deadline are the same')
def check_same(context):
    sent = context.frame.submit
    assert context.read == (sent.body, sent.deadline)
