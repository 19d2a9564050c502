"""Checked configuration of a load run."""

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ibisport_core.errors import IbisportError

Share = Annotated[float, Field(ge=0, le=1)]
Positive = Annotated[float, Field(gt=0)]
Address = Annotated[str, Field(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')]


class LoadConfigInvalid(IbisportError):
    """The load's configuration is wrong: correct the field that is named."""

    code = 'load_config_invalid'


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class Lengths(_StrictModel):
    """Lognormal lengths, cut at a bound.

    Attributes:
        median: Median, in words of a prompt or tokens of an answer.
        sigma: Standard deviation of the logarithm.
        most: Upper bound.
    """

    median: Positive
    sigma: Annotated[float, Field(ge=0, le=3)] = 0.5
    most: Annotated[int, Field(gt=0)] = 1000


class SiteSize(_StrictModel):
    """The site that is started when no router is named.

    Attributes:
        engines: Count of model engines.
        services: Count of instances of the plain service.
        routers: Count of routers.
        domains: Failure domains.
        slots: Slots of each engine.
        token_ms: Milliseconds a token at an engine.
        streams: Most open requests of a router.
    """

    engines: Annotated[int, Field(gt=0)] = 6
    services: Annotated[int, Field(ge=0)] = 4
    routers: Annotated[int, Field(gt=0)] = 3
    domains: Annotated[tuple[str, ...], Field(min_length=1)]
    slots: Annotated[int, Field(gt=0)] = 16
    token_ms: Positive = 40
    streams: Annotated[int, Field(gt=0)] = 256


class LoadConfig(_StrictModel):
    """One load run.

    Attributes:
        name: Name of the run, for its files.
        seed: Seed of all random choices.
        seconds: How long requests arrive.
        rate: Requests a second of all workspaces together.
        workspaces: Count of workspaces.
        skew: Exponent of the Zipf shares of the workspaces; 0 for equal ones.
        budget_tokens: What each workspace's budget is topped up with.
        prompts: Words of a prompt.
        answers: Tokens of an answer.
        prefixes: Count of shared prefixes of each workspace.
        prefix_words: Words of a shared prefix.
        streamed: Share of answers that are streamed.
        service_share: Share of calls that go to the plain service.
        caller_delay_ms: Added to each way between callers and routers.
        most_tries: Most tries of a caller that is told when to retry.
        patience: Seconds after which a caller gives up.
        routers: Addresses of running routers; none to start a site.
        site: The site to start.
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
    """Read and check a configuration file.

    Args:
        path: A JSON file.

    Returns:
        The configuration.

    Raises:
        LoadConfigInvalid: Naming each wrong field.
    """
    try:
        return LoadConfig.model_validate_json(Path(path).read_bytes())
    except ValidationError as error:
        faults = [
            '{}: {}'.format('.'.join(map(str, one['loc'])), one['msg'])
            for one in error.errors()
        ]
        raise LoadConfigInvalid('; '.join(faults)) from error
    except OSError as error:
        raise LoadConfigInvalid(str(error)) from error
