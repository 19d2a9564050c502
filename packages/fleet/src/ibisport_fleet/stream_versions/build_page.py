"""The page of builds: the store record of which builds may have begun streams."""

from dataclasses import astuple, dataclass

import msgspec
from msgspec import Struct

from ibisport_fleet.item_decoding import decode_item
from ibisport_fleet.store import Item
from ibisport_fleet.targets import Build

# The page lies under the prefix that each router lists every one to two seconds, so
# following it takes no additional call.
PAGE_KEY = 'ibisport/router-builds'


@dataclass(frozen=True, slots=True)
class BuildPage:
    """The builds that may have begun the streams that callers resume.

    Attributes:
        builds: The builds.
        complete: Whether no other build may have begun one.
    """

    builds: frozenset[Build] = frozenset()
    complete: bool = False


class _Page(Struct):
    complete: bool
    # Versions by service.
    builds: dict[str, list[str]]


_DECODER = msgspec.json.Decoder(_Page)


def encode_page(page: BuildPage) -> bytes:
    """Encode a page for the store."""
    versions: dict[str, list[str]] = {}
    for service, version in sorted(astuple(build) for build in page.builds):
        versions.setdefault(service, []).append(version)
    return msgspec.json.encode(_Page(page.complete, versions))


def decode_page(item: Item) -> BuildPage:
    """Decode a page from the store.

    Raises:
        RecordInvalid: The content is not a valid page.
    """
    page = decode_item(_DECODER.decode, item)
    builds = frozenset(
        Build(service, version)
        for service, versions in page.builds.items()
        for version in versions
    )
    return BuildPage(builds, page.complete)
