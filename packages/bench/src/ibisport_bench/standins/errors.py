"""Failures inside the stand-ins; none of them reaches the product."""

from ibisport_core.errors import IbisportError


class StandinError(IbisportError):
    """Root of the stand-ins' own failures."""

    code = 'standin'


class ConnectionDropped(StandinError):
    """The connection is to be closed without any (further) answer."""

    code = 'connection_dropped'


class CallRejected(StandinError):
    """A call is answered by an error, in the manner of a gRPC gateway.

    Attributes:
        status: HTTP status.
        grpc_code: Number of the gRPC status code.
    """

    code = 'call_rejected'

    def __init__(self, message: str, status: int, grpc_code: int) -> None:
        """Keep what the answer says."""
        super().__init__(message)
        self.message = message
        self.status = status
        self.grpc_code = grpc_code


class ProgramNotReady(StandinError):
    """A program printed no ``ready`` line in time: read the end of its log."""

    code = 'program_not_ready'


class ProgramNotStopped(StandinError):
    """A program did not end in time after SIGTERM; it was killed."""

    code = 'program_not_stopped'
