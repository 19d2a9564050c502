"""Runs the stand-in of the key-value service."""

from ibisport_bench.standins.store.api import StoreApi
from ibisport_bench.standins.web import Server, run_server


def make_server(
    port: int = 0,
    writes_per_second: float = 500,
    reads_per_second: float = 2000,
    progress_seconds: float = 10,
    threads: int = 300,
) -> Server:
    """Make the server of the key-value service.

    Args:
        port: TCP port on 127.0.0.1; 0 takes a free one.
        writes_per_second: Most writes a second; 0 for no limit.
        reads_per_second: Most reads a second; 0 for no limit.
        progress_seconds: Seconds between progress messages of a watch.
        threads: Connections served at once, waiting watches included.
    """
    api = StoreApi(writes_per_second, reads_per_second, progress_seconds)
    api.leases.start_expiry()
    return Server(api, port, threads)


if __name__ == '__main__':
    run_server(make_server)
