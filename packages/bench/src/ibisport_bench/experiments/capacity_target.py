"""The size of letter 1, and the limits that control has to keep."""

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class Fleet:
    """The target; rates are a second, and counts are of the whole fleet."""

    nodes: int = 330
    workers: int = 12_000
    requests: float = 18_000
    tokens: float = 4_600_000
    budgets: int = 32_000
    workspaces: int = 600
    models: int = 27
    regions: int = 7
    domains: int = 27
    changes_a_day: int = 58_000
    failures_a_day: int = 140
    restarts_a_day: int = 2_100

    @property
    def entries(self) -> int:
        """Entries of the catalogue: workers, workspaces, models."""
        return self.workers + self.workspaces + self.models

    @property
    def changes(self) -> float:
        """Catalogue changes a second, on average over a day."""
        return self.changes_a_day / SECONDS_PER_DAY

    @property
    def agent_events(self) -> float:
        """Agents a day that end, by failure or restart."""
        events = self.failures_a_day + self.restarts_a_day
        return events * self.workers / (self.workers + self.nodes)

    @property
    def router_events(self) -> float:
        """Router hosts a day that end, by failure or restart."""
        events = self.failures_a_day + self.restarts_a_day
        return events * self.nodes / (self.workers + self.nodes)


@dataclass(frozen=True, slots=True)
class Bounds:
    """What control may cost a node, and what the store serves a second."""

    core: float = 0.03
    megabytes: float = 256
    bytes_per_second: float = 7_000
    store_writes: float = 500
    store_reads: float = 2_000
    value_bytes: int = 1_000_000


FLEET = Fleet()
BOUNDS = Bounds()
