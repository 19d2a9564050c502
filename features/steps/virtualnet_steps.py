"""Steps on the in-memory network itself."""

import asyncio

from behave import given, then, when

from ibisport_bench.memory_transport import Link
from ibisport_bench.virtual_network import run_on_net

ADDRESS = ('10.0.0.1', 80)


class Recorder(asyncio.Protocol):
    """Records received bytes, the end of the connection and pauses of writing."""

    def __init__(self):
        self.received = b''
        self.ended = self.lost = self.failure = None
        self.pause_count = 0

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport

    def data_received(self, data):
        """Record the bytes and their time."""
        self.received += data
        self.received_at = asyncio.get_running_loop().time()

    def eof_received(self):
        """Record the end of the stream."""
        self.ended = True

    def connection_lost(self, exc):
        """Record how the connection ended."""
        self.lost, self.failure = True, exc

    def pause_writing(self):
        """Count how often writing is paused."""
        self.pause_count += 1


def _run_connection(context, link, act):
    async def run(net):
        net.links['server', ''] = link
        accepted = []

        async def serve():
            def accept():
                accepted.append(Recorder())
                return accepted[-1]

            context.listener = await net.create_server(accept, *ADDRESS)

        await net.start_on('server', serve())
        context.reader = Recorder()
        await net.create_connection(lambda: context.reader, *ADDRESS)
        context.sender = accepted[0]
        await act(net)

    run_on_net(run)


@given('a link with a delay of {delay:g} s and {rate:g} bytes per second')
def define_slow_link(context, delay, rate):
    context.link = Link(delay, rate)


@given('a link that buffers {size:d} bytes')
def define_small_link(context, size):
    context.link = Link(buffer_bytes=size)


@when('{size:d} bytes are sent over it and the connection is closed')
def send_and_close(context, size):
    async def act(net):
        context.sender.transport.write(bytes(size))
        context.sender.transport.close()
        await asyncio.sleep(10.0)

    _run_connection(context, context.link, act)


@then(
    'they arrive completely {seconds:g} s after the call to connect, '
    'followed by the end'
)
def check_times(context, seconds):
    reader = context.reader
    # 0.5 s until the connection is established, 2 s of transfer and 0.5 s of delay; the
    # other direction has the default delay.
    assert round(reader.received_at, 2) == round(seconds, 2), reader.received_at
    assert len(reader.received) == 2_000 and reader.ended and reader.failure is None


@when('{size:d} bytes are sent to a reader that pauses for {seconds:g} s')
def send_to_slow(context, size, seconds):
    async def act(net):
        context.reader.transport.pause_reading()
        context.sender.transport.write(bytes(size))
        await asyncio.sleep(seconds)
        context.received_while_paused = len(context.reader.received)
        context.buffered = context.sender.transport.get_write_buffer_size()
        context.reader.transport.resume_reading()
        await asyncio.sleep(1.0)

    _run_connection(context, context.link, act)


@then('the sender had to wait and the reader receives all bytes')
def check_wait(context):
    assert context.received_while_paused == 0 and context.sender.pause_count == 1
    assert context.buffered == 200_000 - context.link.buffer_bytes, context.buffered
    assert len(context.reader.received) == 200_000, len(context.reader.received)
    assert context.sender.transport.get_write_buffer_size() == 0


@when('a process writes {size:d} bytes and exits before the reader reads')
def write_and_exit(context, size):
    async def act(net):
        context.reader.transport.pause_reading()
        context.sender.transport.write(bytes(size))
        net.kill('server')
        await asyncio.sleep(1.0)
        context.reader.transport.resume_reading()
        await asyncio.sleep(1.0)

    _run_connection(context, context.link, act)


@then('the reader receives {size:d} bytes and the end of the stream')
def check_part(context, size):
    reader = context.reader
    assert len(reader.received) == size and reader.ended, len(reader.received)
    assert not context.listener.is_serving()


@when('a process closes a connection with unread bytes')
def close_unread(context):
    async def act(net):
        context.sender.transport.pause_reading()
        context.reader.transport.write(b'unread')
        await asyncio.sleep(1.0)
        context.sender.transport.close()
        await asyncio.sleep(1.0)

    _run_connection(context, Link(), act)


@then('the peer sees a reset')
def check_reset(context):
    assert isinstance(context.reader.failure, ConnectionResetError)


@when('a listener with one connection is closed')
def close_listener(context):
    async def act(net):
        context.listener.close()
        context.sender.transport.write(b'still there')
        try:
            await net.create_connection(Recorder, *ADDRESS)
        except ConnectionRefusedError as error:
            context.refusal = error
        await asyncio.sleep(1.0)

    _run_connection(context, Link(), act)


@then('the connection still works and a new one is refused')
def check_refusal(context):
    assert context.reader.received == b'still there', context.reader.received
    assert context.refusal is not None
