"""Exceptions of the fleet's core."""

from typing import TypeVar

_Error = TypeVar('_Error', bound=BaseException)


class FleetError(Exception):
    """Base class of this package's exceptions."""


class ConnectionFailed(FleetError):
    """A connection could not be opened, so nothing was sent."""


class NobodyListens(ConnectionFailed):
    """The host refused a connection: no process listens at the address."""


class ConnectionBroken(FleetError):
    """An open connection broke or timed out: the request may have been executed."""


class AnswerInvalid(ConnectionBroken):
    """A peer's answer is malformed or incomplete."""


class CallerLeft(FleetError):
    """The caller closed its connection before its request was sent to a target."""


class RequestInvalid(FleetError):
    """A caller's request is malformed, exceeds a limit, or isn't accepted now.

    Attributes:
        status: The HTTP status to answer with.
        code: A short code for logs and callers.
        retry_after: Seconds after which the caller may retry, or None for never.
        request_id: Id of the request, if it is known.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        code: str = 'invalid',
        retry_after: float | None = None,
        request_id: str = '',
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.code = code
        self.retry_after = retry_after
        self.request_id = request_id


class StoreError(FleetError):
    """A call to the key-value service failed."""


class StoreUnavailable(StoreError):
    """The call was refused and not executed."""


class StoreUnknown(StoreError):
    """No answer arrived: the call may have been executed, or may still be."""


class HistoryLost(StoreError):
    """The service has discarded the changes that a watch requested."""


class ChangesTooLong(StoreError):
    """The changes that a watch requested are longer than a listing."""


class RecordInvalid(FleetError):
    """A value in the store, or the settings file, can't be decoded."""


class PeerUnavailable(FleetError):
    """Another router didn't answer: it may have executed the request."""


def forget_frames(error: _Error) -> _Error:
    """Return an error without the frames that it passed, to be raised again.

    The frames refer to what was received, for as long as the error is handled.
    """
    error.__cause__ = error.__context__ = None
    return error.with_traceback(None)
