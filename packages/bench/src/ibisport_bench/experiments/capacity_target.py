"""Size of the target fleet, and limits on the cost of its control plane."""

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class Fleet:
    """The target fleet; counts are fleet-wide, and rates are per second or per day."""

    nodes: int = 330
    workers: int = 12_000
    requests: float = 18_000
    tokens: float = 4_600_000
    budgets: int = 32_000
    workspaces: int = 600
    models: int = 27
    regions: int = 7
    domains: int = 27
    changes_per_day: int = 58_000
    failures_per_day: int = 140
    restarts_per_day: int = 2_100

    @property
    def entries(self) -> int:
        """Number of catalogue entries: workers, workspaces and models."""
        return self.workers + self.workspaces + self.models

    @property
    def changes(self) -> float:
        """Catalogue changes per second, averaged over a day."""
        return self.changes_per_day / SECONDS_PER_DAY

    @property
    def agent_events(self) -> float:
        """Agents that fail or restart per day."""
        events = self.failures_per_day + self.restarts_per_day
        return events * self.workers / (self.workers + self.nodes)

    @property
    def router_events(self) -> float:
        """Router hosts that fail or restart per day."""
        events = self.failures_per_day + self.restarts_per_day
        return events * self.nodes / (self.workers + self.nodes)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits on control cost per node and on store load.

    Attributes:
        core: Share of one processor core.
        megabytes: Resident memory.
        bytes_per_second: Bytes of control messages.
        store_writes: Writes per second that the store serves.
        store_reads: Reads per second that the store serves.
        value_bytes: Size limit of one stored value.
    """

    core: float = 0.03
    megabytes: float = 256
    bytes_per_second: float = 7_000
    store_writes: float = 500
    store_reads: float = 2_000
    value_bytes: int = 1_000_000


FLEET = Fleet()
BOUNDS = Bounds()
