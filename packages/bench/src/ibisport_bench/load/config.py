"""Configuration of a load run, and its validation."""

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ibisport_core.errors import IbisportError

Share = Annotated[float, Field(ge=0, le=1)]
Positive = Annotated[float, Field(gt=0)]
Address = Annotated[str, Field(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')]


class LoadConfigInvalid(IbisportError):
    """The configuration is unreadable or invalid; the message says why."""

    code = 'load_config_invalid'


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class Lengths(_StrictModel):
    """Lognormal distribution of lengths, clipped at an upper bound.

    Attributes:
        median: Median, in words of a prompt or tokens of an answer.
        sigma: Standard deviation of the logarithm.
        most: Upper bound.
    """

    median: Positive
    sigma: Annotated[float, Field(ge=0, le=3)] = 0.5
    most: Annotated[int, Field(gt=0)] = 1000


class SiteSize(_StrictModel):
    """The site that is started when the configuration names no router.

    Attributes:
        engines: Number of model engines.
        services: Number of instances of the plain service.
        routers: Number of routers.
        domains: Names of the failure domains.
        slots: Requests that an engine runs at once.
        token_ms: Milliseconds that an engine takes for a token.
        streams: Maximum number of open requests of a router.
    """

    engines: Annotated[int, Field(gt=0)] = 6
    services: Annotated[int, Field(ge=0)] = 4
    routers: Annotated[int, Field(gt=0)] = 3
    domains: Annotated[tuple[str, ...], Field(min_length=1)]
    slots: Annotated[int, Field(gt=0)] = 16
    token_ms: Positive = 40
    streams: Annotated[int, Field(gt=0)] = 256


class LoadConfig(_StrictModel):
    """Configuration of one load run.

    Attributes:
        name: Name of the run, used in file names.
        seed: Seed of all random draws.
        seconds: Duration of the arrivals.
        rate: Requests per second, over all workspaces.
        workspaces: Number of workspaces.
        skew: Zipf exponent of the shares of the workspaces; 0 for equal shares.
        budget_tokens: Tokens of the top-up of each workspace's budget.
        prompts: Words of a prompt, without its shared prefix.
        answers: Tokens of an answer.
        prefixes: Number of shared prompt prefixes per workspace.
        prefix_words: Words of a shared prompt prefix.
        streamed: Share of the model requests that ask for a stream.
        service_share: Share of the requests that call the plain service.
        caller_delay_ms: Simulated one-way delay between callers and routers.
        most_tries: Maximum number of attempts of a request.
        patience: Seconds after the due time at which a caller stops retrying;
            also the timeout of each attempt.
        routers: Addresses of running routers; empty to start a site.
        site: The site to start if there are no routers.
    """

    name: Annotated[str, Field(pattern='^[a-z0-9-]+$')]
    seed: Annotated[int, Field(ge=0)] = 1
    seconds: Annotated[float, Field(gt=0, le=3600)] = 20
    rate: Annotated[float, Field(gt=0, le=2000)] = 10
    workspaces: Annotated[int, Field(gt=0, le=1000)] = 10
    skew: Annotated[float, Field(ge=0, le=4)] = 1.2
    budget_tokens: Annotated[int, Field(ge=0)] = 100_000_000
    prompts: Lengths = Lengths(median=40)
    answers: Lengths = Lengths(median=24, most=200)
    prefixes: Annotated[int, Field(gt=0)] = 3
    prefix_words: Annotated[int, Field(ge=0)] = 30
    streamed: Share = 0.8
    service_share: Share = 0
    caller_delay_ms: Annotated[float, Field(ge=0, le=1000)] = 0
    most_tries: Annotated[int, Field(gt=0, le=20)] = 3
    patience: Positive = 30
    routers: tuple[Address, ...] = ()
    site: SiteSize = SiteSize(domains=('shah', 'cyber', 'petaling', 'subang'))


def load_config(path: str | Path) -> LoadConfig:
    """Read and validate a configuration file.

    Args:
        path: Path of a JSON file.

    Returns:
        The configuration.

    Raises:
        LoadConfigInvalid: The file is unreadable or invalid; the message names
            each wrong field.
    """
    try:
        return LoadConfig.model_validate_json(Path(path).read_bytes())
    except ValidationError as error:
        messages = [
            '{}: {}'.format('.'.join(map(str, fault['loc'])), fault['msg'])
            for fault in error.errors()
        ]
        raise LoadConfigInvalid('; '.join(messages)) from error
    except OSError as error:
        raise LoadConfigInvalid(str(error)) from error
