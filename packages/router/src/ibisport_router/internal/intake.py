"""Reads callers' HTTP requests into orders, and refuses what cannot be read."""

import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ibisport_core.catalogue import Catalogue, KeyOwner
from ibisport_core.entries import ModelEntry, ServiceEntry
from ibisport_core.errors import (
    KeyUnknown,
    LimitReached,
    NotFound,
    RequestInvalid,
)
from ibisport_core.identity import hash_key, make_key, make_request_id
from ibisport_core.messages import Header
from ibisport_router.internal.orders import Order

CHAT_PATH = '/v1/chat/completions'
PLAIN_PATH = '/v1/completions'
KEY_HEADER = 'HTTP_IDEMPOTENCY_KEY'
DEADLINE_HEADER = 'HTTP_X_DEADLINE'
NON_IDEMPOTENT_HEADER = 'HTTP_X_NON_IDEMPOTENT'
_TRUE_WORDS = frozenset(('1', 'true', 'yes'))
_LONGEST_KEY = 255
_PREFIX_BYTES = 256
# A token of a byte-level vocabulary is at least one byte, so the bytes of the
# text bound its tokens; each message adds a few of its own.
_MESSAGE_TOKENS = 8
_LONGEST_WAIT = 3600.0


class _Message(BaseModel):
    model_config = ConfigDict(extra='allow')

    role: str = ''
    content: str | list[Any] | None = ''


class _Completion(BaseModel):
    """The fields of a completions call that the router reads."""

    model_config = ConfigDict(extra='allow')

    model: str
    messages: list[_Message] = Field(default_factory=list)
    prompt: str | list[str] = ''
    stream: bool = False
    max_tokens: int | None = Field(default=None, gt=0)
    max_completion_tokens: int | None = Field(default=None, gt=0)
    n: int = Field(default=1, ge=1, le=1)


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A caller's request as it came.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: Query string.
        headers: Headers under their WSGI names.
        body: The whole body.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes


class Intake:
    """Makes orders of requests by the catalogue."""

    def __init__(self, default_patience: float) -> None:
        """Keep the default.

        Args:
            default_patience: Seconds to the deadline of a request that names
                none.
        """
        self._default_patience = default_patience

    def read(self, request: HttpRequest, catalogue: Catalogue) -> Order:
        """Return the order that a request makes.

        Args:
            request: The request.
            catalogue: The catalogue as it is known now.

        Raises:
            KeyUnknown: No workspace has the bearer key.
            NotFound: No model or service is asked for.
            RequestInvalid: A header or the body cannot be read.
            LimitReached: The request is larger than its limits allow.
        """
        owner = find_owner(request, catalogue)
        if request.path in {CHAT_PATH, PLAIN_PATH}:
            order = self._read_completion(request, catalogue, owner)
        else:
            order = self._read_call(request, catalogue, owner)
        most = owner.workspace.limits.max_tokens_per_request
        if most is not None and order.reserved_tokens > most:
            raise LimitReached(f'a request may cost {most} tokens at the most')
        return order

    def _read_completion(
        self, request: HttpRequest, catalogue: Catalogue, owner: KeyOwner
    ) -> Order:
        asked = _parse_completion(request.body)
        model = catalogue.find_model(asked.model)
        if model is None:
            raise NotFound(f'no model is named {asked.model!r}')
        if len(request.body) > model.limits.max_prompt_bytes:
            raise LimitReached('the prompt is too long for the model')
        answer_tokens = _bound_answer(asked, model)
        prompt_tokens = _bound_prompt(asked)
        body = _rewrite_body(request.body, asked, answer_tokens)
        text = _read_text(asked)
        return self._make_order(
            request,
            owner,
            catalogue,
            {
                'pool': model.name,
                'service': False,
                'path': request.path,
                'headers': (Header('Content-Type', 'application/json'),),
                'body': body,
                'streamed': asked.stream,
                'idempotent': not _is_set(request, NON_IDEMPOTENT_HEADER),
                'prompt_tokens': prompt_tokens,
                'reserved_tokens': prompt_tokens + answer_tokens,
                'affinity': text[:_PREFIX_BYTES] if model.prefix_affinity else None,
            },
        )

    def _read_call(
        self, request: HttpRequest, catalogue: Catalogue, owner: KeyOwner
    ) -> Order:
        service = catalogue.find_service(request.path)
        if service is None:
            raise NotFound(f'nothing is served at {request.path}')
        query = f'?{request.query}' if request.query else ''
        return self._make_order(
            request,
            owner,
            catalogue,
            {
                'pool': service.name,
                'service': True,
                'path': f'{request.path}{query}',
                'headers': _pass_headers(request),
                'body': request.body,
                'streamed': False,
                'idempotent': _is_repeatable(request, service),
                'prompt_tokens': service.token_cost,
                'reserved_tokens': service.token_cost,
                'affinity': None,
            },
        )

    def _make_order(
        self,
        request: HttpRequest,
        owner: KeyOwner,
        catalogue: Catalogue,
        parts: dict[str, Any],
    ) -> Order:
        workspace = owner.workspace
        service_class = catalogue.find_class(workspace.class_name)
        key = request.headers.get(KEY_HEADER, '')
        if len(key) > _LONGEST_KEY:
            raise RequestInvalid('the idempotency key is too long')
        return Order(
            request_id=make_request_id(workspace.name, key or make_key()),
            keyed=bool(key),
            workspace=workspace.name,
            budget=owner.budget,
            class_name=service_class.name,
            priority=service_class.priority,
            weight=workspace.weight,
            method=request.method,
            deadline=self._read_deadline(request),
            **parts,
        )

    def _read_deadline(self, request: HttpRequest) -> float:
        now = time.time()
        named = request.headers.get(DEADLINE_HEADER, '')
        if not named:
            return now + self._default_patience
        try:
            deadline = float(named)
        except ValueError:
            raise RequestInvalid('X-Deadline is a Unix time in seconds') from None
        if not now < deadline < now + _LONGEST_WAIT:
            raise RequestInvalid('X-Deadline is over, or more than an hour away')
        return deadline


def find_owner(request: HttpRequest, catalogue: Catalogue) -> KeyOwner:
    """Return the workspace of a request's bearer key.

    Raises:
        KeyUnknown: There is no key, or no workspace has it.
    """
    scheme, _, key = request.headers.get('HTTP_AUTHORIZATION', '').partition(' ')
    owner = catalogue.find_key(hash_key(key.strip()))
    if scheme.lower() != 'bearer' or owner is None:
        raise KeyUnknown('the bearer key belongs to no workspace')
    return owner


def _parse_completion(body: bytes) -> _Completion:
    try:
        return _Completion.model_validate_json(body)
    except ValidationError as error:
        fault = error.errors()[0]
        field = '.'.join(str(part) for part in fault['loc']) or 'body'
        raise RequestInvalid(f'{field}: {fault["msg"]}') from error


def _bound_answer(asked: _Completion, model: ModelEntry) -> int:
    wanted = asked.max_completion_tokens or asked.max_tokens
    return min(wanted or model.limits.max_tokens, model.limits.max_tokens)


def _bound_prompt(asked: _Completion) -> int:
    overhead = _MESSAGE_TOKENS * (len(asked.messages) + 1)
    return len(_read_text(asked)) + overhead


def _read_text(asked: _Completion) -> bytes:
    prompts = asked.prompt if isinstance(asked.prompt, list) else [asked.prompt]
    messages = [_flatten(message.content) for message in asked.messages]
    return '\n'.join((*prompts, *messages)).encode('utf-8', 'surrogatepass')


def _flatten(content: str | list[Any] | None) -> str:
    if isinstance(content, str):
        return content
    return orjson.dumps(content).decode() if content else ''


def _rewrite_body(body: bytes, asked: _Completion, answer_tokens: int) -> bytes:
    """Bound the answer and ask for the count that the bill needs."""
    document = orjson.loads(body)
    document.pop('max_completion_tokens', None)
    document['max_tokens'] = answer_tokens
    if asked.stream:
        document['stream_options'] = {'include_usage': True}
    return orjson.dumps(document)


def _pass_headers(request: HttpRequest) -> tuple[Header, ...]:
    kind = request.headers.get('CONTENT_TYPE', '')
    accepted = request.headers.get('HTTP_ACCEPT', '')
    named = (('Content-Type', kind), ('Accept', accepted))
    return tuple(Header(name, content) for name, content in named if content)


def _is_repeatable(request: HttpRequest, service: ServiceEntry) -> bool:
    if _is_set(request, NON_IDEMPOTENT_HEADER):
        return False
    return request.method in service.idempotent_methods


def _is_set(request: HttpRequest, header: str) -> bool:
    return request.headers.get(header, '').lower() in _TRUE_WORDS
