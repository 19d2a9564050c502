"""How a router greets agents and other routers on a fresh connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisport_core.errors import FrameInvalid, LinkClosed
from ibisport_core.link import Link, connect_link
from ibisport_core.messages import SCHEMA_VERSION, Hello, Welcome

if TYPE_CHECKING:
    from ibisport_router.router import Router


def connect_peer(
    router: Router, address: str, timeout: float, silence: float
) -> tuple[Link, Welcome]:
    """Connect to a process and exchange greetings.

    Args:
        router: Who connects.
        address: ``host:port`` of the other's listener.
        timeout: Seconds to wait for the connection.
        silence: Seconds without a byte after which the link is dead.

    Returns:
        The open link and the other side's greeting.

    Raises:
        LinkClosed: It cannot be reached or did not greet.
        FrameInvalid: It sent no frame.
    """
    link = connect_link(address, timeout, silence)
    try:
        link.send(_make_hello(router))
        welcome = link.receive()
    except (LinkClosed, FrameInvalid):
        link.close()
        raise
    if not isinstance(welcome, Welcome):
        link.close()
        raise LinkClosed(f'{address} did not greet')
    return link, welcome


def _make_hello(router: Router) -> Hello:
    settings = router.settings
    return Hello(
        SCHEMA_VERSION,
        'router',
        router.session.name,
        settings.failure_domain,
        router.link_address,
        settings.link_secret,
    )
