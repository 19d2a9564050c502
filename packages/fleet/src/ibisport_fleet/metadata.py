"""Metadata of requests and answers, independent of the protocol's headers.

Adapters decode headers into these classes and encode them again; other modules never
refer to a header's name.
"""

from dataclasses import dataclass
from typing import Protocol

from ibisport_fleet.addresses import Address
from ibisport_fleet.http_messages import AnswerHead, Headers, Request


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; engines cache each distinct sequence of parts once."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata of a caller's request.

    Attributes:
        request_id: The caller's id of this request; a caller's retry has a new id.
        host: Requested host name, without the port.
        path: Requested path, without the query.
        key: The caller's key, or None.
        seconds_left: How long the caller waits from now; None: not given.
        prompt_tokens: Number of tokens of the prompt.
        max_output_tokens: Maximum number of tokens to generate.
        parts: The prompt in order; the last part belongs to this request alone.
        last_event_id: Id of the last event of a stream that the caller has received,
            or None.
        resumed_id: Id of the caller's request that brought the stream's first event;
            None: not given.
    """

    request_id: str
    host: str
    path: str
    key: str | None
    seconds_left: float | None
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]
    last_event_id: int | None
    resumed_id: str | None = None

    @property
    def max_tokens(self) -> int:
        """Maximum number of tokens that the request may cost."""
        return self.prompt_tokens + self.max_output_tokens


@dataclass(frozen=True, slots=True)
class RunCopy:
    """The copy of a run's memory at another engine.

    Attributes:
        address: Address of the engine that holds it.
        run_id: Id of the request that the run belongs to.
    """

    address: Address
    run_id: str


@dataclass(frozen=True, slots=True)
class SendMetadata:
    """Metadata that the router adds to a request for a target.

    Attributes:
        incarnation: The incarnation that the request is addressed to.
        workspace: Name of the caller's workspace, or None.
        seconds_left: How long the caller still waits.
        urgency: 0 is the most urgent, 9 the least urgent.
        last_event_id: Id of the last event that the caller has received, or None.
        cache_source: Address of an engine from which to fetch cached parts, or None.
        backup: Address of the engine that gets a copy of the run's memory, or None.
        continued_from: The copy with which the run goes on, or None.
    """

    incarnation: str
    workspace: str | None
    seconds_left: float
    urgency: int
    last_event_id: int | None
    cache_source: Address | None = None
    backup: Address | None = None
    continued_from: RunCopy | None = None


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load that a target reports.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait there.
        slots: Requests that it runs concurrently.
        slowdown: How long work takes on its host now, relative to the usual time.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class RequestedPause:
    """A target's request for a time without requests from the router that it answers.

    Attributes:
        seconds: Duration, counted from the answer; None if the value isn't readable.
    """

    seconds: float | None


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """Metadata of a target's answer.

    Attributes:
        request_id: Id of the request that is answered, or None if not given.
        not_run: The answer proves that the request did not run.
        misdirected: The addressed incarnation no longer has this address.
        signed: The answer carries the target's signature.
        load: The target's load, or None if not given.
        rate: Rate limit in requests per second from all routers together, or None.
        idle_seconds: How long the target keeps an idle connection, or None if not
            given.
        pause: The pause that a rejection asks for, or None.
        leaving: The target that answers accepts no new requests from now on.
    """

    request_id: str | None
    not_run: bool
    misdirected: bool
    signed: bool
    load: TargetLoad | None
    rate: float | None
    idle_seconds: float | None
    pause: RequestedPause | None = None
    leaving: bool = False


class Dialect(Protocol):
    """Translates between a protocol's headers and the metadata classes."""

    def decode_request(self, request: Request) -> RequestMetadata:
        """Return the metadata of a caller's request.

        Raises:
            RequestInvalid: A mandatory header is missing or invalid.
        """

    def encode_send(
        self,
        request: Request,
        request_metadata: RequestMetadata,
        send_metadata: SendMetadata,
    ) -> Headers:
        """Return the headers of a request to a target."""

    def decode_answer(self, head: AnswerHead) -> AnswerMetadata:
        """Return the metadata of a target's answer."""

    def encode_answer(self, head: AnswerHead) -> Headers:
        """Return the headers of a target's answer for the caller."""

    def encode_refusal(
        self, request_id: str | None, retry_after: float | None
    ) -> Headers:
        """Return the headers of a refusal by this router."""
