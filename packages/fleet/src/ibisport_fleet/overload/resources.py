"""Divides what a process may use among the connections that it accepts."""

import resource

from ibisport_fleet.connection_tasks import ListenerBounds
from ibisport_fleet.overload.memory_budget import MemoryBudget
from ibisport_fleet.overload.parsing_turns import ParsingTurns
from ibisport_fleet.settings import ResourceLimits

# The rest is for the interpreter, the state of the process and its connections.
MEMORY_SHARE = 0.25
# Descriptors that aren't used for sockets.
FILE_DESCRIPTORS = 200
MIN_CONNECTIONS = 8


# Fractions of the sockets of a process for connections of callers or, at a relay, of
# routers; of other routers; of the balancer and metrics scrapers. The rest is for
# connections that the process itself opens.
CALLERS_SHARE = 0.5
ROUTERS_SHARE = 0.125
CHECKS_SHARE = 0.0625


class Resources:
    """What a process may use for the peers that connect to it.

    Attributes:
        memory: The memory that all connections share.
        turns: Lets connections whose bytes are costly to parse take turns.
    """

    def __init__(self, limits: ResourceLimits) -> None:
        """Divide the limits of a process."""
        self.memory = MemoryBudget(limits.memory_bytes * MEMORY_SHARE)
        self.turns = ParsingTurns()
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        descriptors = limits.descriptors
        if allowed != resource.RLIM_INFINITY:
            descriptors = min(descriptors, allowed)
        self._sockets = descriptors - FILE_DESCRIPTORS

    def bound_listener(self, share: float) -> ListenerBounds:
        """Return what the connections of a listener may use.

        Args:
            share: Fraction of the sockets of the process.
        """
        count = max(MIN_CONNECTIONS, int(self._sockets * share))
        return ListenerBounds(self.memory, count)
