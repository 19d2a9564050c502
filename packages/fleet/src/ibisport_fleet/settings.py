"""Settings that a router or relay gets at its start."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from ibisport_fleet.addresses import Address


class Feature(Enum):
    """A part that takes effect only where the settings name it.

    Attributes:
        load_feed: Relays send routers the load of the engine on their host.
        pace: Engines are chosen by their observed pace and the demand for prompts.
        queueing: Less urgent requests wait while targets are crowded.
        standby: A router that can't serve leaves the balancer's rotation.
        lending: A second lender is asked in time, and tokens are lent ahead.
        copies: Streams continue at an engine that holds a copy of their memory.
        hedging: A late request that may run twice is sent to a second target.
    """

    load_feed = 'load_feed'
    pace = 'pace'
    queueing = 'queueing'
    standby = 'standby'
    lending = 'lending'
    copies = 'copies'
    hedging = 'hedging'


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the deployment sets.

    Attributes:
        retry_ratio: Retries that the fleet may send for each request.
        retry_slack: Retries that it may send in addition.
        retry_window: Sliding window of both, seconds.
        stop_grace: Time from the stop signal until the process is killed, seconds.
        max_propagation_delay: Maximum time until a change of the catalogue or of the
            targets takes effect, seconds.
    """

    retry_ratio: float
    retry_slack: float
    retry_window: float
    stop_grace: float
    max_propagation_delay: float = 2.0


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """What the machine grants a process.

    Attributes:
        memory_bytes: Memory at which the process is ended.
        descriptors: Open files and sockets.
    """

    memory_bytes: float = 232_000_000
    descriptors: int = 4_096


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Identity of a process and the addresses that it uses.

    Attributes:
        host: Name of the host.
        domain: Failure domain of the host.
        peer_address: Address for connections of other hosts' processes; the port is
            the same on all hosts.
        metrics_address: Additional address that serves metrics and readiness.
        callers_address: Address for callers' connections, or None.
        readiness_address: Address where the load balancer asks whether to send new
            connections, or None.
        store_address: Address of the key-value service.
        bounds: Limits that the deployment sets.
        regions: The region of each failure domain.
        features: The optional parts that are in use.
        engine_address: Address of the engine on this host, or None.
        store_writes_per_second: Write calls that the store takes from all processes.
        first_start: Whether the whole system starts for the first time, so that no
            process of it has run before.
        resources: What the machine grants the process.
    """

    host: str
    domain: str
    peer_address: Address
    metrics_address: Address
    callers_address: Address | None
    readiness_address: Address | None
    store_address: Address
    bounds: Bounds
    regions: Mapping[str, str] = field(default_factory=dict)
    features: frozenset[Feature] = frozenset()
    engine_address: Address | None = None
    store_writes_per_second: float = 400.0
    first_start: bool = False
    resources: ResourceLimits = ResourceLimits()
