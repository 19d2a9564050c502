"""Validated requests to the engine, with the common completions API's names."""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

from pydantic import AliasChoices, BaseModel, Field

DEFAULT_ANSWER_TOKENS = 16
TOKENS_PER_MESSAGE = 4
HASH_DIGITS = 8
ANSWER_TOKENS_PREFIX = 'answer_tokens='


@dataclass(frozen=True, slots=True)
class Prompt:
    """Prompt of a request, with its token counts.

    Attributes:
        text: Whole text; the messages of a chat are joined by newlines.
        tokens: Number of prompt tokens.
        answer_tokens: Number of tokens of the complete answer.
    """

    text: str
    tokens: int
    answer_tokens: int

    @property
    def digest(self) -> str:
        """First digits of the hash of the text, the prefix of each answer word."""
        return hashlib.sha256(self.text.encode()).hexdigest()[:HASH_DIGITS]


class CompletionRequest(BaseModel):
    """A request to ``/v1/completions``."""

    model: str = ''
    prompt: str
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=0)

    def to_prompt(self) -> Prompt:
        """Return the prompt with its token counts."""
        return _make_prompt(self.prompt, 0, self.max_tokens)


class ChatMessage(BaseModel):
    """Message of a chat."""

    role: str = 'user'
    content: str


class ChatRequest(BaseModel):
    """A request to ``/v1/chat/completions``."""

    model: str = ''
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int | None = Field(
        default=None,
        ge=0,
        validation_alias=AliasChoices('max_completion_tokens', 'max_tokens'),
    )

    def to_prompt(self) -> Prompt:
        """Return the prompt with its token counts."""
        text = '\n'.join(message.content for message in self.messages)
        extra_tokens = TOKENS_PER_MESSAGE * len(self.messages)
        return _make_prompt(text, extra_tokens, self.max_tokens)


class OrderKind(StrEnum):
    """Kind of change that an order requests."""

    load_model = 'load_model'
    load_adapter = 'load_adapter'
    set_role = 'set_role'


class Order(BaseModel):
    """Order to the engine to load a model or an adapter, or to change its role."""

    kind: OrderKind
    argument: str
    fencing_number: int


class CancelRequest(BaseModel):
    """Request to cancel the generation of a request."""

    request_id: str


class CacheImport(BaseModel):
    """Blocks to insert into the prefix cache, least recently used first."""

    blocks: list[str]


class EngineFaults(BaseModel):
    """Faults in force.

    Attributes:
        freeze: No tokens are emitted, but connections stay open.
        fail_rate: Share of requests that are answered with 500 before they run.
        slow_factor: Factor on the duration of prefill and of each step.
        break_after_tokens: Number of tokens after which the next answer closes its
            connection; None for no break.
    """

    freeze: bool = False
    fail_rate: float = 0
    slow_factor: float = 1
    break_after_tokens: int | None = None


def _make_prompt(text: str, extra_tokens: int, max_tokens: int | None) -> Prompt:
    words = text.split()
    answer_tokens = DEFAULT_ANSWER_TOKENS
    for word in words:
        if (
            word.startswith(ANSWER_TOKENS_PREFIX)
            and word[len(ANSWER_TOKENS_PREFIX) :].isdigit()
        ):
            answer_tokens = int(word[len(ANSWER_TOKENS_PREFIX) :])
    if max_tokens is not None:
        answer_tokens = min(answer_tokens, max_tokens)
    return Prompt(text, len(words) + extra_tokens, answer_tokens)
