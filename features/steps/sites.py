"""Shared helpers that start sites and send requests to them."""

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
    """Answer to a request.

    Attributes:
        status: HTTP status; 0 if the connection failed.
        headers: Headers of the answer.
        body: Received bytes of the body.
        broken: Whether the connection failed before the end of the answer.
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
        """The server-sent events of the body, without the ``[DONE]`` marker."""
        parts = self.body.decode().split('\n\n')
        texts = [part.removeprefix('data: ') for part in parts if part]
        return [orjson.loads(text) for text in texts if text != '[DONE]']


def start_site(context: Any, **changes: Any) -> Site:
    """Start a site that is stopped at the end of the scenario.

    Args:
        context: Context of behave; the site is stored as ``context.site``.
        changes: Fields of the site's plan that override the defaults.
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
    """Return the body of a chat completion request."""
    messages = [{'role': 'user', 'content': prompt}]
    request = {'model': MODEL, 'messages': messages, 'stream': stream, **fields}
    return orjson.dumps(request)


def ask(
    router: Program,
    workspace: str,
    body: bytes,
    path: str = '/v1/chat/completions',
    timeout: float = CALL_TIMEOUT,
    method: str = 'POST',
    **headers: str,
) -> Answer:
    """Send one request as a caller does, without retries.

    Args:
        router: Router that receives the request.
        workspace: Workspace whose bearer key is sent.
        body: Body of the request.
        path: Path of the request.
        timeout: Seconds without any bytes after which the request fails.
        method: HTTP method.
        headers: Additional headers; underscores are replaced by dashes.
    """
    request_headers = {name.replace('_', '-'): text for name, text in headers.items()}
    request_headers |= {'Authorization': f'Bearer key-{workspace}'}
    request_headers |= {'Content-Type': 'application/json'}
    try:
        answer = POOL.request(
            method,
            f'{router.url}{path}',
            body=body,
            headers=request_headers,
            timeout=timeout,
            retries=False,
        )
    except urllib3.exceptions.HTTPError:
        return Answer(0, {}, b'', broken=True)
    return Answer(answer.status, dict(answer.headers), answer.data)


def expect_words(prompt: str, count: int) -> list[str]:
    """Return the words of the stand-in engine's answer to a prompt."""
    head = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return [f'{head}-{number}' for number in range(count)]


def read_words(answer: Answer) -> list[str]:
    """Return the words of an answer, streamed or not."""
    if answer.body.startswith(b'data:'):
        texts = [
            event['choices'][0]['delta'].get('content', '')
            for event in answer.events
            if 'choices' in event
        ]
        return ''.join(texts).split()
    choice = answer.document['choices'][0]
    return choice['message']['content'].split()


def wait_until(check: Any, seconds: float = 20.0, what: str = 'it') -> None:
    """Poll a check until it is true.

    Raises:
        AssertionError: The check wasn't true in time.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if check():
            return
        time.sleep(0.05)
    raise AssertionError(f'{what} did not happen within {seconds} s')


def read_account(site: Site, workspace: str = 'small') -> Any:
    """Return the stored account of a workspace's budget."""
    return site.operator.read_budget(workspace, 'main')
