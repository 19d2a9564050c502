"""Faults of routers that forget where streams began, or disregard it."""

import importlib

from ibisport_bench.soak.patching import patch
from ibisport_fleet.stream_versions.build_store import BuildStore
from ibisport_fleet.stream_versions.records import StreamRecords

# The modules that ask whether a target may run a request.
ASKING_MODULES = (
    'ibisport_fleet.target_selection',
    'ibisport_fleet.target_client',
    'ibisport_fleet.continuation.request',
)


def go_on_anywhere() -> None:
    """Let streams go on at targets of any software version."""
    for name in ASKING_MODULES:
        patch(importlib.import_module(name), 'permits', lambda origin, entry: True)


def forget_streams() -> None:
    """Forget with which software streams began."""
    patch(StreamRecords, 'put', lambda store, key, build, now, expires_at: None)


def forget_builds() -> None:
    """Disregard the page of builds."""
    patch(BuildStore, 'list_builds', lambda builds, service, window: None)
