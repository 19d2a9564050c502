"""Catalogue entries: data classes that check every field as they are read.

An operator's document is refused if it has an unknown field. A document that
stands in the store was accepted once, perhaps by a newer program, so there
unknown fields are passed over.
"""

import ipaddress
import re
from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import Annotated, Any, Literal

import orjson
from pydantic import (
    AfterValidator,
    AliasChoices,
    ConfigDict,
    Field,
    TypeAdapter,
    ValidationError,
)
from pydantic.dataclasses import dataclass

from ibisport_core.errors import EntryFault, EntryInvalid

CATALOGUE_PREFIX = '/ibisport/catalogue/'
STANDARD = 'standard'
DEFAULT_BUDGET = 'main'
LONGEST_DOCUMENT = 256 * 1024
# Bounds of lists: a change is one transaction, of at most 128 operations.
MOST_KEYS = 32
MOST_MODELS = 64
_MOST_TOKENS = 10**12
_MOST_CALLS = 10**9
_HIGHEST_PORT = 65535
_RESERVED_PATHS = ('/v1',)


class EntryKind(StrEnum):
    """Kinds of entries, as they stand in store keys and commands."""

    workspace = 'workspace'
    service_class = 'class'
    model = 'model'
    service = 'service'
    target = 'target'


class TargetState(StrEnum):
    """Whether a target takes work."""

    live = 'live'
    draining = 'draining'
    retired = 'retired'


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(':')
    ipaddress.IPv4Address(host)
    if not 0 < int(port) <= _HIGHEST_PORT:
        raise ValueError('the port is out of range')
    return text


def _check_path(text: str) -> str:
    path = text.rstrip('/')
    for reserved in _RESERVED_PATHS:
        if path == reserved or path.startswith(f'{reserved}/'):
            raise ValueError(f'{reserved} is kept for the completions API')
    if '//' in path or '/.' in path:
        raise ValueError('empty and dotted path segments are not allowed')
    return path or '/'


_NAME_PATTERN = '^[A-Za-z0-9][A-Za-z0-9._:-]{0,99}$'
Name = Annotated[str, Field(pattern=_NAME_PATTERN)]
Owner = Annotated[str, Field(min_length=1, max_length=200)]
Address = Annotated[
    str,
    Field(pattern=r'^[0-9.]{7,15}:[0-9]{1,5}$'),
    AfterValidator(_check_address),
]
PathPrefix = Annotated[
    str,
    Field(pattern=r'^/[A-Za-z0-9._~/-]*$', max_length=200),
    AfterValidator(_check_path),
]
Tokens = Annotated[int, Field(gt=0, le=_MOST_TOKENS)]
Calls = Annotated[int, Field(gt=0, le=_MOST_CALLS)]
KeyHash = Annotated[str, Field(pattern='^[0-9a-f]{64}$')]
Method = Literal['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'POST', 'PATCH']
ClassName = Annotated[
    Name,
    Field(
        validation_alias=AliasChoices('class', 'class_name'),
        serialization_alias='class',
    ),
]
ModelNames = Annotated[
    tuple[Name, ...],
    Field(min_length=1, max_length=MOST_MODELS),
]
_CONFIG = ConfigDict(
    extra='forbid',
    strict=True,
    allow_inf_nan=False,
    validate_by_name=True,
)


@dataclass(frozen=True, slots=True, config=_CONFIG)
class RequestLimits:
    """Limits on the requests of a workspace, a class or a service.

    Attributes:
        max_concurrent: Most requests in flight at once.
        max_tokens_per_request: Most tokens, prompt and answer, of a request.
        tokens_per_minute: Most tokens admitted a minute.
        requests_per_minute: Most requests admitted a minute.
    """

    max_concurrent: Calls | None = None
    max_tokens_per_request: Tokens | None = None
    tokens_per_minute: Tokens | None = None
    requests_per_minute: Calls | None = None


@dataclass(frozen=True, slots=True, config=_CONFIG)
class ModelLimits:
    """Limits of a model.

    Attributes:
        max_tokens: Most tokens of an answer.
        max_prompt_bytes: Most bytes of a request's body.
    """

    max_tokens: Annotated[int, Field(gt=0, le=10_000_000)] = 4096
    max_prompt_bytes: Annotated[int, Field(gt=0, le=64 * 1024 * 1024)] = 1024 * 1024


@dataclass(frozen=True, slots=True, config=_CONFIG)
class TargetLimits:
    """Limits of a target.

    Attributes:
        slots: Requests that it works on at once.
    """

    slots: Annotated[int, Field(gt=0, le=100_000)] = 8


@dataclass(frozen=True, slots=True, config=_CONFIG)
class WorkspaceKey:
    """A bearer key of a workspace and the budget that it draws on.

    Attributes:
        hash: SHA-256 of the key, in lower-case hex.
        budget: Name of the budget.
    """

    hash: KeyHash
    budget: Name = DEFAULT_BUDGET


@dataclass(frozen=True, slots=True, kw_only=True, config=_CONFIG)
class ClassEntry:
    """A class of service.

    Attributes:
        name: Name of the class.
        owner: Who answers for the entry.
        priority: 0 to 9; lower is served first.
        limits: Limits of all its requests together.
        max_queue_seconds: Longest wait in a target's queue.
        change_id: Id of the change that wrote this version.
    """

    name: Name
    owner: Owner
    priority: Annotated[int, Field(ge=0, le=9)] = 5
    limits: RequestLimits = RequestLimits()
    max_queue_seconds: Annotated[float, Field(gt=0, le=3600)] = 60
    change_id: Annotated[str, Field(max_length=64)] = ''


@dataclass(frozen=True, slots=True, kw_only=True, config=_CONFIG)
class WorkspaceEntry:
    """A customer's workspace.

    Attributes:
        name: Name of the workspace.
        owner: Who answers for the entry.
        class_name: Its class; ``class`` in documents.
        weight: Share of a target that it gets beside others of its class.
        keys: Bearer keys, each with its budget.
        limits: Limits of its requests.
        change_id: Id of the change that wrote this version.
    """

    name: Name
    owner: Owner
    class_name: ClassName = STANDARD
    weight: Annotated[float, Field(gt=0, le=1000)] = 1
    keys: Annotated[tuple[WorkspaceKey, ...], Field(max_length=MOST_KEYS)] = ()
    limits: RequestLimits = RequestLimits()
    change_id: Annotated[str, Field(max_length=64)] = ''


@dataclass(frozen=True, slots=True, kw_only=True, config=_CONFIG)
class ModelEntry:
    """A model that engines serve.

    Attributes:
        name: Name by which callers ask for it.
        owner: Who answers for the entry.
        class_name: Class of its requests where the workspace names none.
        limits: Limits of a request.
        prefix_affinity: Whether equal prompt prefixes should meet one target.
        change_id: Id of the change that wrote this version.
    """

    name: Name
    owner: Owner
    class_name: ClassName = STANDARD
    limits: ModelLimits = ModelLimits()
    prefix_affinity: bool = True
    change_id: Annotated[str, Field(max_length=64)] = ''


@dataclass(frozen=True, slots=True, kw_only=True, config=_CONFIG)
class ServiceEntry:
    """A plain service beside the engines.

    Attributes:
        name: Name of the service.
        owner: Who answers for the entry.
        class_name: Class of its requests where the workspace names none.
        limits: Limits of its requests.
        path_prefix: Requests whose path lies below go to it.
        token_cost: Tokens charged for each call.
        idempotent_methods: Methods that may be sent again.
        change_id: Id of the change that wrote this version.
    """

    name: Name
    owner: Owner
    class_name: ClassName = STANDARD
    limits: RequestLimits = RequestLimits()
    path_prefix: PathPrefix
    token_cost: Annotated[int, Field(ge=0, le=_MOST_TOKENS)] = 0
    idempotent_methods: tuple[Method, ...] = (
        'GET',
        'HEAD',
        'PUT',
        'DELETE',
        'OPTIONS',
    )
    change_id: Annotated[str, Field(max_length=64)] = ''


@dataclass(frozen=True, slots=True, kw_only=True, config=_CONFIG)
class TargetEntry:
    """A target: an engine or one instance of a plain service.

    Attributes:
        name: Name of the target.
        owner: Who answers for the entry.
        class_name: Class of the target.
        limits: How much it works on at once.
        serves: A list of models, or the name of one service.
        agent_address: ``ip:port`` of the agent beside it.
        target_address: ``ip:port`` of the target itself.
        failure_domain: Failure domain of its host.
        checks_fencing: Whether it refuses orders with an old fencing number.
        state: Whether it takes work.
        change_id: Id of the change that wrote this version.
    """

    name: Name
    owner: Owner
    class_name: ClassName = STANDARD
    limits: TargetLimits = TargetLimits()
    serves: ModelNames | Name
    agent_address: Address
    target_address: Address
    failure_domain: Name
    checks_fencing: bool = False
    state: TargetState = TargetState.live
    change_id: Annotated[str, Field(max_length=64)] = ''

    @property
    def models(self) -> tuple[str, ...]:
        """Models that it serves; none if it serves a plain service."""
        return () if isinstance(self.serves, str) else self.serves

    @property
    def service(self) -> str:
        """The plain service that it serves, or an empty name."""
        return self.serves if isinstance(self.serves, str) else ''


Entry = ClassEntry | WorkspaceEntry | ModelEntry | ServiceEntry | TargetEntry
STANDARD_CLASS = ClassEntry(name=STANDARD, owner='ibisport')
_TYPES: Mapping[EntryKind, type[Entry]] = MappingProxyType(
    {
        EntryKind.workspace: WorkspaceEntry,
        EntryKind.service_class: ClassEntry,
        EntryKind.model: ModelEntry,
        EntryKind.service: ServiceEntry,
        EntryKind.target: TargetEntry,
    }
)
_ADAPTERS: Mapping[type[Entry], TypeAdapter[Any]] = MappingProxyType(
    {entry_type: TypeAdapter(entry_type) for entry_type in _TYPES.values()}
)
_KINDS = frozenset(kind.value for kind in EntryKind)


def name_entry(kind: EntryKind, name: str) -> str:
    """Return the store key of an entry."""
    return f'{CATALOGUE_PREFIX}{kind.value}/{name}'


def parse_key(key: str) -> tuple[EntryKind, str] | None:
    """Return kind and name of an entry's store key, or None for other keys."""
    kind, _, name = key.removeprefix(CATALOGUE_PREFIX).partition('/')
    if not key.startswith(CATALOGUE_PREFIX) or kind not in _KINDS:
        return None
    return EntryKind(kind), name


def check_name(field: str, name: str) -> None:
    """Check a name that is no entry's, such as that of a budget.

    Raises:
        EntryInvalid: It is no name.
    """
    if re.fullmatch(_NAME_PATTERN, name) is None:
        raise EntryInvalid(EntryFault(field, f'must match {_NAME_PATTERN}'))


def check_document(kind: EntryKind, content: bytes) -> Entry:
    """Return the entry that an operator's document describes.

    Args:
        kind: Kind of the entry.
        content: JSON document.

    Raises:
        EntryInvalid: With the field and the reason of each fault.
    """
    if len(content) > LONGEST_DOCUMENT:
        raise EntryInvalid(EntryFault('', f'longer than {LONGEST_DOCUMENT} bytes'))
    return _validate(kind, content, 'forbid')


def load_entry(kind: EntryKind, content: bytes) -> Entry:
    """Return the entry that stands in the store.

    Raises:
        EntryInvalid: This program cannot read it.
    """
    return _validate(kind, content, 'ignore')


def dump_entry(entry: Entry) -> bytes:
    """Return the entry as a JSON document with sorted fields."""
    document = _ADAPTERS[type(entry)].dump_python(entry, mode='json', by_alias=True)
    return orjson.dumps(document, option=orjson.OPT_SORT_KEYS)


def _validate(
    kind: EntryKind,
    content: bytes,
    extra: Literal['forbid', 'ignore'],
) -> Entry:
    try:
        entry: Entry = _ADAPTERS[_TYPES[kind]].validate_json(content, extra=extra)
    except ValidationError as error:
        raise EntryInvalid(*_list_faults(error)) from error
    return entry


def _list_faults(error: ValidationError) -> list[EntryFault]:
    return [
        EntryFault(_name_field(fault['loc']), fault['msg'])
        for fault in error.errors(include_url=False, include_input=False)
    ]


def _name_field(path: tuple[int | str, ...]) -> str:
    # Where a field may be of two types, the path names the type as well.
    parts = [str(part) for part in path]
    return '.'.join(part for part in parts if part.isidentifier() or part.isdigit())
