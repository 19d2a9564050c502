"""Runs the stand-in of a model engine."""

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
    """Make the server of the engine.

    Args:
        port: TCP port on 127.0.0.1; 0 takes a free one.
        threads: Connections served at once, waiting requests included.
        models: Names of the models loaded, by commas; none to serve any.
        check_fencing: Whether orders with an old fencing number are refused.
        settings: Any further field of ``EngineSettings``, as a flag.
    """
    # Fire reads a list with commas as a tuple, and ``true`` as a word.
    names = tuple(models.split(',')) if isinstance(models, str) else tuple(models)
    checks = str(check_fencing).lower() == 'true'
    typed = EngineSettings(models=names, check_fencing=checks, **settings)  # type: ignore[arg-type]
    return Server(EngineApi(typed), port, threads)


if __name__ == '__main__':
    run_server(make_server)
