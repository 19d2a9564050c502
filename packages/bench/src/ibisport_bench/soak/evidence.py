"""What callers, targets and the store saw, all by one clock of this process."""

import hashlib
import math
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum

STREAM_TOKENS_PER_EVENT = 1
# Statuses that promise: not run, and never will be.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))


class Kind(Enum):
    """What a request asks for."""

    read = 'read'
    once = 'once'
    talk = 'talk'
    resume = 'resume'
    mark = 'mark'

    @property
    def streams(self) -> bool:
        """Whether events come."""
        return self in {Kind.talk, Kind.resume}

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self not in {Kind.once, Kind.talk}


class Cause(Enum):
    """What was done to the site."""

    stop = 'SIGTERM'
    reload = 'SIGHUP'
    catalogue = 'catalogue'
    kill = 'SIGKILL'
    freeze = 'SIGSTOP'
    link = 'link'
    store = 'store'
    drain = 'drain'
    target = 'target'

    @property
    def planned(self) -> bool:
        """Whether it is work that callers shouldn't notice."""
        return self in {Cause.stop, Cause.reload, Cause.catalogue, Cause.drain}


@dataclass(slots=True)
class Fault:
    """One thing that was done.

    Attributes:
        cause: What.
        subject: To whom.
        begun: Clock at its begin, seconds.
        detail: More of it, for the story.
        ended: Clock at its end.
    """

    cause: Cause
    subject: str
    begun: float
    detail: str = ''
    ended: float = math.inf

    def overlaps(self, begun: float, ended: float) -> bool:
        """Whether it was on at some moment of a span."""
        return self.begun <= ended and self.ended >= begun


@dataclass(slots=True)
class RequestRecord:
    """One request of a caller and what came back.

    Attributes:
        request_id: Its id.
        kind: What it asks for.
        path: Path and query.
        workspace: Who pays, or empty.
        prompt: Tokens of its prompt.
        events: Events of a whole answer; 0 for a plain one.
        router: The router that it was sent to.
        start: Which start of that router's process.
        version: The version of the catalogue that a mark asks for.
        sent: Clock when its last byte was sent.
        ended: Clock when its answer or its connection ended.
        status: Status of the answer; 0: none came.
        seal: The target's seal, or empty.
        body: The bytes of the answer.
        whole: The answer's framing is complete.
        cut: The connection ended before the answer did.
    """

    request_id: str
    kind: Kind
    path: str
    workspace: str = ''
    prompt: int = 0
    events: int = 0
    router: str = ''
    start: int = 0
    version: int = 0
    sent: float = 0.0
    ended: float = math.inf
    status: int = 0
    seal: str = ''
    body: bytes = b''
    whole: bool = False
    cut: bool = False


@dataclass(slots=True)
class Run:
    """One request that a target began to work on.

    Attributes:
        request_id: The request.
        target: The target's incarnation.
        begun: Clock when it came.
        after: The event after which a stream goes on.
        seal: What the answer was sealed with.
        ended: Clock at its end.
        complete: The whole answer was handed over.
        broken_off: The target itself broke off.
        named: Clock when the head of an answer named a rate limit.
    """

    request_id: str
    target: str
    begun: float
    seal: str
    after: int = 0
    ended: float = math.inf
    complete: bool = False
    broken_off: bool = False
    named: float = math.inf


@dataclass(slots=True)
class AdvertisedLimit:
    """A span in which a target named a rate limit.

    Attributes:
        target: Its incarnation.
        rate: Requests a second from all routers together.
        begun: Clock at which it first might name it.
        ended: Clock from which it named none.
    """

    target: str
    rate: float
    begun: float
    ended: float = math.inf


@dataclass(frozen=True, slots=True)
class Crash:
    """A target ended since it ran a fatal request.

    Attributes:
        path: The request's.
        at: Clock at the end.
    """

    path: str
    at: float


@dataclass(slots=True)
class Start:
    """One start of a process.

    Attributes:
        host: Its host.
        number: Counts the starts of that host.
        begun: Clock at the start.
        told: Clock when it got SIGTERM.
        ended: Clock at its end.
        killed: It was ended by SIGKILL.
        code: Its exit code.
    """

    host: str
    number: int
    begun: float
    told: float = math.inf
    ended: float = math.inf
    killed: bool = False
    code: int | None = None


@dataclass(slots=True)
class Journal:
    """All that was seen in one run.

    Attributes:
        asks: Requests of callers.
        runs: Runs at targets.
        faults: What was done.
        starts: Starts of processes.
        versions: When the store had accepted each version of the catalogue.
        drains: When the store had accepted that a target leaves.
        limits: Rate limits that targets named.
        crashes: Ends of targets under fatal requests.
        budgets: Tokens that each workspace has paid for.
        lag: Longest time that this process itself was held up, seconds.
    """

    asks: list[RequestRecord] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    starts: list[Start] = field(default_factory=list)
    versions: dict[int, float] = field(default_factory=dict)
    drains: dict[str, float] = field(default_factory=dict)
    limits: list[AdvertisedLimit] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)
    budgets: dict[str, int] = field(default_factory=dict)
    lag: float = 0.0

    def record_fault(self, cause: Cause, subject: str, detail: str = '') -> Fault:
        """Note that something is done now."""
        fault = Fault(cause, subject, read_clock(), detail)
        self.faults.append(fault)
        return fault

    @contextmanager
    def track_fault(
        self, cause: Cause, subject: str, detail: str = ''
    ) -> Iterator[None]:
        """Note that something is done as long as the block runs."""
        fault = self.record_fault(cause, subject, detail)
        try:
            yield
        finally:
            fault.ended = read_clock()


def read_clock() -> float:
    """Return the clock by which all evidence is timed."""
    return time.monotonic()


def make_event(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    mark = hashlib.sha256(f'{request_id} {number}'.encode()).hexdigest()[:16]
    return f'id: {number}\ndata: {request_id} {mark}\n\n'.encode()


def make_body(request_id: str, events: int) -> bytes:
    """Return the whole answer to a request."""
    if not events:
        return f'{request_id} '.encode() + make_event(request_id, 0)
    return b''.join(make_event(request_id, one + 1) for one in range(events))
