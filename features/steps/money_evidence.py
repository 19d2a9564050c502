"""Shared fixtures: callers whose bytes are kept, and the check of the promises."""

import itertools
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import orjson
import urllib3
from sites import CALL_TIMEOUT, make_body, wait_until

from ibisport_bench.invariants import Evidence, Received, check_all
from ibisport_bench.launcher import Program

_NUMBERS = itertools.count(1)
READ_BYTES = 4096


class Callers:
    """Callers of one site; what each of them got is kept."""

    def __init__(self, site):
        """Take a running site."""
        self.site = site
        self.received = []
        self._pool = ThreadPoolExecutor(64)

    def make_prompt(self, words, text='why does the hall echo'):
        """Return a prompt that no other request has."""
        return f'{text} case-{next(_NUMBERS)} answer_tokens={words}'

    def ask(self, router, words=10, prompt=None, **options):
        """Send one completion in the background; return its future."""
        prompt = prompt or self.make_prompt(words)
        call = Caller(self.site.routers[router], prompt, words, **options)
        return self._pool.submit(self._carry_out, call)

    def post(self, router, sent, **options):
        """Send one call to the plain service in the background."""
        call = Caller(self.site.routers[router], '', 0, sent=sent, **options)
        return self._pool.submit(self._carry_out, call)

    def read_evidence(self, stranded=False):
        """Gather the evidence of the site."""
        site = self.site
        engines, services = [], []
        for target in site.targets.values():
            runs = _get(site, f'{target.program.url}/runs')
            if isinstance(runs, dict):
                services += runs['runs']
            else:
                engines += runs
        history = _get(site, f'{site.store.url}/history')
        return Evidence(engines, services, history, self.received, stranded)

    def _carry_out(self, call):
        received = call.carry_out()
        self.received.append(received)
        return received


@dataclass
class Caller:
    """One caller with one request; it never retries by itself.

    Attributes:
        router: Whom to ask.
        prompt: The prompt; empty calls the plain service.
        words: Words that the whole answer has.
        sent: Body for the plain service.
        stream: Whether the answer is streamed.
        key: Idempotency key, or empty.
        idempotent: Whether it may be repeated.
        leave_after: Pieces after which the caller goes away; 0 for never.
        max_tokens: Most tokens; 0 for as many as the words.
        workspace: Whose key to show.
        first_bytes: Event that is set when the first bytes are there.
    """

    router: Program
    prompt: str
    words: int
    sent: bytes = b''
    stream: bool = True
    key: str = ''
    idempotent: bool = True
    leave_after: int = 0
    max_tokens: int = 0
    workspace: str = 'small'
    first_bytes: threading.Event = field(default_factory=threading.Event)

    def carry_out(self):
        """Send the request and return what came back."""
        headers = {
            'Authorization': f'Bearer key-{self.workspace}',
            'Content-Type': 'application/json',
        }
        if self.key:
            headers['Idempotency-Key'] = self.key
        if not self.idempotent:
            headers['X-Non-Idempotent'] = '1'
        got = {'status': 0, 'body': b'', 'broken': False, 'left': False}
        try:
            self._read(headers, got)
        except (urllib3.exceptions.HTTPError, OSError):
            got['broken'] = True
        return Received(
            prompt=self.prompt,
            words=self.words,
            path='' if self.prompt else '/portal/order',
            sent=self.sent,
            idempotent=self.idempotent,
            **got,
        )

    def _read(self, headers, got):
        path = '/v1/chat/completions' if self.prompt else '/portal/order'
        body = self.sent
        if self.prompt:
            most = self.max_tokens or self.words
            body = make_body(self.prompt, self.stream, max_tokens=most)
        answer = urllib3.PoolManager(retries=False).request(
            'POST',
            f'{self.router.url}{path}',
            body=body,
            headers=headers,
            timeout=CALL_TIMEOUT,
            preload_content=False,
        )
        got['status'] = answer.status
        for count in itertools.count(1):
            piece = answer.read1(READ_BYTES)
            if not piece:
                return
            got['body'] += piece
            self.first_bytes.set()
            if count == self.leave_after:
                got['left'] = True
                answer.shutdown()
                answer.close()
                return


def check_promises(context, stranded=False, closed=True):
    """Stop the routers that run, and check every promise of the brief."""
    site = context.site
    if closed:
        for router in site.routers:
            if router.is_running():
                assert router.stop() == 0
    breaches = check_all(context.callers.read_evidence(stranded), closed)
    assert not breaches, '\n'.join(f'{one.invariant}: {one.detail}' for one in breaches)


def wait_recovered(context, session, seconds=20.0):
    """Wait until no account holds a grant of a session."""

    def is_gone():
        evidence = context.callers.read_evidence()
        records = [
            one for one in evidence.history if one['key'].endswith(f'session/{session}')
        ]
        return bool(records) and records[-1]['type'] == 'DELETE'

    wait_until(is_gone, seconds, f'recovery of {session}')


def read_session(context, router):
    """Return the name of a router's session."""
    return context.site.read_state(context.site.routers[router])['session']


def _get(site, url):
    return orjson.loads(site.http.request('GET', url, timeout=5).data)
