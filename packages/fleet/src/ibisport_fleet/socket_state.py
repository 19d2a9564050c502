"""What the operating system knows and does beside the event loop's connections."""

import array
import contextlib
import fcntl
import select
import socket
import struct
import termios

# Also reported without being asked for: POLLERR and POLLHUP.
END_EVENTS = select.POLLRDHUP | select.POLLERR | select.POLLHUP
# Of struct tcp_info (linux/tcp.h): tcpi_last_ack_recv, in milliseconds.
LAST_ACK_OFFSET = 56
TCP_INFO_BYTES = 60
MS_PER_SECOND = 1_000
# struct linger: close at once, with a reset.
NO_LINGER = struct.pack('ii', 1, 0)


def has_peer_ended(raw: socket.socket | None) -> bool:
    """Return whether the peer has closed or reset the connection.

    Unlike a read, this also sees an end behind bytes that nobody has read yet.

    Args:
        raw: The socket, or None for a connection without one.
    """
    if raw is None or raw.fileno() < 0:
        return False
    poller = select.poll()
    poller.register(raw.fileno(), select.POLLRDHUP)
    return any(events & END_EVENTS for _, events in poller.poll(0))


def has_received(raw: socket.socket | None) -> bool:
    """Return whether bytes have arrived that the event loop hasn't read.

    Args:
        raw: The socket, or None for a connection without one.
    """
    if raw is None or raw.fileno() < 0:
        return False
    counted = array.array('i', (0,))
    with contextlib.suppress(OSError):
        fcntl.ioctl(raw.fileno(), termios.FIONREAD, counted)
    return bool(counted[0])


def measure_packet_age(raw: socket.socket | None) -> float | None:
    """Return the seconds since the last packet of the peer.

    After a close in order, that is the end of the connection.

    Args:
        raw: The socket, or None for a connection without one.

    Returns:
        The seconds; None for a closed socket, or where the system doesn't tell.
    """
    if raw is None or raw.fileno() < 0:
        return None
    try:
        info = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < TCP_INFO_BYTES:
        return None
    milliseconds: int = struct.unpack_from('I', info, LAST_ACK_OFFSET)[0]
    return milliseconds / MS_PER_SECOND


def reset_on_close(raw: socket.socket | None) -> None:
    """Let the operating system reset a connection as soon as it is closed.

    Otherwise it goes on delivering what was handed to it.

    Args:
        raw: The socket, or None for a connection without one.
    """
    if raw is not None and raw.fileno() >= 0:
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
