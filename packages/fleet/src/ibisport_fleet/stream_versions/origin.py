"""Where a stream began, and which targets may therefore run its request.

Targets of several software versions may serve one service side by side. Their events
don't fit together, and targets don't check that.
"""

from dataclasses import dataclass

from ibisport_fleet.targets import Build, TargetEntry


@dataclass(frozen=True, slots=True)
class NotBegun:
    """The caller has no event, so a target of any version may run the request."""


@dataclass(frozen=True, slots=True)
class Begun:
    """The caller has events of a target with this software."""

    build: Build


@dataclass(frozen=True, slots=True)
class Unknown:
    """The caller has events, but not known of which software."""


StreamOrigin = NotBegun | Begun | Unknown


def permits(origin: StreamOrigin, entry: TargetEntry) -> bool:
    """Return whether a target may run a request whose stream has this origin."""
    match origin:
        case NotBegun():
            return True
        case Begun(build=build):
            return entry.build == build
        case Unknown():
            return False
