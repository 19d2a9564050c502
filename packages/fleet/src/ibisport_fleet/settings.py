"""What a router's process is told at its start."""

from dataclasses import dataclass

from ibisport_fleet.addresses import Address


@dataclass(frozen=True, slots=True)
class Bounds:
    """Figures that the deployment sets.

    Attributes:
        retry_ratio: Second sends that the fleet may make for each request.
        retry_slack: Second sends that it may make besides.
        retry_window: Sliding window of both, seconds.
        stop_grace: Time from the signal to stop until the process is killed,
            seconds.
        change_bound: Longest time after which a change of the catalogue or of the
            targets must be in force, seconds.
    """

    retry_ratio: float
    retry_slack: float
    retry_window: float
    stop_grace: float
    max_propagation_delay: float = 2.0


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Who this process is and whom it talks to.

    Attributes:
        host: Name of the host.
        domain: Its failure domain.
        peer_address: Where this host's process listens for the other ones; the
            port is the same on all hosts.
        metrics_address: Where the metrics are served, besides readiness.
        callers_address: Where callers' connections arrive, or None.
        readiness_address: Where the balancer asks whether new ones may come, or
            None.
        store_address: The key-value service.
        bounds: Figures of the deployment.
    """

    host: str
    domain: str
    peer_address: Address
    metrics_address: Address
    callers_address: Address | None
    readiness_address: Address | None
    store_address: Address
    bounds: Bounds
