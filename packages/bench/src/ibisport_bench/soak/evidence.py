"""Observations of callers, targets and the store, timed by the clock of one process."""

import hashlib
import math
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum

from ibisport_fleet.catalogue import Catalogue

STREAM_TOKENS_PER_EVENT = 1
EVENT_END = b'\n\n'
# Statuses by which an answer says that its request was not and will not be executed.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))


class Kind(Enum):
    """The kind of a request; its value is the first segment of the path."""

    read = 'read'
    once = 'once'
    talk = 'talk'
    resume = 'resume'
    mark = 'mark'

    @property
    def streams(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in {Kind.talk, Kind.resume}

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self not in {Kind.once, Kind.talk}


class Cause(Enum):
    """The kind of a fault or of planned work on the site."""

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
        """Whether it is planned work, which must not affect callers."""
        return self in {Cause.stop, Cause.reload, Cause.catalogue, Cause.drain}


@dataclass(slots=True)
class Fault:
    """A fault, or planned work, and when it was in effect.

    Attributes:
        cause: Its kind.
        subject: The host, link, target or store that it affects.
        begun: Clock at its start, seconds.
        detail: Its parameters, for reports.
        ended: Clock at its end.
    """

    cause: Cause
    subject: str
    begun: float
    detail: str = ''
    ended: float = math.inf

    def overlaps(self, begun: float, ended: float) -> bool:
        """Whether it was in effect at any time in a span."""
        return self.begun <= ended and self.ended >= begun


@dataclass(slots=True)
class RequestRecord:
    """A request of a caller and its answer.

    Attributes:
        request_id: Its id.
        kind: Its kind.
        path: Path and query.
        workspace: The workspace that is charged, or empty.
        prompt: Tokens of its prompt.
        events: Events of a whole answer; 0 if the answer isn't a stream.
        router: The router that it was sent to.
        start: Number of the start of that router's process.
        version: The version of the catalogue that a probe asks for.
        sent: Clock when its last byte was sent.
        ended: Clock when its answer or its connection ended.
        status: Status of the answer; 0 if there is none.
        seal: The target's seal, or empty.
        body: Body of the answer.
        whole: Whether the answer's framing is complete.
        cut: Whether the connection ended before the answer did.
        resumes: Id of the request that began the stream that this one resumes, or
            empty.
        after: The last event that the caller has of that stream.
        leave_after: Events after which the caller leaves; 0: it stays.
        gives_up: Whether the caller leaves soon, answered or not.
        leaves_at: Clock at which it does.
        left: Whether the caller itself has left.
        parts: Ids of the parts of its prompt, in order.
        head_bytes: Size of its head.
        body_bytes: Size of its body.
        idle_since: Clock when its connection became idle.
        begun: Clock when its first byte was sent.
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
    resumes: str = ''
    after: int = 0
    leave_after: int = 0
    gives_up: bool = False
    leaves_at: float = math.inf
    left: bool = False
    parts: tuple[str, ...] = ()
    head_bytes: int = 0
    body_bytes: int = 1
    idle_since: float = 0.0
    begun: float = 0.0

    @property
    def last_event(self) -> int:
        """The last event of the stream that the caller has; 0: none."""
        return self.after + self.body.count(EVENT_END)


@dataclass(slots=True)
class Run:
    """The execution of a request at a target.

    Attributes:
        request_id: The request.
        target: The target's incarnation.
        begun: Clock when the target had received the request.
        after: The event after which a stream is resumed.
        seal: The seal of the answer.
        ended: Clock at its end.
        complete: Whether the whole answer was written.
        broken_off: Whether the target itself aborted the answer.
        continued: Whether it goes on with the copy of an earlier run.
        named: Clock when the head of the answer advertised a rate limit; infinity if
            it didn't.
    """

    request_id: str
    target: str
    begun: float
    seal: str
    after: int = 0
    ended: float = math.inf
    complete: bool = False
    broken_off: bool = False
    continued: bool = False
    named: float = math.inf


@dataclass(slots=True)
class AdvertisedLimit:
    """A span in which a target advertises a rate limit.

    Attributes:
        target: Its incarnation.
        rate: Requests per second from all routers together.
        begun: Clock from which its answers may advertise the limit.
        ended: Clock from which its answers advertise none.
    """

    target: str
    rate: float
    begun: float
    ended: float = math.inf


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a target, whether it ran or not.

    Attributes:
        request_id: Its id.
        target: The target's incarnation.
        at: Clock at its arrival.
    """

    request_id: str
    target: str
    at: float


@dataclass(frozen=True, slots=True)
class RequestedPause:
    """A rejection by which a target asked a router for a pause.

    Attributes:
        arrival: The request that it rejected.
        ended: Clock at the end of the pause.
    """

    arrival: Arrival
    ended: float


@dataclass(frozen=True, slots=True)
class Overrun:
    """More requests within a second than a cold target bears.

    Attributes:
        arrival: The request that was one too many.
        count: Requests within the second before it.
    """

    arrival: Arrival
    count: int


@dataclass(slots=True)
class Evacuation:
    """A span in which the targets of a failure domain must get no requests.

    Attributes:
        targets: Names of its targets, without the numbers of their starts.
        begun: Clock when the store had accepted the order.
        ended: Clock at the end of the order.
    """

    targets: frozenset[str]
    begun: float
    ended: float = math.inf


@dataclass(slots=True)
class Life:
    """One start of a target.

    Attributes:
        service: Its service.
        version: Version of its software.
        begun: Clock at its start.
        ended: Clock at its end, or from which it takes no new requests.
    """

    service: str
    version: str
    begun: float
    ended: float = math.inf


@dataclass(frozen=True, slots=True)
class Crash:
    """The crash of a target that ran a fatal request.

    Attributes:
        path: Path and query of the request.
        at: Clock at the crash.
    """

    path: str
    at: float


@dataclass(slots=True)
class Start:
    """One start of a process.

    Attributes:
        host: Its host.
        number: Its number among the starts of that host, from 1.
        begun: Clock at the start.
        told: Clock when it was sent SIGTERM.
        ended: Clock at its end.
        killed: Whether it was sent SIGKILL.
        hung_up_early: Whether it was sent SIGHUP before its program had begun.
        code: Its exit code.
    """

    host: str
    number: int
    begun: float
    told: float = math.inf
    ended: float = math.inf
    killed: bool = False
    hung_up_early: bool = False
    code: int | None = None


@dataclass(slots=True)
class Journal:
    """All observations of one run.

    Attributes:
        asks: Requests of callers.
        runs: Executions of requests at targets.
        faults: Faults and planned work.
        starts: Starts of processes.
        lives: Starts of targets, by incarnation.
        versions: Clock when the store had accepted each version of the catalogue.
        catalogues: Each version of the catalogue.
        drains: Clock when the store had accepted that a target drains.
        limits: Rate limits that targets advertised.
        crashes: Crashes of targets by fatal requests.
        arrivals: Requests that reached targets, also rejected ones.
        pauses: Rejections that asked for a pause.
        leavings: Requests whose answers said that their target leaves.
        overruns: Cold targets that got more requests than they bear.
        evacuations: Orders to send the targets of a failure domain nothing.
        returned_at: Clock when all hosts had started again after the final fault.
        budgets: Tokens that each workspace has paid for.
        lag: Longest delay of this process's own event loop, seconds.
        crowd_visits: Connections of clients that don't finish their requests.
    """

    asks: list[RequestRecord] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    starts: list[Start] = field(default_factory=list)
    lives: dict[str, Life] = field(default_factory=dict)
    versions: dict[int, float] = field(default_factory=dict)
    catalogues: dict[int, Catalogue] = field(default_factory=dict)
    drains: dict[str, float] = field(default_factory=dict)
    limits: list[AdvertisedLimit] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    pauses: list[RequestedPause] = field(default_factory=list)
    leavings: list[Arrival] = field(default_factory=list)
    overruns: list[Overrun] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    returned_at: float = math.inf
    budgets: dict[str, int] = field(default_factory=dict)
    lag: float = 0.0
    crowd_visits: int = 0

    def record_fault(self, cause: Cause, subject: str, detail: str = '') -> Fault:
        """Record a fault that starts now."""
        fault = Fault(cause, subject, read_clock(), detail)
        self.faults.append(fault)
        return fault

    @contextmanager
    def track_fault(
        self, cause: Cause, subject: str, detail: str = ''
    ) -> Iterator[None]:
        """Record a fault that lasts as long as the block runs."""
        fault = self.record_fault(cause, subject, detail)
        try:
            yield
        finally:
            fault.ended = read_clock()


def read_clock() -> float:
    """Return the clock time, in seconds, that all observations share."""
    return time.monotonic()


def make_event(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    digest = hashlib.sha256(f'{request_id} {number}'.encode()).hexdigest()[:16]
    return f'id: {number}\ndata: {request_id} {digest}\n\n'.encode()


def make_body(request_id: str, events: int, after: int = 0) -> bytes:
    """Return the body of the whole answer to a request, from an event on."""
    if not events:
        return f'{request_id} '.encode() + make_event(request_id, 0)
    numbers = range(after + 1, events + 1)
    return b''.join(make_event(request_id, number) for number in numbers)
