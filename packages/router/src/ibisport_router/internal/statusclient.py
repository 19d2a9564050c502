"""Reads the state page of another process, for the status command."""

from typing import Any

import orjson
import urllib3

_TIMEOUT_SECONDS = 2.0


def read_status(address: str) -> dict[str, Any]:
    """Return what a process believes.

    Args:
        address: Its status address, ``host:port``.

    Returns:
        Its state; only an ``error`` when it does not answer.
    """
    url = f'http://{address}/state'
    try:
        answer = urllib3.request('GET', url, timeout=_TIMEOUT_SECONDS, retries=False)
        state: dict[str, Any] = orjson.loads(answer.data)
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        return {'error': str(error)}
    return state
