"""Latency of small workspaces beside a large one, on a site of real processes.

Run by ``python -m ibisport_bench.experiments.neighbours --seed 1``. Arrivals are
open-loop and seeded. The time to the first token counts from the intended arrival,
so that a delay in the sender does not hide waiting time.
"""

import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import fire
import numpy as np
import urllib3

from ibisport_bench.caller import CHAT_PATH, make_chat
from ibisport_bench.site import MODEL, Site, SitePlan, WorkspacePlan

_LARGE = 'large'
_SMALL = ('small-0', 'small-1', 'small-2', 'small-3')
_ANSWER_TOKENS = 16
_BUDGET_TOKENS = 100_000_000
_SMALL_THREADS = 64
_LARGE_THREADS = 800
_TIMEOUT_SECONDS = 30.0
_DEADLINE_SECONDS = 10.0
_MS_PER_SECOND = 1000.0
_OK = 200


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request and the time to send it.

    Attributes:
        at: Seconds after the start of the run.
        workspace: Workspace that sends the request.
        number: Index in the run; makes the prompt unique and picks the router.
    """

    at: float
    workspace: str
    number: int


@dataclass(slots=True)
class Outcome:
    """Results of a workspace in one run.

    Attributes:
        first_token_ms: Time to the first token of each request with status 200.
        status_counts: Number of answers by HTTP status.
    """

    first_token_ms: list[float] = field(default_factory=list)
    status_counts: Counter[int] = field(default_factory=Counter)


class ArrivalSender:
    """Sends the requests of a run to the routers of a site."""

    def __init__(self, site: Site) -> None:
        """Open a connection pool for the site.

        Args:
            site: The running site.
        """
        self._site = site
        self._http = urllib3.PoolManager(maxsize=_LARGE_THREADS, retries=False)

    def run(self, arrivals: list[Arrival]) -> dict[str, Outcome]:
        """Send the requests at their arrival times and return outcomes by workspace."""
        outcomes: dict[str, Outcome] = defaultdict(Outcome)
        started = time.time() + 0.1
        # Separate thread pools, so that requests of the small workspaces do not
        # queue behind those of the large one in this process.
        with (
            ThreadPoolExecutor(_SMALL_THREADS) as small,
            ThreadPoolExecutor(_LARGE_THREADS) as large,
        ):
            for arrival in arrivals:
                time.sleep(max(0, started + arrival.at - time.time()))
                pool = large if arrival.workspace == _LARGE else small
                outcome = outcomes[arrival.workspace]
                pool.submit(self._send, arrival, started, outcome)
        return outcomes

    def _send(self, arrival: Arrival, started: float, outcome: Outcome) -> None:
        routers = self._site.routers
        router = routers[arrival.number % len(routers)]
        due = started + arrival.at
        prompt = f'{arrival.workspace} {arrival.number} answer_tokens={_ANSWER_TOKENS}'
        answer = self._http.request(
            'POST',
            f'{router.url}{CHAT_PATH}',
            body=make_chat(MODEL, prompt, stream=True, max_tokens=_ANSWER_TOKENS),
            headers={
                'Authorization': f'Bearer key-{arrival.workspace}',
                'X-Deadline': str(due + _DEADLINE_SECONDS),
            },
            timeout=_TIMEOUT_SECONDS,
            preload_content=False,
        )
        answer.read1(1)
        if answer.status == _OK:
            outcome.first_token_ms.append((time.time() - due) * _MS_PER_SECOND)
        outcome.status_counts[answer.status] += 1
        answer.drain_conn()
        answer.release_conn()


def make_arrivals(
    rng: np.random.Generator, seconds: float, small_rate: float, multiple: float
) -> list[Arrival]:
    """Return Poisson arrivals of the small workspaces and the large one.

    Args:
        rng: Seeded random generator.
        seconds: Duration of the arrivals.
        small_rate: Requests per second of each small workspace.
        multiple: Rate of the large workspace as a multiple of ``small_rate``.
    """
    rates = {workspace: small_rate for workspace in _SMALL}
    rates[_LARGE] = small_rate * multiple
    drawn = [
        (at, workspace)
        for workspace, rate in rates.items()
        for at in _draw_arrival_times(rng, seconds, rate)
    ]
    return [
        Arrival(at, workspace, number)
        for number, (at, workspace) in enumerate(sorted(drawn))
    ]


def run(
    seed: int = 1,
    seconds: float = 20,
    small_rate: float = 1.0,
    times: tuple[float, ...] = (0, 10, 100),
    engines: int = 2,
) -> None:
    """Measure small workspaces alone and beside a large one.

    Args:
        seed: Seed of the arrivals.
        seconds: Duration of the arrivals in each run.
        small_rate: Requests per second of each small workspace.
        times: Rates of the large workspace as multiples of ``small_rate``; one run
            for each.
        engines: Number of engines, each with 8 slots and 20 ms per token.
    """
    plans = tuple(WorkspacePlan(name, _BUDGET_TOKENS) for name in (*_SMALL, _LARGE))
    plan = SitePlan(engines=engines, services=0, token_ms=20, workspaces=plans)
    site = Site(plan, Path(tempfile.mkdtemp(prefix='ibisport-neighbours-')))
    try:
        site.start()
        sender = ArrivalSender(site)
        sender.run(make_arrivals(np.random.default_rng(0), 5, small_rate, 1))
        _print_runs(sender, seed, seconds, small_rate, times)
    finally:
        site.stop()


def _print_runs(
    sender: ArrivalSender,
    seed: int,
    seconds: float,
    small_rate: float,
    multiples: tuple[float, ...],
) -> None:
    print('| large sends | who | first p50/p95/p99 ms | served | statuses |')
    print('| --- | --- | --- | --- | --- |')
    for multiple in multiples:
        rng = np.random.default_rng(seed)
        arrivals = make_arrivals(rng, seconds, small_rate, multiple)
        outcomes = sender.run(arrivals)
        small = Outcome()
        for workspace in _SMALL:
            small.first_token_ms += outcomes[workspace].first_token_ms
            small.status_counts += outcomes[workspace].status_counts
        _print_outcome(multiple, 'small', small)
        _print_outcome(multiple, _LARGE, outcomes[_LARGE])


def _print_outcome(multiple: float, label: str, outcome: Outcome) -> None:
    if not outcome.status_counts:
        return
    percentiles = 'none'
    if outcome.first_token_ms:
        samples = np.percentile(outcome.first_token_ms, [50, 95, 99])
        percentiles = '/'.join(f'{sample:.0f}' for sample in samples)
    served = len(outcome.first_token_ms)
    codes = dict(outcome.status_counts)
    print(f'| {multiple}x | {label} | {percentiles} | {served} | {codes} |', flush=True)


def _draw_arrival_times(
    rng: np.random.Generator, seconds: float, rate: float
) -> Iterator[float]:
    at = 0.0
    while rate > 0:
        at += rng.exponential(1 / rate)
        if at >= seconds:
            return
        yield at


if __name__ == '__main__':
    fire.Fire(run)
