"""Every failure of ibisport, as a tree; each docstring tells what to do.

A refusal carries a stable ``code``, an HTTP status and a statement: what is
known about whether the request ran. ``did_not_run`` is said only with proof.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import ClassVar


class Statement(StrEnum):
    """What is known about whether a refused request ran."""

    did_not_run = 'did_not_run'
    ran = 'ran'
    outcome_unknown = 'outcome_unknown'


class IbisportError(Exception):
    """Root of all failures; catch it at a process's border only."""

    code: ClassVar[str] = 'internal'


class SettingsError(IbisportError):
    """A setting is wrong: correct the flag or variable that is named."""

    code = 'settings'


class StoreError(IbisportError):
    """The platform's key-value service did not serve a call."""

    code = 'store'


class StoreUnavailable(StoreError):
    """The call took no effect for certain: try again after a back-off."""

    code = 'store_unavailable'


class StoreOutcomeUnknown(StoreError):
    """A write was sent and not answered: read back before deciding."""

    code = 'store_outcome_unknown'


class StoreRejected(StoreError):
    """The service refused the call as wrong: check its version and limits."""

    code = 'store_rejected'


class StoreCompacted(StoreError):
    """The wanted revision is gone: read the whole range anew."""

    code = 'store_compacted'


class LeaseLapsed(StoreError):
    """The lease is gone: whoever held it must not act on it any more."""

    code = 'lease_lapsed'


class CatalogueError(IbisportError):
    """An operator's change of the catalogue was not accepted."""

    code = 'catalogue'


@dataclass(frozen=True, slots=True)
class EntryFault:
    """What is wrong with an entry; ``field`` is a dotted path in it."""

    field: str
    reason: str


class EntryInvalid(CatalogueError):
    """An entry was refused whole: mend the named fields and put it again.

    Attributes:
        faults: Every fault found, with its field.
    """

    code = 'entry_invalid'

    def __init__(self, *faults: EntryFault) -> None:
        """Keep the faults."""
        super().__init__('; '.join(f'{one.field}: {one.reason}' for one in faults))
        self.faults = faults


class EntryConflict(CatalogueError):
    """Another operator changed the entry first: read it and decide anew.

    Attributes:
        revision: The entry's present revision; 0 when it is absent.
    """

    code = 'entry_conflict'

    def __init__(self, detail: str = '', revision: int = 0) -> None:
        """Keep the present revision."""
        super().__init__(detail or self.code)
        self.revision = revision


class EntryMissing(CatalogueError):
    """No such entry: check its kind and name with ``catalogue list``."""

    code = 'entry_missing'


class BudgetError(IbisportError):
    """A budget account cannot be changed as asked."""

    code = 'budget'


class AccountInvalid(BudgetError):
    """An account would break its invariant; nothing was written."""

    code = 'account_invalid'


class TopUpConflict(BudgetError):
    """A top-up's id was used with another amount: use a new id."""

    code = 'top_up_conflict'


class SessionFenced(BudgetError):
    """This router's session was ended by a peer: start with a new one."""

    code = 'session_fenced'


class SessionNotFenced(BudgetError):
    """The session may still spend: wait until a router has fenced it."""

    code = 'session_not_fenced'


class LinkError(IbisportError):
    """A link to a peer cannot be used."""

    code = 'link'


class FrameInvalid(LinkError):
    """Bytes on a link are no frame, or out of bounds: the link is closed."""

    code = 'frame_invalid'


class SchemaMismatch(LinkError):
    """The peer speaks an unknown schema version: replace the older process."""

    code = 'schema_mismatch'


class LinkClosed(LinkError):
    """The link ended; requests on it resume on another connection."""

    code = 'link_closed'


class PeerRejected(LinkError):
    """The peer showed a wrong secret or role: check the settings of both."""

    code = 'peer_rejected'


class Refusal(IbisportError):
    """A request was given up on; the caller gets this as its final answer.

    Attributes:
        statement: What is known about whether the request ran.
        detail: One sentence for the caller.
        retry_at: Unix time in seconds when to come back, or None.
    """

    code = 'refused'
    status: ClassVar[int] = 503

    def __init__(
        self,
        detail: str = '',
        statement: Statement = Statement.did_not_run,
        retry_at: float | None = None,
    ) -> None:
        """Keep what the caller is told."""
        super().__init__(detail or self.code)
        self.detail = detail or self.code
        self.statement = statement
        self.retry_at = retry_at


class RequestInvalid(Refusal):
    """The request cannot be read: mend it; sending it again does not help."""

    code = 'request_invalid'
    status = 400


class KeyUnknown(Refusal):
    """The bearer key belongs to no workspace: check the key."""

    code = 'key_unknown'
    status = 401


class NotFound(Refusal):
    """No such model, service or path: check the name with the operators."""

    code = 'not_found'
    status = 404


class BudgetExhausted(Refusal):
    """The budget does not cover the request: top it up, or ask for less."""

    code = 'budget_exhausted'
    status = 402


class BudgetBusy(Refusal):
    """The rest of the budget is held elsewhere for now: come back later."""

    code = 'budget_busy'
    status = 429


class LimitReached(Refusal):
    """The workspace or class is over its limit: come back later."""

    code = 'limit_reached'
    status = 429


class Overloaded(Refusal):
    """The queue cannot serve it before its deadline: come back later."""

    code = 'overloaded'
    status = 429


class DeadlinePassed(Refusal):
    """The request's deadline passed: the statement tells whether it ran."""

    code = 'deadline_passed'
    status = 504


class TargetUnavailable(Refusal):
    """No target can take the request now: come back later."""

    code = 'target_unavailable'
    status = 503


class TargetDraining(Refusal):
    """The target takes no new work; another target may."""

    code = 'target_draining'
    status = 503


class TargetFailed(Refusal):
    """The target broke off; the statement tells whether it ran."""

    code = 'target_failed'
    status = 502


class SessionRefused(Refusal):
    """The agent takes no work of this router's session: it was fenced."""

    code = 'session_refused'
    status = 503


class RouterNotReady(Refusal):
    """The router knows no catalogue yet: another one serves the request."""

    code = 'router_not_ready'
    status = 503


class RouterStopping(Refusal):
    """The router is shutting down: another router serves the request."""

    code = 'router_stopping'
    status = 503


class IdentityReused(Refusal):
    """The idempotency key was used for another request: use a new key."""

    code = 'identity_reused'
    status = 422


class OutcomeUnknown(Refusal):
    """The request may have run and may not be repeated: check by other means."""

    code = 'outcome_unknown'
    status = 502


class RequestCancelled(Refusal):
    """The caller went away before its turn; the request did not run."""

    code = 'request_cancelled'
    status = 499


class AnswerGone(Refusal):
    """The request ran and its answer is no longer kept: do not repeat it."""

    code = 'answer_gone'
    status = 410


class NotKnown(Refusal):
    """The agent knows no such request; it may be started elsewhere."""

    code = 'not_known'
    status = 404


class StreamsFull(Refusal):
    """The router holds as many open requests as it may: try another one."""

    code = 'streams_full'
    status = 429
