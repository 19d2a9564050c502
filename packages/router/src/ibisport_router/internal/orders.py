"""One caller's request, read and checked: what it asks and what it may cost."""

from dataclasses import dataclass

from ibisport_core.messages import Header


@dataclass(frozen=True, slots=True)
class Order:
    """A request as the router carries it out.

    Attributes:
        request_id: Identity made of workspace and idempotency key.
        keyed: The caller gave the key, so the request may come again.
        workspace: The workspace that asks and pays.
        budget: The budget that pays.
        class_name: Class of service.
        priority: Of the class; lower goes first.
        weight: Of the workspace.
        pool: Name of the model or service.
        service: Whether it is a plain service's call.
        method: HTTP method towards the target.
        path: Path and query towards the target.
        headers: Headers towards the target.
        body: Body towards the target.
        streamed: Whether the caller wants server-sent events.
        idempotent: Whether it may run more than once.
        prompt_tokens: Upper bound of the prompt's tokens, or a call's cost.
        reserved_tokens: The most that it can cost, prompt included.
        affinity: Hash input of the prompt's prefix, or None.
        deadline: Unix time in seconds.
    """

    request_id: bytes
    keyed: bool
    workspace: str
    budget: str
    class_name: str
    priority: int
    weight: float
    pool: str
    service: bool
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    streamed: bool
    idempotent: bool
    prompt_tokens: int
    reserved_tokens: int
    affinity: bytes | None
    deadline: float
