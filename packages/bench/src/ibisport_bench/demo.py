"""Demo: starts a whole site, sends requests, tops up a budget and drains a target.

It takes about a minute. ``make demo`` exits at the end; ``make demo KEEP=1`` keeps the
site running and prints a ``curl`` command to try.
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
        """Create the demo.

        Args:
            site: A site that is already running.
        """
        self._site = site
        self._results: list[_CallResult] = []

    def run(self) -> None:
        """Send requests, top up, drain, and print the results."""
        self._print_progress('three workspaces send requests through two routers')
        self._run_round('first')
        self._print_progress('workspace walk-in has used up its budget: topping it up')
        self._site.operator.top_up('walk-in', 'main', 100_000, 'demo-payment')
        self._run_round('second')
        self._drain('engine-0')
        self._run_round('third')
        self._print_progress(
            f'engine-0 has run {self._count_runs("engine-0")} requests in all'
        )
        self._print_table()

    def _run_round(self, name: str) -> None:
        with ThreadPoolExecutor(_MAX_CONCURRENT_CALLS) as pool:
            jobs = [
                pool.submit(self._send_request, plan.name, f'{name} {number}', number)
                for number in range(_REQUESTS_PER_WORKSPACE)
                for plan in self._site.plan.workspaces
            ]
            calls = [job.result() for job in jobs]
        self._results += calls
        refused = Counter(
            call.answer.error_code for call in calls if call.answer.error_code
        )
        served = len(calls) - refused.total()
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
            f'{name} drains: {before} requests before, {settled} when drained'
        )

    def _count_runs(self, name: str) -> int:
        url = self._site.targets[name].program.url
        return len(self._site.http.request('GET', f'{url}/runs').json())

    def _print_table(self) -> None:
        time.sleep(_SETTLE_SECONDS)
        answers_by_workspace: dict[str, list[CallerAnswer]] = defaultdict(list)
        for call in self._results:
            answers_by_workspace[call.workspace].append(call.answer)
        _print_row(('workspace', 'asked', 'got', 'tokens got', 'paid', 'left'))
        for workspace, answers in answers_by_workspace.items():
            served = [reply for reply in answers if reply.status == 200]
            account = self._site.operator.read_budget(workspace, 'main')
            tokens = sum(reply.tokens for reply in served)
            left = account.topped_up - account.spent
            _print_row(
                (workspace, len(answers), len(served), tokens, account.spent, left)
            )

    def _print_progress(self, text: str) -> None:
        print(f'-- {text}', flush=True)


def run() -> None:
    """Start a site, run the demo on it and stop the site."""
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
