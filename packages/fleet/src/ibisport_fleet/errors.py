"""Every failure that the fleet's core can name."""


class FleetError(Exception):
    """Root of the failures of this package."""


class ConnectionFailed(FleetError):
    """A connection could not be opened: nothing was sent on it."""


class NobodyListens(ConnectionFailed):
    """The host refused a connection: no process listens at the address."""


class ConnectionBroken(FleetError):
    """An open connection ended or stayed silent: what was sent may have run."""


class AnswerInvalid(ConnectionBroken):
    """A peer sent bytes that are no complete answer in its protocol."""


class RequestInvalid(FleetError):
    """A caller sent bytes that are no request.

    Attributes:
        status: The HTTP status to answer with.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class StoreError(FleetError):
    """A call to the key-value service failed."""


class StoreUnavailable(StoreError):
    """The service refused the call: nothing was done."""


class StoreUnknown(StoreError):
    """No answer came: the call may have been executed, or may be later."""


class HistoryLost(StoreError):
    """The service no longer has the changes that a watch asked for."""


class ChangesTooLong(StoreError):
    """The changes that a watch asked for are longer than a listing would be."""


class RecordInvalid(FleetError):
    """A value in the store, or the settings file, can't be read."""


class PeerUnavailable(FleetError):
    """Another router didn't answer: what it was asked for may have been done."""
