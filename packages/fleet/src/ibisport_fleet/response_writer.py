"""Writes answers to a caller's connection."""

from collections.abc import Callable
from http import HTTPStatus

from ibisport_fleet.channel import Channel
from ibisport_fleet.http_messages import AnswerHead, Headers, encode_head
from ibisport_fleet.metadata import Dialect

LAST_CHUNK = b'0\r\n\r\n'
CLOSE: Headers = ((b'connection', b'close'),)


class ResponseWriter:
    """One caller's connection, seen by the request that it waits for.

    Attributes:
        begun: The head of the answer has been sent.
        closing: The connection ends after this answer.
    """

    def __init__(
        self,
        channel: Channel,
        dialect: Dialect,
        is_leaving: Callable[[], bool],
    ) -> None:
        """Begin with nothing written.

        Args:
            channel: The connection.
            dialect: Translates headers.
            is_leaving: Whether the process ends; asked when the head is written, so
                that also who waited since before the signal is told to go elsewhere.
        """
        self.begun = False
        self.closing = False
        self._is_leaving = is_leaving
        self._channel = channel
        self._dialect = dialect

    def refuse(
        self, status: int, reason: str, request_id: str | None, pause: float | None
    ) -> None:
        """Answer for ourselves.

        Args:
            status: The HTTP status.
            reason: A word for the caller's logs.
            request_id: The request's id, if it has one.
            pause: When to come back, in seconds from now; None says nothing.
        """
        body = b'{"error":"%s"}' % reason.encode()
        headers = self._dialect.encode_refusal(request_id, pause)
        self._write_head(status, headers, len(body))
        self._channel.write(body)

    def pass_whole(self, head: AnswerHead, body: bytes) -> None:
        """Pass a target's whole answer on."""
        self._write_head(head.status, self._dialect.encode_answer(head), len(body))
        self._channel.write(body)

    def begin_stream(self, head: AnswerHead) -> None:
        """Pass the head of a target's stream on; its body goes in chunks."""
        self._write_head(head.status, self._dialect.encode_answer(head), None)

    async def pass_chunk(self, content: bytes) -> None:
        """Pass bytes of a stream on, at the pace that the caller reads at."""
        self._channel.write(b'%x\r\n%b\r\n' % (len(content), content))
        await self._channel.drain()

    def end_stream(self) -> None:
        """End a stream as complete."""
        self._channel.write(LAST_CHUNK)

    def break_off(self) -> None:
        """Reset the connection: the answer can't be taken for a whole one."""
        self.closing = True
        self._channel.abort()

    def _write_head(self, status: int, headers: Headers, length: int | None) -> None:
        self.begun = True
        self.closing = self.closing or self._is_leaving()
        framing = (b'transfer-encoding', b'chunked')
        if length is not None:
            framing = (b'content-length', b'%d' % length)
        ending = CLOSE if self.closing else ()
        start = f'HTTP/1.1 {status} {_name_status(status)}'.encode()
        self._channel.write(encode_head(start, (*headers, framing, *ending)))


def _name_status(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'
