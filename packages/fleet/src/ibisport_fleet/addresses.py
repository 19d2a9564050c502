"""Network addresses of routers, targets and stores."""

from ipaddress import AddressValueError, IPv4Address
from typing import Annotated

from msgspec import Meta

MAX_PORT = 65_535
# Addresses below are this network's, those from 224 on are multicast or reserved
# (RFC 6890); a connection to 0.0.0.0 reaches the host that opens it.
HOST_OCTETS = range(1, 224)

# A socket refuses other ports with an error of its own kind.
Port = Annotated[int, Meta(ge=0, le=MAX_PORT)]
# IP address and port.
Address = tuple[str, int]


def is_host_address(address: Address) -> bool:
    """Return whether an address names a port of a single host."""
    host, port = address
    try:
        first_octet = IPv4Address(host).packed[0]
    except AddressValueError:
        return False
    return first_octet in HOST_OCTETS and 0 < port <= MAX_PORT
