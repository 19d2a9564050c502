"""Checks that an answer is whole, and the answer to its own request."""

import hashlib
from dataclasses import dataclass
from typing import Any

import orjson

_DATA_PREFIX = b'data: '
_DONE_MARKER = b'[DONE]'
_EVENT_END = b'\n\n'
_DIGEST_CHARS = 8


@dataclass(frozen=True, slots=True)
class Whole:
    """The answer is the one that was expected."""


@dataclass(frozen=True, slots=True)
class Truncated:
    """The answer ends too early.

    Attributes:
        words: Words that came.
    """

    words: int


@dataclass(frozen=True, slots=True)
class Crossed:
    """The answer has words that belong to another request, or not here.

    Attributes:
        place: Index of the first wrong word.
    """

    index: int


Verdict = Whole | Truncated | Crossed


def check_answer(body: bytes, streamed: bool, prompt: str, tokens: int) -> Verdict:
    """Compare an answer with what the stand-in engine answers the prompt with.

    Args:
        body: The whole body as it came.
        streamed: Whether it is a stream of server-sent events.
        prompt: The prompt.
        tokens: Tokens of the whole answer.
    """
    words, done = _parse_stream(body) if streamed else _parse_document(body)
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:_DIGEST_CHARS]
    for place, word in enumerate(words):
        if place >= tokens or word != f'{digest}-{place}':
            return Crossed(place)
    if len(words) < tokens or not done:
        return Truncated(len(words))
    return Whole()


def _parse_stream(body: bytes) -> tuple[list[str], bool]:
    texts = []
    done = False
    for event in body.split(_EVENT_END)[:-1]:
        content = event.removeprefix(_DATA_PREFIX)
        if content == _DONE_MARKER:
            done = True
            continue
        texts.append(_parse_delta(orjson.loads(content)))
    return ''.join(texts).split(), done


def _parse_delta(document: dict[str, Any]) -> str:
    choices = document.get('choices') or [{}]
    return str(choices[0].get('delta', {}).get('content', ''))


def _parse_document(body: bytes) -> tuple[list[str], bool]:
    try:
        message = orjson.loads(body)['choices'][0]['message']
    except (ValueError, KeyError, IndexError):
        return [], False
    return str(message['content']).split(), True
