"""Steps for connections that a peer closes unnoticed, on real sockets."""

import asyncio
import socket
import time

import uvloop
from behave import given, then, when

from ibisport_fleet.connection_pool import ConnectionPool
from ibisport_fleet.socket_state import reset_on_close

IDLE_SECONDS = 30.0
CONNECT_SECONDS = 5.0
HELD_SECONDS = 0.05


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
