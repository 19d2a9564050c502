"""Requests to the engine, validated; names as in the usual completions API."""

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
    """What the engine is asked.

    Attributes:
        text: Whole text; the messages of a chat joined by line ends.
        tokens: Number of prompt tokens.
        answer_tokens: Number of tokens of the whole answer.
    """

    text: str
    tokens: int
    answer_tokens: int

    @property
    def digest(self) -> str:
        """First digits of the hash of the text; they begin each answer word."""
        return hashlib.sha256(self.text.encode()).hexdigest()[:HASH_DIGITS]


class CompletionRequest(BaseModel):
    """A request to ``/v1/completions``."""

    model: str = ''
    prompt: str
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=0)

    def to_prompt(self) -> Prompt:
        """Return what is asked."""
        return _make_prompt(self.prompt, 0, self.max_tokens)


class ChatMessage(BaseModel):
    """A message of a chat."""

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
        """Return what is asked."""
        text = '\n'.join(message.content for message in self.messages)
        extra = TOKENS_PER_MESSAGE * len(self.messages)
        return _make_prompt(text, extra, self.max_tokens)


class OrderKind(StrEnum):
    """What an order changes."""

    load_model = 'load_model'
    load_adapter = 'load_adapter'
    set_role = 'set_role'


class Order(BaseModel):
    """An order to the engine."""

    kind: OrderKind
    argument: str
    fencing_number: int


class CancelRequest(BaseModel):
    """Stops the generation of a request."""

    request_id: str


class CacheImport(BaseModel):
    """Blocks to be put into the prefix cache, least recently used first."""

    blocks: list[str]


class EngineFaults(BaseModel):
    """Faults in force.

    Attributes:
        freeze: No tokens are emitted while connections stay open.
        fail_rate: Share of requests answered 500 before they run.
        slow_factor: Factor on the time of each step.
        break_after_tokens: The next answer ends its connection after so many
            tokens; None for no break.
    """

    freeze: bool = False
    fail_rate: float = 0
    slow_factor: float = 1
    break_after_tokens: int | None = None


def _make_prompt(text: str, extra: int, max_tokens: int | None) -> Prompt:
    words = text.split()
    wanted = DEFAULT_ANSWER_TOKENS
    for word in words:
        if (
            word.startswith(ANSWER_TOKENS_PREFIX)
            and word[len(ANSWER_TOKENS_PREFIX) :].isdigit()
        ):
            wanted = int(word[len(ANSWER_TOKENS_PREFIX) :])
    if max_tokens is not None:
        wanted = min(wanted, max_tokens)
    return Prompt(text, len(words) + extra, wanted)
