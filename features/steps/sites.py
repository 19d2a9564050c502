"""Shared fixtures: running sites, and callers that ask them."""

import hashlib
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson
import urllib3

from ibisport_bench.launcher import Program
from ibisport_bench.site import MODEL, Site, SitePlan, WorkspacePlan

CALL_TIMEOUT = 30.0
POOL = urllib3.PoolManager(num_pools=64, maxsize=256, retries=False)
FAST = {
    'lease-seconds': 2,
    'recover-after': 2,
    'settle-every': 0.3,
    'heartbeat-every': 0.2,
    'silence': 1.0,
    'linger': 1.0,
}
FAST_AGENT = {'heartbeat-every': 0.2, 'silence': 1.0, 'resume-within': 3}


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller got.

    Attributes:
        status: HTTP status; 0 when the connection broke.
        headers: Headers of the answer.
        body: All bytes that came.
        broken: The connection broke before the end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    broken: bool = False

    @property
    def document(self) -> dict[str, Any]:
        """The body as JSON."""
        return orjson.loads(self.body)

    @property
    def events(self) -> list[dict[str, Any]]:
        """The body's server-sent events, without the last marker."""
        parts = self.body.decode().split('\n\n')
        texts = [part.removeprefix('data: ') for part in parts if part]
        return [orjson.loads(text) for text in texts if text != '[DONE]']


def start_site(context: Any, **changes: Any) -> Site:
    """Start a site for one scenario; it is stopped after it.

    Args:
        context: behave's context; the site becomes ``context.site``.
        changes: Fields of the site's plan.
    """
    plan = {
        'engines': 2,
        'services': 1,
        'routers': 2,
        'workspaces': (WorkspacePlan('small', 1_000_000),),
        'router_flags': FAST,
        'agent_flags': FAST_AGENT,
        **changes,
    }
    folder = Path(tempfile.mkdtemp(prefix='ibisport-site-'))
    context.site = Site(SitePlan(**plan), folder)
    context.add_cleanup(context.site.stop)
    context.site.start()
    return context.site


def make_body(prompt: str, stream: bool = False, **fields: Any) -> bytes:
    """Return a chat completion's body."""
    messages = [{'role': 'user', 'content': prompt}]
    asked = {'model': MODEL, 'messages': messages, 'stream': stream, **fields}
    return orjson.dumps(asked)


def ask(
    router: Program,
    workspace: str,
    body: bytes,
    path: str = '/v1/chat/completions',
    timeout: float = CALL_TIMEOUT,
    method: str = 'POST',
    **headers: str,
) -> Answer:
    """Send one request as a caller does, without any retry.

    Args:
        router: Whom to ask.
        workspace: Whose bearer key to show.
        body: The body.
        path: Path of the request.
        timeout: Seconds to wait for bytes.
        method: HTTP method.
        headers: Further headers; underscores stand for dashes.
    """
    sent = {name.replace('_', '-'): text for name, text in headers.items()}
    sent |= {'Authorization': f'Bearer key-{workspace}'}
    sent |= {'Content-Type': 'application/json'}
    try:
        answer = POOL.request(
            method,
            f'{router.url}{path}',
            body=body,
            headers=sent,
            timeout=timeout,
            retries=False,
        )
    except urllib3.exceptions.HTTPError:
        return Answer(0, {}, b'', broken=True)
    return Answer(answer.status, dict(answer.headers), answer.data)


def expect_words(prompt: str, count: int) -> list[str]:
    """Return the words that the stand-in engine answers a prompt with."""
    head = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return [f'{head}-{number}' for number in range(count)]


def read_words(answer: Answer) -> list[str]:
    """Return the words of an answer, streamed or whole."""
    if answer.body.startswith(b'data:'):
        texts = [
            one['choices'][0]['delta'].get('content', '')
            for one in answer.events
            if 'choices' in one
        ]
        return ''.join(texts).split()
    choice = answer.document['choices'][0]
    return choice['message']['content'].split()


def wait_until(check: Any, seconds: float = 20.0, what: str = 'it') -> None:
    """Wait until a check is true; fail when it is not in time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if check():
            return
        time.sleep(0.05)
    raise AssertionError(f'{what} did not come true in {seconds} s')


def read_account(site: Site, workspace: str = 'small') -> Any:
    """Return the account of a workspace's budget as the store has it."""
    return site.operator.read_budget(workspace, 'main')
