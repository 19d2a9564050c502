"""A simple HTTP caller that sends one request to a router and returns the answer."""

from dataclasses import dataclass
from typing import Any

import orjson
import urllib3

CHAT_PATH = '/v1/chat/completions'
_CALL_TIMEOUT_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """Answer to a request.

    Attributes:
        status: HTTP status; 0 if the connection failed.
        body: Received bytes of the body.
    """

    status: int
    body: bytes

    @property
    def error_code(self) -> str:
        """Error code of a refusal, or an empty string."""
        if self.status in {0, 200}:
            return ''
        code: str = orjson.loads(self.body)['error']['code']
        return code

    @property
    def tokens(self) -> int:
        """Total tokens in the ``usage`` of the answer, or 0 without one."""
        if b'"usage"' not in self.body:
            return 0
        text = self.body
        if text.startswith(b'data:'):
            events = text.split(b'\n\n')
            text = next(event for event in reversed(events) if b'"usage"' in event)
            text = text.removeprefix(b'data: ')
        total: int = orjson.loads(text)['usage']['total_tokens']
        return total


def make_chat(model: str, prompt: str, stream: bool, **fields: Any) -> bytes:
    """Return the body of a chat completion request.

    Args:
        model: Name of the model.
        prompt: Content of the only message.
        stream: Whether to stream the answer.
        fields: Additional fields of the body.
    """
    messages = [{'role': 'user', 'content': prompt}]
    request = {'model': model, 'messages': messages, 'stream': stream, **fields}
    return orjson.dumps(request)


def call_router(
    url: str, key: str, path: str, body: bytes, headers: dict[str, str] | None = None
) -> CallerAnswer:
    """Send one request without retries.

    Args:
        url: Base URL of the router.
        key: Bearer key of the workspace.
        path: Path of the request.
        body: Body of the request.
        headers: Additional headers.
    """
    request_headers = {
        'Authorization': f'Bearer {key}',
        'Content-Type': 'application/json',
        **(headers or {}),
    }
    try:
        answer = urllib3.request(
            'POST',
            f'{url}{path}',
            body=body,
            headers=request_headers,
            timeout=_CALL_TIMEOUT_SECONDS,
            retries=False,
        )
    except urllib3.exceptions.HTTPError:
        return CallerAnswer(0, b'')
    return CallerAnswer(answer.status, answer.data)
