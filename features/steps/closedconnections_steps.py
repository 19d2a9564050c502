"""Steps for connections that a peer closes unnoticed, on real sockets."""

import asyncio
import socket
import time

import uvloop
from behave import given, then, when
from running_router import Caller, encode_request, make_plain, run_until_stopped

from ibisport_fleet.connection_pool import ConnectionPool
from ibisport_fleet.socket_state import reset_on_close

IDLE_SECONDS = 30.0
CONNECT_SECONDS = 5.0
HELD_SECONDS = 0.05
REST_STEP_SECONDS = 0.001


@given('a kept connection to a {peer:w}')
def prepare_connection(context, peer):
    async def connect(listener):
        deadline = asyncio.get_running_loop().time() + CONNECT_SECONDS
        pool = ConnectionPool()
        connection = await pool.open(listener.getsockname(), deadline)
        pool.release(connection, IDLE_SECONDS)
        return pool, listener.accept()[0]

    context.connect = connect


@when('the {peer:w} {closes:w} it while this process is held up, and a request is due')
def close_unnoticed(context, peer, closes):
    async def play():
        with socket.create_server(('127.0.0.1', 0)) as listener:
            pool, accepted = await context.connect(listener)
            if closes == 'resets':
                reset_on_close(accepted)
            accepted.close()
            # The event loop doesn't run meanwhile.
            time.sleep(HELD_SECONDS)
            context.acquired = pool.acquire_idle(listener.getsockname())

    uvloop.run(play())


@then("the request isn't sent on that connection")
def check_not_used(context):
    assert context.acquired is None, context.acquired


@when('callers send again after rests of {first:g} to {last:g} seconds')
def send_after_rests(context, first, last):
    steps = round((last - first) / REST_STEP_SECONDS)
    rests = [first + step * REST_STEP_SECONDS for step in range(steps + 1)]

    async def rest(site, seconds):
        caller = Caller(site)
        await caller.ask(encode_request('once', f'first-{seconds:.3f}'))
        await asyncio.sleep(seconds)
        return await caller.ask(encode_request('once', f'second-{seconds:.3f}'))

    async def act(site):
        return await asyncio.gather(*(site.call(rest(site, each)) for each in rests))

    context.answers = run_until_stopped([make_plain()], act)[1]


@then('each of their requests is answered')
def check_all_answered(context):
    lost = [answer for answer in context.answers if not answer.whole]
    assert not lost, (len(lost), len(context.answers), lost[0])
