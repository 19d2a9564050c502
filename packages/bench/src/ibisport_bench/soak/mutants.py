"""Routers with one fault each, patched in memory, that the checks must catch.

``python -m ibisport_bench.soak.mutants NAME router`` runs such a router.
"""

import asyncio
import importlib
import math
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from functools import partial

from ibisport_bench.soak.continuation_mutants import (
    continue_other_run,
    shift_continuations,
)
from ibisport_bench.soak.patching import patch
from ibisport_bench.soak.stream_mutants import (
    forget_builds,
    forget_streams,
    go_on_anywhere,
)
from ibisport_bench.soak.targets import VERSIONS
from ibisport_fleet.budget_synchronizer import BudgetSynchronizer
from ibisport_fleet.budgets import Budgets
from ibisport_fleet.calls import Call
from ibisport_fleet.catalogue import Route, Workspace
from ibisport_fleet.errors import RecordInvalid
from ibisport_fleet.evacuations import Evacuations
from ibisport_fleet.fleet_view import CatalogueView, TargetView
from ibisport_fleet.forwarding import RequestForwarder
from ibisport_fleet.ledger import Reservation
from ibisport_fleet.quarantine.fatal_requests import FatalRequests
from ibisport_fleet.rate_shares.target_limits import TargetLimits
from ibisport_fleet.response_writer import ResponseWriter
from ibisport_fleet.router import Router
from ibisport_fleet.store import Change, Item
from ibisport_fleet.target_choice import Candidate, TargetHealth
from ibisport_fleet.target_selection import RequestFailed
from ibisport_fleet.target_warm_ups import TargetWarmUps
from ibisport_fleet.targets import TargetEntry
from ibisport_platform.records import decode_target

# The entry point of the unpatched program, and the module that it loads and that
# some mutants patch.
entry_point = importlib.import_module('ibisport_platform.__main__')
program = importlib.import_module('ibisport_platform.programs')
MUTANT_MODULE = 'ibisport_bench.soak.mutants'
# Delays after a new version until go-back restores the previous one and until it
# applies the new one again.
ROLLBACK_DELAY_SECONDS = 0.6
ROLL_FORWARD_DELAY_SECONDS = 2.0
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class Mutant:
    """A fault of a router.

    Attributes:
        check: The check that must catch it.
        fault_kind: The kind of fault of the site that exposes it.
        patch: Patches the program in memory.
        features: The optional parts of the program that it needs.
        versions: The number of software versions that expose it.
        routers: The number of routers; more of them have more streams for its check.
    """

    check: str
    fault_kind: str
    patch: Callable[[], None]
    features: str = ''
    versions: int = len(VERSIONS)
    routers: int = 3


def cut_at_stop() -> None:
    """Exit at once, while requests are still in progress."""

    async def leave(self: Router, moment: object) -> None:
        """Return at once instead of waiting."""

    for step in ('_keep_listening', '_wait_for_connections', '_finish_shutdown'):
        patch(Router, step, leave)


def repeat_all() -> None:
    """Retry every request whose answer breaks off, also on routes that run once."""
    patch(Route, 'repeatable', property(lambda route: True))


def promise_after_run() -> None:
    """Answer that a request was not executed when its target broke off."""

    def note_break(self: RequestForwarder, candidate: Candidate, reason: str) -> None:
        raise RequestFailed(UNAVAILABLE, reason)

    patch(RequestForwarder, '_handle_unknown_outcome', note_break)


def end_broken() -> None:
    """End a stream that broke off as if it were complete."""
    patch(ResponseWriter, 'abort', ResponseWriter.end_stream)


def lend_without_end() -> None:
    """Grant every reservation without asking for a budget."""

    async def reserve(
        self: Budgets,
        workspace: Workspace | None,
        tokens: int,
        objective: float | None = None,
    ) -> Reservation:
        return Reservation(None, tokens)

    patch(Budgets, 'reserve', reserve)


def overlook_drains() -> None:
    """Send requests to draining targets as long as they have an entry."""
    patch(program, 'decode_target', decode_as_ready)


def decode_as_ready(item: Item) -> TargetEntry:
    """Return the entry of a target as if it weren't draining."""
    return replace(decode_target(item), draining=False)


def overlook_versions() -> None:
    """Keep the first version of the catalogue until the next listing."""
    patch(CatalogueView, 'apply_change', lambda view, change, until: None)


def go_back() -> None:
    """Go back to the previous version of the catalogue for a while."""
    apply_original = CatalogueView.apply_change

    def change_and_go_back(
        self: CatalogueView, change: Change, doubtful_until: float
    ) -> None:
        previous = self.current
        apply_original(self, change, doubtful_until)
        if previous is None or self.current is previous:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(ROLLBACK_DELAY_SECONDS, patch, self, 'current', previous)
        loop.call_later(
            ROLL_FORWARD_DELAY_SECONDS, patch, self, 'current', self.current
        )

    patch(CatalogueView, 'apply_change', change_and_go_back)


def never_end() -> None:
    """Don't exit after the last answer."""

    async def wait(self: Router, until: float) -> None:
        await asyncio.sleep(math.inf)

    patch(Router, '_close_budgets', wait)


def send_fatal() -> None:
    """Send requests that crash targets like any other."""
    patch(FatalRequests, 'find_remaining_seconds', lambda fatal, call: None)


def overlook_parts() -> None:
    """Quarantine only whole requests."""
    patch(Call, 'shared_parts', ())


def overlook_limits() -> None:
    """Ignore the rate limits that targets advertise."""
    patch(TargetLimits, 'may_send', lambda limits, candidate, now: True)


def overlook_pauses() -> None:
    """Ignore the pauses that targets ask for."""
    patch(TargetHealth, 'is_paused', lambda health, now: False)


def overlook_leaving() -> None:
    """Ignore that targets say in answers that they leave."""
    patch(TargetView, 'record_leaving', lambda view, entry: None)
    patch(TargetHealth, 'is_current', property(lambda health: not health.replaced))


def overrun_cold() -> None:
    """Send targets that warm up as many requests as any other."""
    patch(TargetWarmUps, '_compute_rate', lambda warm_ups, candidate, now: None)


def overlook_evacuations() -> None:
    """Send requests to the targets of evacuated domains."""
    patch(Evacuations, 'covers', lambda evacuations, domain: False)


def keep_predecessor() -> None:
    """Open no session while the predecessor's is not settled."""
    patch(BudgetSynchronizer, '_open_session', fail_to_open)


async def fail_to_open(synchronizer: BudgetSynchronizer) -> None:
    """Fail as if the predecessor could never be settled."""
    raise RecordInvalid('the session is not settled')


MUTANTS: Mapping[str, Mutant] = {
    'cut-at-stop': Mutant('LOST', 'roll_all', cut_at_stop),
    'repeat-all': Mutant('TWICE', 'harm_target', repeat_all),
    'promise-after-run': Mutant('REFUSED', 'harm_target', promise_after_run),
    'end-broken': Mutant('WHOLE', 'harm_target', end_broken),
    'lend-without-end': Mutant('SPEND', 'reload', lend_without_end),
    'overlook-drains': Mutant('DRAIN', 'drain', overlook_drains),
    'overlook-versions': Mutant('LATE', 'publish', overlook_versions),
    'go-back': Mutant('BACK', 'publish', go_back),
    'send-fatal': Mutant('FATAL', 'fatal', send_fatal),
    'overlook-parts': Mutant('PART', 'fatal_part', overlook_parts),
    'overlook-limits': Mutant('LIMIT', 'limit', overlook_limits),
    'overlook-pauses': Mutant('PAUSE', 'pause', overlook_pauses),
    'overlook-leaving': Mutant('LEAVE', 'leave', overlook_leaving),
    'overrun-cold': Mutant('COLD', 'crash_target', overrun_cold),
    'overlook-evacuations': Mutant('EVAC', 'evacuate', overlook_evacuations),
    'keep-predecessor': Mutant('RECOVER', 'kill_all', keep_predecessor),
    'skip-event': Mutant(
        'WHOLE', 'harm_engines', partial(shift_continuations, 1), 'copies'
    ),
    'double-event': Mutant(
        'WHOLE', 'harm_engines', partial(shift_continuations, -1), 'copies'
    ),
    'other-run': Mutant('WHOLE', 'harm_engines', continue_other_run, 'copies'),
    'go-on-anywhere': Mutant('ORDER', 'harm_target', go_on_anywhere),
    'forget-builds': Mutant('RESUME', 'kill_all', forget_builds, versions=1, routers=6),
    'forget-streams': Mutant('RESUME', 'reload', forget_streams, routers=6),
    'never-end': Mutant('ENDS', 'roll_one', never_end),
}


def main() -> None:
    """Patch the program and run its usual entry point."""
    name = sys.argv.pop(1)
    MUTANTS[name].patch()
    entry_point.main()


if __name__ == '__main__':
    main()
