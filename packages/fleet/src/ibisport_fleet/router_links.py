"""The links of a router to other routers and to relays."""

from dataclasses import dataclass

from ibisport_fleet.addresses import Address
from ibisport_fleet.connection_pool import ConnectionPool
from ibisport_fleet.datagrams import DatagramEndpoint
from ibisport_fleet.event_log import EventLog
from ibisport_fleet.membership import Membership
from ibisport_fleet.notices import Notifier
from ibisport_fleet.peers import PeerClient


@dataclass(frozen=True, slots=True)
class RouterLinks:
    """How a router reaches other processes of the fleet.

    Attributes:
        members: The listed routers.
        pool: Opens and keeps connections, also to targets.
        peers: Asks other routers over connections.
        notifier: Notifies all other routers over connections.
        datagrams: Sends and receives datagrams.
    """

    members: Membership
    pool: ConnectionPool
    peers: PeerClient
    notifier: Notifier
    datagrams: DatagramEndpoint


def build_router_links(
    members: Membership, address: Address, log: EventLog
) -> RouterLinks:
    """Assemble the links of a router.

    Args:
        members: The listed routers.
        address: Address of this router for other processes.
        log: Receives failures.
    """
    pool = ConnectionPool()
    peers = PeerClient(pool)
    return RouterLinks(
        members,
        pool,
        peers,
        Notifier(members, peers, log),
        DatagramEndpoint(address, log),
    )
