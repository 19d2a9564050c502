"""Errors of the stand-ins and the launcher; the product never raises them."""

from ibisport_core.errors import IbisportError


class StandinError(IbisportError):
    """Base class of the stand-ins' errors."""

    code = 'standin'


class ConnectionDropped(StandinError):
    """Closes the connection without an answer, or in the middle of one."""

    code = 'connection_dropped'


class CallRejected(StandinError):
    """Answers a call with an error, in the format of a gRPC gateway.

    Attributes:
        status: HTTP status.
        grpc_code: Number of the gRPC status code.
    """

    code = 'call_rejected'

    def __init__(self, message: str, status: int, grpc_code: int) -> None:
        """Set the contents of the error answer."""
        super().__init__(message)
        self.message = message
        self.status = status
        self.grpc_code = grpc_code


class ProgramNotReady(StandinError):
    """A program printed no ``ready`` line in time; see the end of its log."""

    code = 'program_not_ready'


class ProgramNotStopped(StandinError):
    """A program did not exit in time after SIGTERM and was killed."""

    code = 'program_not_stopped'
