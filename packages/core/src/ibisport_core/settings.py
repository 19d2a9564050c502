"""Settings of every process: flags over environment variables, checked once.

A flag ``--store`` and the variable ``IBISPORT_STORE`` set the same field. The
object is immutable; its ``describe`` prints the effective configuration.
"""

from typing import Annotated, Any, TypeVar

from pydantic import Field, ValidationError
from pydantic_settings import BaseSettings, SettingsConfigDict

from ibisport_core.errors import SettingsError

Address = Annotated[str, Field(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')]
Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')]
Pace = Annotated[float, Field(gt=0, le=3600)]
Count = Annotated[int, Field(gt=0, le=1_000_000)]
_SECRET_FIELDS = ('link_secret', 'operator_key')
_Chosen = TypeVar('_Chosen', bound='ProcessSettings')


class ProcessSettings(BaseSettings):
    """What routers and agents have in common.

    Attributes:
        store: Endpoints of the key-value service, comma-separated.
        host: Name of the host the process runs on.
        failure_domain: Failure domain of the host.
        listen: Address of the listener for links, by IP number.
        metrics: Address of the metrics and health listener.
        link_secret: Shared secret that both ends of a link must show.
        heartbeat_every: Seconds between heartbeats on a link.
        silence: Seconds without a byte after which a link is replaced.
        grace: Seconds that a graceful shutdown waits for work in flight.
    """

    model_config = SettingsConfigDict(
        env_prefix='IBISPORT_', frozen=True, extra='forbid'
    )

    store: str = '127.0.0.1:2379'
    host: Name = 'localhost'
    failure_domain: Name = 'local'
    listen: Address = '127.0.0.1:0'
    metrics: Address = '127.0.0.1:0'
    link_secret: Annotated[str, Field(min_length=1)] = 'development'
    heartbeat_every: Pace = 0.5
    silence: Pace = 2.0
    grace: Pace = 60.0

    @property
    def store_endpoints(self) -> tuple[str, ...]:
        """The store's endpoints, each ``host:port``."""
        return tuple(part.strip() for part in self.store.split(',') if part.strip())

    def describe(self) -> dict[str, Any]:
        """Return the effective settings with secrets blanked."""
        shown = self.model_dump()
        for name in _SECRET_FIELDS:
            if name in shown:
                shown[name] = '***'
        return shown


class RouterSettings(ProcessSettings):
    """Settings of a router.

    Attributes:
        serve: Address of the callers' HTTP listener.
        operator_key: Bearer key of the operators' HTTP interface.
        streams: Most requests in flight; above it callers are refused.
        default_patience: Seconds to a request's deadline if it names none.
        lease_seconds: Time to live of the session's lease in the store.
        recover_after: Seconds a session must be gone before it is recovered.
        settle_every: Seconds between settlements of changed budgets.
        grant_horizon: Seconds of demand that a grant should cover.
        idle_after: Seconds without demand after which a grant goes back.
        catalogue_every: Seconds between asking peers for catalogue news.
        linger: Seconds that a stopping router still answers new requests, with
            a refusal, until the platform's balancer has taken it out.
    """

    serve: Address = '127.0.0.1:0'
    operator_key: str = 'operator'
    streams: Count = 256
    default_patience: Pace = 120.0
    lease_seconds: Count = 10
    recover_after: Pace = 10.0
    settle_every: Pace = 2.0
    grant_horizon: Pace = 600.0
    idle_after: Pace = 600.0
    catalogue_every: Pace = 1.0
    linger: Pace = 2.0


class AgentSettings(ProcessSettings):
    """Settings of an agent.

    Attributes:
        target: Name of the target the agent stands beside.
        target_address: Address of the target.
        slots: Requests the target works on at once.
        resume_within: Seconds a router may be gone before an unkeyed request
            of it is cancelled.
        keep_answers: Seconds a finished keyed answer stays joinable.
        answer_bytes: Most bytes of answers kept in memory.
    """

    target: Name = 'target'
    target_address: Address = '127.0.0.1:8000'
    slots: Count = 8
    resume_within: Pace = 10.0
    keep_answers: Pace = 600.0
    answer_bytes: Annotated[int, Field(gt=0)] = 64 * 1024 * 1024


def load_settings(kind: type[_Chosen], flags: dict[str, Any]) -> _Chosen:
    """Return validated settings from flags and environment variables.

    Args:
        kind: The settings class.
        flags: Flags by field name; they win over the environment.

    Returns:
        The immutable settings.

    Raises:
        SettingsError: Naming each wrong setting, its flag and its variable.
    """
    try:
        return kind(**flags)
    except ValidationError as error:
        raise SettingsError(_explain(error)) from error


def _explain(error: ValidationError) -> str:
    lines = []
    for fault in error.errors():
        name = '.'.join(str(part) for part in fault['loc'])
        flag = name.replace('_', '-')
        lines.append(f'--{flag} (IBISPORT_{name.upper()}): {fault["msg"]}')
    return '; '.join(lines)


__all__ = [
    'AgentSettings',
    'ProcessSettings',
    'RouterSettings',
    'load_settings',
]
