"""Command line of the model engine stand-in."""

from ibisport_bench.standins.engine.api import EngineApi
from ibisport_bench.standins.engine.settings import EngineSettings
from ibisport_bench.standins.web import Server, run_server


def make_server(
    port: int = 0,
    threads: int = 300,
    models: str | tuple[str, ...] = (),
    check_fencing: bool | str = True,
    **settings: float,
) -> Server:
    """Create the server of the engine.

    Args:
        port: TCP port on 127.0.0.1; 0 selects a free port.
        threads: Connections served at once, including those of waiting requests.
        models: Names of the loaded models, separated by commas; empty to serve
            any name.
        check_fencing: Whether orders with an outdated fencing number are refused.
        settings: Any other field of ``EngineSettings``, as a flag.
    """
    # Fire parses a value with commas as a tuple, and ``true`` as a string.
    names = tuple(models.split(',')) if isinstance(models, str) else tuple(models)
    fenced = str(check_fencing).lower() == 'true'
    typed = EngineSettings(models=names, check_fencing=fenced, **settings)  # type: ignore[arg-type]
    return Server(EngineApi(typed), port, threads)


if __name__ == '__main__':
    run_server(make_server)
