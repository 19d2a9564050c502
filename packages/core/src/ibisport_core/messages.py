"""The messages between the processes of ibisport, as frozen data classes.

Each class mirrors one struct of ``link.capnp``; ``codec.py`` turns them into
frames and back. Times are Unix microseconds, tokens whole numbers, request ids
16 bytes.
"""

from dataclasses import dataclass

from ibisport_core.errors import Statement

SCHEMA_VERSION = 1
REQUEST_ID_BYTES = 16
# Above every charge's number: all charges of a closed session are settled.
CLOSED_FLOOR = 2**60


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of the side that connects."""

    schema_version: int
    role: str
    session: str
    failure_domain: str
    address: str
    secret: str


@dataclass(frozen=True, slots=True)
class Welcome:
    """Answer to ``Hello``; ``target`` is empty for a router."""

    schema_version: int
    role: str
    session: str
    failure_domain: str
    target: str
    draining: bool


@dataclass(frozen=True, slots=True)
class Load:
    """What a target has to do, as its agent sees it."""

    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    slots: int = 0
    token_rate: float = 0
    draining: bool = False
    measured_at: int = 0


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent by both sides at a fixed pace; silence means a dead connection."""

    sent_at: int
    load: Load
    catalogue_revision: int


@dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header."""

    name: str
    content: str


@dataclass(frozen=True, slots=True)
class Submit:
    """A request for a target; sent again with an offset it resumes."""

    request_id: bytes
    attempt: int
    session: str
    workspace: str
    budget: str
    charge: int
    class_name: str
    priority: int
    weight: float
    deadline: int
    reserved_tokens: int
    prompt_tokens: int
    idempotent: bool
    keyed: bool
    offset: int
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    service: bool
    join_only: bool
    catalogue_revision: int


@dataclass(frozen=True, slots=True)
class Accepted:
    """The agent holds the request; the owner's charge pays for it."""

    request_id: bytes
    attempt: int
    owner_session: str
    owner_charge: int


@dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of the target's answer."""

    request_id: bytes
    attempt: int
    status: int
    headers: tuple[Header, ...]


@dataclass(frozen=True, slots=True)
class Chunk:
    """A piece of the answer; ``offset`` is that of its first byte."""

    request_id: bytes
    attempt: int
    offset: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Finished:
    """The answer ended after ``length`` bytes; ``complete`` if it is whole."""

    request_id: bytes
    attempt: int
    length: int
    prompt_tokens: int
    completion_tokens: int
    complete: bool
    queue_micros: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The agent gave the request up; ``retry_at`` zero: no time is known."""

    request_id: bytes
    attempt: int
    code: str
    statement: Statement
    retry_at: int
    detail: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Nobody waits any more; ``billed`` when it was the caller who left."""

    request_id: bytes
    attempt: int
    billed: bool


@dataclass(frozen=True, slots=True)
class Release:
    """The answer was received whole; an unkeyed one can be forgotten."""

    request_id: bytes


@dataclass(frozen=True, slots=True)
class ChargeFloor:
    """Every charge of this budget below ``floor`` is settled in the store."""

    workspace: str
    budget: str
    floor: int


@dataclass(frozen=True, slots=True)
class Settled:
    """What a session has settled: the agent may forget those charges."""

    session: str
    floors: tuple[ChargeFloor, ...]


@dataclass(frozen=True, slots=True)
class Fence:
    """Take no more work of this session, and report what ran for it."""

    session: str
    call: int


@dataclass(frozen=True, slots=True)
class ChargeRecord:
    """What one charge of a session comes to at this agent."""

    workspace: str
    budget: str
    charge: int
    request_id: bytes
    tokens: int
    complete: bool
    running: bool


@dataclass(frozen=True, slots=True)
class FenceReport:
    """Answer to ``Fence``: the charges that are not known to be settled."""

    session: str
    call: int
    agent_session: str
    records: tuple[ChargeRecord, ...]


@dataclass(frozen=True, slots=True)
class CatalogueEntry:
    """One entry as JSON; an empty document says that it was removed."""

    key: str
    document: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class CatalogueUpdate:
    """News of the catalogue: all up to ``revision`` is included or known."""

    revision: int
    entries: tuple[CatalogueEntry, ...]
    whole: bool


@dataclass(frozen=True, slots=True)
class CatalogueRequest:
    """Ask a peer for its catalogue if it knows a later revision."""

    known: int


@dataclass(frozen=True, slots=True)
class Recall:
    """Ask a peer to give spare tokens of a budget back to the store."""

    workspace: str
    budget: str
    call: int


@dataclass(frozen=True, slots=True)
class RecallDone:
    """The peer gave ``returned`` tokens back."""

    call: int
    returned: int


@dataclass(frozen=True, slots=True)
class Goodbye:
    """The sender takes no new work; what runs goes on."""

    reason: str


@dataclass(frozen=True, slots=True)
class OrderCall:
    """An operator's order for the target, with its fencing number."""

    call: int
    kind: str
    argument: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class OrderDone:
    """What came of an order."""

    call: int
    accepted: bool
    code: str


Message = (
    Hello
    | Welcome
    | Heartbeat
    | Submit
    | Accepted
    | Head
    | Chunk
    | Finished
    | Refused
    | Cancel
    | Release
    | Settled
    | Fence
    | FenceReport
    | CatalogueUpdate
    | CatalogueRequest
    | Recall
    | RecallDone
    | Goodbye
    | OrderCall
    | OrderDone
)
