"""Checks that an answer is complete and belongs to its request."""

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
    """The answer is complete and correct."""


@dataclass(frozen=True, slots=True)
class Truncated:
    """The answer ends early.

    Attributes:
        words: Number of words received.
    """

    words: int


@dataclass(frozen=True, slots=True)
class Crossed:
    """The answer has a word of another request, or at a wrong position.

    Attributes:
        index: Index of the first wrong word.
    """

    index: int


Verdict = Whole | Truncated | Crossed


def check_answer(body: bytes, streamed: bool, prompt: str, tokens: int) -> Verdict:
    """Compare an answer with the one that the stand-in engine gives to the prompt.

    Args:
        body: Complete body as received.
        streamed: Whether the body is a stream of server-sent events.
        prompt: Prompt of the request.
        tokens: Tokens of the complete answer.
    """
    words, done = _parse_stream(body) if streamed else _parse_document(body)
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:_DIGEST_CHARS]
    for index, word in enumerate(words):
        if index >= tokens or word != f'{digest}-{index}':
            return Crossed(index)
    if len(words) < tokens or not done:
        return Truncated(len(words))
    return Whole()


def _parse_stream(body: bytes) -> tuple[list[str], bool]:
    texts = []
    done = False
    for event in body.split(_EVENT_END)[:-1]:
        payload = event.removeprefix(_DATA_PREFIX)
        if payload == _DONE_MARKER:
            done = True
            continue
        texts.append(_parse_delta(orjson.loads(payload)))
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
