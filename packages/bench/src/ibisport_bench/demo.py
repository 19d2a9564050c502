"""The demo: a whole site, real requests, a top-up and a drain, in a minute.

``make demo`` runs it to its end; ``make demo KEEP=1`` keeps the site running
and prints a ``curl`` line to try.
"""

import os
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from ibisport_bench.caller import CHAT_PATH, CallerAnswer, call_router, make_chat
from ibisport_bench.site import MODEL, Site, SitePlan, WorkspacePlan
from ibisport_core.entries import TargetState

_MAX_CONCURRENT_CALLS = 12
_SETTLE_SECONDS = 3.0
_KEEP_RUNNING_SECONDS = 3600.0
_REQUESTS_PER_WORKSPACE = 12
_WALK_IN_TOKENS = 300
_DRAIN_SECONDS = 2.0
_PLAN = SitePlan(
    engines=3,
    services=1,
    routers=2,
    workspaces=(
        WorkspacePlan('wedding-studios', 500_000),
        WorkspacePlan('archive', 500_000, weight=2),
        WorkspacePlan('walk-in', _WALK_IN_TOKENS),
    ),
)


@dataclass(frozen=True, slots=True)
class _CallResult:
    workspace: str
    answer: CallerAnswer


class Demo:
    """Runs the demo on a site."""

    def __init__(self, site: Site) -> None:
        """Keep the site.

        Args:
            site: A started site.
        """
        self._site = site
        self._results: list[_CallResult] = []

    def run(self) -> None:
        """Ask, top up, drain, and print what came of it."""
        self._print_progress('three workspaces ask through two routers')
        self._run_round('first')
        self._print_progress('the walk-in counter has used its budget up: top it up')
        self._site.operator.top_up('walk-in', 'main', 100_000, 'demo-payment')
        self._run_round('second')
        self._drain('engine-0')
        self._run_round('third')
        self._print_progress(
            f'engine-0 has run {self._count_runs("engine-0")} requests since'
        )
        self._print_table()

    def _run_round(self, name: str) -> None:
        with ThreadPoolExecutor(_MAX_CONCURRENT_CALLS) as pool:
            jobs = [
                pool.submit(self._send_request, plan.name, f'{name} {number}', number)
                for number in range(_REQUESTS_PER_WORKSPACE)
                for plan in self._site.plan.workspaces
            ]
            answers = [job.result() for job in jobs]
        self._results += answers
        refused = Counter(
            one.answer.error_code for one in answers if one.answer.error_code
        )
        served = len(answers) - refused.total()
        self._print_progress(f'{name} round: {served} served, refused {dict(refused)}')

    def _send_request(self, workspace: str, topic: str, number: int) -> _CallResult:
        router = self._site.routers[number % len(self._site.routers)]
        prompt = f'read the faded caption {topic} answer_tokens={20 + number}'
        body = make_chat(MODEL, prompt, stream=number % 2 == 0, max_tokens=64)
        answer = call_router(router.url, f'key-{workspace}', CHAT_PATH, body)
        return _CallResult(workspace, answer)

    def _drain(self, name: str) -> None:
        before = self._count_runs(name)
        self._site.operator.set_target_state(name, TargetState.draining)
        time.sleep(_DRAIN_SECONDS)
        settled = self._count_runs(name)
        self._print_progress(
            f'{name} drains: it ran {before} requests, {settled} when drained'
        )

    def _count_runs(self, name: str) -> int:
        url = self._site.targets[name].program.url
        return len(self._site.http.request('GET', f'{url}/runs').json())

    def _print_table(self) -> None:
        time.sleep(_SETTLE_SECONDS)
        asked: dict[str, list[CallerAnswer]] = defaultdict(list)
        for one in self._results:
            asked[one.workspace].append(one.answer)
        _print_row(('workspace', 'asked', 'got', 'tokens got', 'paid', 'left'))
        for workspace, answers in asked.items():
            got = [one for one in answers if one.status == 200]
            account = self._site.operator.read_budget(workspace, 'main')
            tokens = sum(one.tokens for one in got)
            left = account.topped_up - account.spent
            _print_row((workspace, len(answers), len(got), tokens, account.spent, left))

    def _print_progress(self, text: str) -> None:
        print(f'-- {text}', flush=True)


def run() -> None:
    """Start a site, run the demo on it and end it."""
    folder = Path(tempfile.mkdtemp(prefix='ibisport-demo-'))
    site = Site(_PLAN, folder)
    print(f'-- starting store, targets, agents and routers; logs in {folder}')
    try:
        site.start()
        Demo(site).run()
        if os.environ.get('KEEP'):
            _keep_running(site)
    finally:
        site.stop()


def _keep_running(site: Site) -> None:
    body = make_chat(MODEL, 'hello answer_tokens=30', stream=True).decode()
    router = site.routers[0]
    print(
        f"try: curl -N {router.url}{CHAT_PATH} -H 'Authorization: Bearer key-archive'"
        f" -H 'Content-Type: application/json' -d '{body}'",
        flush=True,
    )
    try:
        time.sleep(_KEEP_RUNNING_SECONDS)
    except KeyboardInterrupt:
        print('-- stopped')


def _print_row(cells: Iterable[object]) -> None:
    print('  '.join(f'{cell!s:>16}' for cell in cells), flush=True)


if __name__ == '__main__':
    run()
