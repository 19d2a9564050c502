"""What a request says of itself, and what an answer of a target says.

Adapters decode these from a protocol's headers and encode them again; the core
never reads a header's name.
"""

from dataclasses import dataclass
from typing import Protocol

from ibisport_fleet.http_messages import AnswerHead, Headers, Request


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; equal parts after equal parts are cached once."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller says of a request.

    Attributes:
        request_id: The caller's id of this request; a retry has another.
        host: Host name asked for, without a port.
        path: Path without the query.
        key: The caller's key, or None.
        seconds_left: How long the caller waits from now; None: it doesn't say.
        prompt_tokens: Tokens of the prompt.
        most_output_tokens: Most tokens that may be generated.
        parts: The prompt in order; the last part is the request's own.
        last_event_id: The last event of a stream that the caller has, or None.
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

    @property
    def max_tokens(self) -> int:
        """Most tokens that the request may cost."""
        return self.prompt_tokens + self.max_output_tokens


@dataclass(frozen=True, slots=True)
class SendMetadata:
    """What a target is told besides the caller's own words.

    Attributes:
        incarnation: The target's incarnation that is meant.
        workspace: Name of the caller's workspace, or None.
        seconds_left: How long the caller still waits.
        urgency: 0 is the most urgent, 9 the least.
        last_event_id: The last event that the caller has, or None.
    """

    incarnation: str
    workspace: str | None
    seconds_left: float
    urgency: int
    last_event_id: int | None


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """How busy a target said it was."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """What a target's answer says.

    Attributes:
        request_id: The request that it answers, or None if it doesn't say.
        not_run: The target proved that the request did not run.
        misdirected: The incarnation that was meant isn't there any more.
        signed: The target's signature is there.
        load: How busy the target is, if it says so.
        rate: Requests a second that it takes from all routers together, if it names
            a limit.
        idle_seconds: How long it keeps an idle connection, if it says so.
    """

    request_id: str | None
    not_run: bool
    misdirected: bool
    signed: bool
    load: TargetLoad | None
    rate: float | None
    idle_seconds: float | None


class Dialect(Protocol):
    """Translates between a protocol's headers and the terms above."""

    def decode_request(self, request: Request) -> RequestMetadata:
        """Return what a request says of itself.

        Raises:
            RequestInvalid: It lacks something that it must have.
        """

    def encode_send(
        self, request: Request, call: RequestMetadata, terms: SendMetadata
    ) -> Headers:
        """Return the headers for a target."""

    def decode_answer(self, head: AnswerHead) -> AnswerMetadata:
        """Return what a target's answer says."""

    def encode_answer(self, head: AnswerHead) -> Headers:
        """Return a target's headers as the caller gets them."""

    def encode_refusal(
        self, request_id: str | None, retry_after: float | None
    ) -> Headers:
        """Return the headers of an answer of our own."""
