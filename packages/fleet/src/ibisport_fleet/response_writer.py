"""Writes answers to a caller's connection."""

import math
from collections.abc import Callable
from http import HTTPStatus

from ibisport_fleet.channel import Channel
from ibisport_fleet.http_messages import AnswerHead, Headers, encode_head
from ibisport_fleet.metadata import Dialect

LAST_CHUNK = b'0\r\n\r\n'
CONNECTION_CLOSE: Headers = ((b'connection', b'close'),)
KEEP_ALIVE = b'keep-alive'


class ResponseWriter:
    """Writes the answer to one request on a caller's connection.

    Attributes:
        head_sent: Whether the head of the answer was written.
        closing: Whether the connection closes after this answer.
        complete: Whether all of the answer was written.
    """

    def __init__(
        self,
        channel: Channel,
        dialect: Dialect,
        is_stopping: Callable[[], bool],
        closes_refusals: Callable[[], bool],
        find_idle_seconds: Callable[[], float],
    ) -> None:
        """Create the writer of one answer.

        Args:
            channel: The connection.
            dialect: Converts between headers and metadata.
            is_stopping: Returns whether the process stops. It is called when the head
                is written, so that callers whose requests arrived before the stop
                signal are also told to reconnect elsewhere.
            closes_refusals: Returns whether a refusal closes the connection, so that
                the caller reconnects, probably to another router.
            find_idle_seconds: Returns how long the connection may stay idle after
                this answer. It is called when the head is written.
        """
        self.head_sent = False
        self.closing = False
        self.complete = False
        self._is_stopping = is_stopping
        self._closes_refusals = closes_refusals
        self._find_idle_seconds = find_idle_seconds
        self._channel = channel
        self._dialect = dialect

    def refuse(
        self,
        status: int,
        reason: str,
        request_id: str | None,
        retry_after: float | None,
    ) -> None:
        """Write a refusal of this router.

        Args:
            status: The HTTP status.
            reason: A short description for the caller's logs.
            request_id: The request's id, if it has one.
            retry_after: Seconds after which to retry, or None to suggest none.
        """
        self.closing = self.closing or self._closes_refusals()
        body = b'{"error":"%s"}' % reason.encode()
        headers = self._dialect.encode_refusal(request_id, retry_after)
        self._write_head(status, headers, len(body))
        self._channel.write(body)
        self.complete = True

    def write_whole(self, head: AnswerHead, body: bytes) -> None:
        """Write a target's complete answer."""
        self._write_head(head.status, self._dialect.encode_answer(head), len(body))
        self._channel.write(body)
        self.complete = True

    def begin_stream(self, head: AnswerHead) -> None:
        """Write the head of a target's stream; the body follows in chunks."""
        self._write_head(head.status, self._dialect.encode_answer(head), None)

    async def write_chunk(self, content: bytes) -> None:
        """Write a chunk of a stream, and wait while the caller reads slowly."""
        self._channel.write(b'%x\r\n%b\r\n' % (len(content), content))
        if self._channel.unsent_bytes:
            with self._channel.memory.wait_for_peer(self._channel.abort):
                await self._channel.drain()

    def end_stream(self) -> None:
        """Write the last chunk, which marks a stream as complete."""
        self._channel.write(LAST_CHUNK)
        self.complete = True

    def abort(self) -> None:
        """Reset the connection, so that the answer can't pass for a complete one."""
        self.closing = True
        self._channel.abort()

    def _write_head(self, status: int, headers: Headers, length: int | None) -> None:
        self.head_sent = True
        self.closing = self.closing or self._is_stopping()
        framing = (b'transfer-encoding', b'chunked')
        if length is not None:
            framing = (b'content-length', b'%d' % length)
        status_line = f'HTTP/1.1 {status} {_find_reason_phrase(status)}'.encode()
        self._channel.write(
            encode_head(status_line, (*headers, framing, *self._choose_persistence()))
        )

    def _choose_persistence(self) -> Headers:
        """Return the headers that tell how long the connection stays open.

        A caller that knows sends no request that crosses the end of an idle connection.
        """
        if self.closing:
            return CONNECTION_CLOSE
        seconds = math.floor(self._find_idle_seconds())
        return ((KEEP_ALIVE, b'timeout=%d' % seconds),)


def _find_reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'
