"""A plain caller: sends one request and keeps what came back."""

from dataclasses import dataclass
from typing import Any

import orjson
import urllib3

CHAT_PATH = '/v1/chat/completions'
_CALL_TIMEOUT_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """What a caller got.

    Attributes:
        status: HTTP status; 0 when the connection broke.
        body: All bytes that came.
    """

    status: int
    body: bytes

    @property
    def error_code(self) -> str:
        """Code of the refusal, or empty."""
        if self.status in {0, 200}:
            return ''
        code: str = orjson.loads(self.body)['error']['code']
        return code

    @property
    def tokens(self) -> int:
        """Tokens that the answer's usage names, or 0."""
        if b'"usage"' not in self.body:
            return 0
        text = self.body
        if text.startswith(b'data:'):
            events = text.split(b'\n\n')
            text = next(one for one in reversed(events) if b'"usage"' in one)
            text = text.removeprefix(b'data: ')
        total: int = orjson.loads(text)['usage']['total_tokens']
        return total


def make_chat(model: str, prompt: str, stream: bool, **fields: Any) -> bytes:
    """Return the body of a chat completion.

    Args:
        model: Name of the model.
        prompt: The one message.
        stream: Whether the answer should be streamed.
        fields: Further fields.
    """
    messages = [{'role': 'user', 'content': prompt}]
    asked = {'model': model, 'messages': messages, 'stream': stream, **fields}
    return orjson.dumps(asked)


def call_router(
    url: str, key: str, path: str, body: bytes, headers: dict[str, str] | None = None
) -> CallerAnswer:
    """Send one request, without any retry.

    Args:
        url: The router's URL.
        key: Bearer key of the workspace.
        path: Path of the request.
        body: Its body.
        headers: Further headers.
    """
    sent = {
        'Authorization': f'Bearer {key}',
        'Content-Type': 'application/json',
        **(headers or {}),
    }
    try:
        answer = urllib3.request(
            'POST',
            f'{url}{path}',
            body=body,
            headers=sent,
            timeout=_CALL_TIMEOUT_SECONDS,
            retries=False,
        )
    except urllib3.exceptions.HTTPError:
        return CallerAnswer(0, b'')
    return CallerAnswer(answer.status, answer.data)
