"""Platform-specific parts of a router."""

from collections.abc import Callable
from dataclasses import dataclass

from ibisport_fleet.catalogue import Catalogue
from ibisport_fleet.event_log import EventLog
from ibisport_fleet.metadata import Dialect
from ibisport_fleet.settings import HostSettings
from ibisport_fleet.store import Item, Store
from ibisport_fleet.store_paths import StorePaths
from ibisport_fleet.targets import TargetEntry


@dataclass(frozen=True, slots=True)
class Adapters:
    """Functions and keys that a platform's adapter provides."""

    dialect: Dialect
    open_store: Callable[[StorePaths, EventLog], Store]
    catalogue_key: str
    catalogue_prefix: str
    evacuation_prefix: str
    target_prefix: str
    decode_catalogue: Callable[[Item], Catalogue]
    decode_target: Callable[[Item], TargetEntry]
    parse_incarnation: Callable[[str], str]
    load_settings: Callable[[], HostSettings]
