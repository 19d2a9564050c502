"""Components that the handling of all requests shares."""

from collections import defaultdict
from dataclasses import dataclass, field

from ibisport_fleet.budgets import Budgets
from ibisport_fleet.catalogue import Engine
from ibisport_fleet.continuation.copies import CopiesInFlight
from ibisport_fleet.continuation.hedging import AnswerTimes
from ibisport_fleet.fleet_view import CatalogueView, TargetView
from ibisport_fleet.metadata import Dialect
from ibisport_fleet.placing.pace import ServicePace
from ibisport_fleet.prompt_mix import PromptMix
from ibisport_fleet.quarantine.fatal_requests import FatalRequests
from ibisport_fleet.queueing.request_gate import RequestGate
from ibisport_fleet.request_recorder import RequestRecorder
from ibisport_fleet.retry_budget import RetryBudget
from ibisport_fleet.settings import HostSettings
from ibisport_fleet.stream_versions.directory import StreamDirectory
from ibisport_fleet.target_client import TargetClient
from ibisport_fleet.target_holds import TargetHolds


@dataclass(frozen=True, slots=True)
class Dependencies:
    """Components that are shared by the handling of all requests.

    Attributes:
        settings: The settings of this router.
        dialect: Converts between headers and metadata.
        catalogue: The current catalogue.
        targets: The known targets.
        target_client: Sends requests to targets.
        budgets: The token budgets of workspaces.
        recorder: Logs and counts decisions.
        fatal_requests: Quarantine of requests that crash targets.
        holds: Reasons for which targets may not get requests.
        streams: The software that began recent streams.
        copies: Copies of runs that this router has in flight.
        answer_times: Times of the recent answers of plain services, by service.
        start_times: Times to the recent first events of streams, by service.
    """

    settings: HostSettings
    dialect: Dialect
    catalogue: CatalogueView
    targets: TargetView
    target_client: TargetClient
    budgets: Budgets
    recorder: RequestRecorder
    fatal_requests: FatalRequests
    holds: TargetHolds
    streams: StreamDirectory
    copies: CopiesInFlight = field(default_factory=CopiesInFlight)
    answer_times: defaultdict[str, AnswerTimes] = field(
        default_factory=lambda: defaultdict(AnswerTimes)
    )
    start_times: defaultdict[str, AnswerTimes] = field(
        default_factory=lambda: defaultdict(AnswerTimes)
    )

    def find_engine(self, service_name: str) -> Engine | None:
        """Return the capacity of a service's engines; None: it has none."""
        catalogue = self.catalogue.current
        services = {} if catalogue is None else catalogue.services
        service = services.get(service_name)
        return None if service is None else service.engine

    def find_tokens_per_event(self, service_name: str) -> int:
        """Return the most tokens that an event of a service's streams may hold."""
        engine = self.find_engine(service_name)
        return 1 if engine is None else engine.tokens_per_event


@dataclass(frozen=True, slots=True)
class ServiceState:
    """What this router observes and limits for each service.

    Attributes:
        retry_budget: Limits retries to the service.
        prompt_mix: Statistics of its prompts and answers.
        pace: How slow its engines are.
        gate: Decides when requests go to targets; None: they go at once.
    """

    retry_budget: RetryBudget
    prompt_mix: PromptMix
    pace: ServicePace
    gate: RequestGate | None = None
