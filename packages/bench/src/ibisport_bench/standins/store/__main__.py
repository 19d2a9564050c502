"""Command line of the key-value service stand-in."""

from ibisport_bench.standins.store.api import StoreApi
from ibisport_bench.standins.web import Server, run_server


def make_server(
    port: int = 0,
    writes_per_second: float = 500,
    reads_per_second: float = 2000,
    progress_seconds: float = 10,
    threads: int = 300,
) -> Server:
    """Create the server of the key-value service.

    Args:
        port: TCP port on 127.0.0.1; 0 selects a free port.
        writes_per_second: Maximum writes per second; 0 for no limit.
        reads_per_second: Maximum reads per second; 0 for no limit.
        progress_seconds: Seconds between progress notifications of an idle watch.
        threads: Connections served at once, including open watches.
    """
    api = StoreApi(writes_per_second, reads_per_second, progress_seconds)
    api.leases.start_expiry()
    return Server(api, port, threads)


if __name__ == '__main__':
    run_server(make_server)
