"""Turns messages into Cap'n Proto frames and back.

A third of random bit flips make pycapnp raise, the others decode to wrong
values (measured, see docs/design/links.md), so each message's bounds are
checked again after decoding.
"""

from collections.abc import Callable
from dataclasses import fields
from pathlib import Path
from typing import Any, get_args

import capnp

from ibisport_core import messages
from ibisport_core.errors import FrameInvalid, Statement
from ibisport_core.messages import REQUEST_ID_BYTES, Chunk, Message

MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_NUMBER = 2**62
MAX_LIST = 100_000

_UNREADABLE = (capnp.KjException, KeyError, ValueError, UnicodeDecodeError)
_SCHEMA = capnp.load(str(Path(__file__).parent / 'link.capnp'))
_FRAME = _SCHEMA.Frame
_NESTED = {
    'load': messages.Load,
    'headers': messages.Header,
    'floors': messages.ChargeFloor,
    'records': messages.ChargeRecord,
    'entries': messages.CatalogueEntry,
}
_STATEMENT_TO_WIRE = {
    Statement.did_not_run: 'didNotRun',
    Statement.ran: 'ran',
    Statement.outcome_unknown: 'outcomeUnknown',
}
_STATEMENT_FROM_WIRE = {wire: one for one, wire in _STATEMENT_TO_WIRE.items()}


def _make_camel(name: str) -> str:
    first, *rest = name.split('_')
    return first + ''.join(part.title() for part in rest)


def _map_fields(kind: type) -> tuple[tuple[str, str], ...]:
    return tuple((one.name, _make_camel(one.name)) for one in fields(kind))


_KINDS: dict[str, type] = {
    kind.__name__[0].lower() + kind.__name__[1:]: kind for kind in get_args(Message)
}
_UNION_NAMES = {kind: name for name, kind in _KINDS.items()}
_FIELDS = {kind: _map_fields(kind) for kind in (*_KINDS.values(), *_NESTED.values())}


def encode_message(message: Message) -> bytes:
    """Return a message as the bytes of one frame, without the length."""
    kind = type(message)
    frame = _FRAME.new_message()
    if isinstance(message, Chunk):
        # Nearly all messages are chunks, and the general way costs them 30 us.
        chunk = frame.init('chunk')
        chunk.requestId = message.request_id
        chunk.attempt = message.attempt
        chunk.offset = message.offset
        chunk.payload = message.payload
        encoded: bytes = frame.to_bytes()
        return encoded
    _fill(frame.init(_UNION_NAMES[kind]), message, kind)
    encoded = frame.to_bytes()
    return encoded


def decode_message(wire: bytes) -> Message:
    """Return the message in a frame.

    Args:
        wire: The bytes of one frame, without the length.

    Returns:
        The message, its bounds checked.

    Raises:
        FrameInvalid: The bytes are no frame, or a value is out of bounds.
    """
    try:
        with _FRAME.from_bytes(wire) as frame:
            name = str(frame.which())
            if name == 'chunk':
                return _read_chunk(frame.chunk)
            message = _read(getattr(frame, name), _KINDS[name])
    except _UNREADABLE as error:
        raise FrameInvalid(f'not a frame: {error}') from error
    return message  # type: ignore[no-any-return]


def _read_chunk(struct: Any) -> Chunk:
    offset = struct.offset
    if offset > MAX_NUMBER:
        raise FrameInvalid(f'offset is out of bounds: {offset}')
    return Chunk(
        _read_request_id(struct.requestId), struct.attempt, offset, struct.payload
    )


def _fill(struct: Any, message: Any, kind: type) -> None:
    for name, wire_name in _FIELDS[kind]:
        part = getattr(message, name)
        match part:
            case tuple():
                _fill_list(struct.init(wire_name, len(part)), part, _NESTED[name])
            case messages.Load():
                _fill(struct.init(wire_name), part, messages.Load)
            case Statement():
                setattr(struct, wire_name, _STATEMENT_TO_WIRE[part])
            case _:
                setattr(struct, wire_name, part)


def _fill_list(structs: Any, parts: tuple[Any, ...], kind: type) -> None:
    for index, part in enumerate(parts):
        _fill(structs[index], part, kind)


def _read(struct: Any, kind: type) -> Any:
    read = {}
    for name, wire_name in _FIELDS[kind]:
        read[name] = _read_field(name, getattr(struct, wire_name))
    return kind(**read)


def _read_field(name: str, part: Any) -> Any:
    reader = _READERS.get(name)
    if reader is not None:
        return reader(part)
    if isinstance(part, int) and part > MAX_NUMBER:
        raise FrameInvalid(f'{name} is out of bounds: {part}')
    return part


def _read_request_id(part: bytes) -> bytes:
    if len(part) != REQUEST_ID_BYTES:
        raise FrameInvalid(f'a request id of {len(part)} bytes')
    return bytes(part)


def _read_statement(part: Any) -> Statement:
    return _STATEMENT_FROM_WIRE[str(part)]


def _make_list_reader(kind: type) -> Callable[[Any], tuple[Any, ...]]:
    def read_list(parts: Any) -> tuple[Any, ...]:
        if len(parts) > MAX_LIST:
            raise FrameInvalid(f'a list of {len(parts)} entries')
        return tuple(_read(part, kind) for part in parts)

    return read_list


def _read_load(part: Any) -> Any:
    return _read(part, messages.Load)


_READERS: dict[str, Callable[[Any], Any]] = {
    'request_id': _read_request_id,
    'statement': _read_statement,
    'role': str,
    'load': _read_load,
    'payload': bytes,
    'body': bytes,
    'document': bytes,
    'headers': _make_list_reader(messages.Header),
    'floors': _make_list_reader(messages.ChargeFloor),
    'records': _make_list_reader(messages.ChargeRecord),
    'entries': _make_list_reader(messages.CatalogueEntry),
}
