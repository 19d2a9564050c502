"""Answers in the formats of the common completions API."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from ibisport_bench.standins.engine.run import Run

Fields = dict[str, Any]
DONE = b'data: [DONE]\n\n'


@dataclass(frozen=True, slots=True)
class TextForm:
    """Answer format of ``/v1/completions``."""


@dataclass(frozen=True, slots=True)
class ChatForm:
    """Answer format of ``/v1/chat/completions``."""


Form = TextForm | ChatForm


def stream_answer(form: Form, run: Run, indexes: Iterable[int]) -> Iterator[bytes]:
    """Yield the server-sent events of an answer; the last chunk has the usage."""
    for index in indexes:
        chunk = _make_chunk(form, run, _make_word(run, index), None)
        yield _encode_event(chunk)
    last = _make_chunk(form, run, '', _get_finish_reason(run))
    last['usage'] = run.describe_usage()
    yield _encode_event(last)
    yield DONE


def make_answer(form: Form, run: Run, indexes: Iterable[int]) -> Fields:
    """Return a complete answer once all of its tokens are generated."""
    text = ''.join(_make_word(run, index) for index in indexes)
    reason = _get_finish_reason(run)
    match form:
        case TextForm():
            name = 'text_completion'
            choice: Fields = {'text': text}
        case ChatForm():
            name = 'chat.completion'
            choice = {'message': {'role': 'assistant', 'content': text}}
    choice.update({'index': 0, 'finish_reason': reason})
    return {**_make_response(run, name, choice), 'usage': run.describe_usage()}


def _make_chunk(form: Form, run: Run, text: str, reason: str | None) -> Fields:
    match form:
        case TextForm():
            choice: Fields = {'text': text}
            name = 'text_completion'
        case ChatForm():
            choice = {'delta': {'content': text}}
            name = 'chat.completion.chunk'
    choice.update({'index': 0, 'finish_reason': reason})
    return _make_response(run, name, choice)


def _make_response(run: Run, name: str, choice: Fields) -> Fields:
    return {
        'id': run.request_id or run.prompt.digest,
        'object': name,
        'created': int(run.started_at or 0),
        'model': run.model,
        'choices': [choice],
    }


def _make_word(run: Run, index: int) -> str:
    space = ' ' if index else ''
    return f'{space}{run.prompt.digest}-{index}'


def _get_finish_reason(run: Run) -> str:
    return 'abort' if run.cancelled else 'stop'


def _encode_event(fields: Fields) -> bytes:
    return b'data: ' + json.dumps(fields).encode() + b'\n\n'
