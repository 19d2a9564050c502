"""The targets as this router sees them: a link to each, and which to choose."""

from __future__ import annotations

import random
import threading
import time
from typing import TYPE_CHECKING

from ibisport_core.entries import EntryKind, TargetEntry, TargetState, name_entry
from ibisport_core.messages import Message
from ibisport_router.internal.agentlink import AgentLink
from ibisport_router.internal.choice import TargetChooser
from ibisport_router.internal.choice_rendezvous import rank_homes

if TYPE_CHECKING:
    from ibisport_router.internal.orders import Order
    from ibisport_router.router import Router

_HOMES = 3


class Targets:
    """Links to the agents of all targets in the catalogue."""

    def __init__(self, router: Router) -> None:
        """Start without a link.

        Args:
            router: Whose links these are.
        """
        self.chooser = TargetChooser(
            router.settings.failure_domain, random.Random(), time.time
        )
        self._router = router
        self._lock = threading.Lock()
        self._links: dict[str, AgentLink] = {}

    def list_links(self) -> tuple[AgentLink, ...]:
        """Return the links to agents."""
        with self._lock:
            return tuple(self._links.values())

    def send_all(self, message: Message) -> None:
        """Send a message to every agent that is connected."""
        for link in self.list_links():
            link.send(message)

    def choose(self, order: Order, tried: tuple[str, ...]) -> AgentLink | None:
        """Return the link to the target that should serve a request.

        A keyed request goes only to its homes, which all routers agree on, so
        that a caller who retries through another router meets its answer.

        Args:
            order: The request.
            tried: Targets that have failed it, in order.

        Returns:
            The link, or None when no target takes work.
        """
        links = self._find_links(order)
        if order.keyed:
            homes = rank_homes(tuple(links), order.request_id, _HOMES)
            ranked = [name for name in homes if links[name].is_usable]
        else:
            candidates = [link.make_candidate() for link in links.values()]
            ranked = self.chooser.rank(candidates, order.affinity, time.time())
        fresh = [name for name in ranked if name not in tried]
        best = next(iter(fresh or ranked), None)
        return None if best is None else links[best]

    def may_return(self, order: Order) -> bool:
        """Whether a target that takes work is only away for the moment."""
        links = self._find_links(order).values()
        return any(not link.is_draining for link in links)

    def find_home(self, order: Order) -> AgentLink | None:
        """Return the link to a request's first home, or None if it is unusable."""
        links = self._find_links(order)
        home = rank_homes(tuple(links), order.request_id, 1)
        link = links[home[0]] if home else None
        return link if link is not None and link.is_usable else None

    def follow_catalogue(self, changed: frozenset[str]) -> None:
        """Open links to new targets, end those to retired ones, pass news on.

        Args:
            changed: Store keys of the entries that changed; an agent is told
                of its own entry only.
        """
        catalogue = self._router.catalogue
        entries = catalogue.current.list_entries(EntryKind.target)
        wanted = {
            one.name: one
            for one in entries
            if isinstance(one, TargetEntry) and one.state != TargetState.retired
        }
        with self._lock:
            for name in set(self._links) - set(wanted):
                self._retire(name)
            for name, entry in wanted.items():
                self._update(name, entry)
        for link in self.list_links():
            if name_entry(EntryKind.target, link.entry.name) in changed:
                link.send(catalogue.make_update(link.entry.name))

    def close(self) -> None:
        """End all links."""
        for link in self.list_links():
            link.close()

    def _find_links(self, order: Order) -> dict[str, AgentLink]:
        current = self._router.catalogue.current
        if order.service:
            targets = current.list_service_targets(order.pool)
        else:
            targets = current.list_model_targets(order.pool)
        with self._lock:
            return {
                one.name: self._links[one.name]
                for one in targets
                if one.name in self._links
            }

    def _retire(self, name: str) -> None:
        link = self._links.pop(name)
        link.send(self._router.catalogue.make_update(name))
        link.retire()

    def _update(self, name: str, entry: TargetEntry) -> None:
        link = self._links.get(name)
        if link is not None and link.entry.agent_address != entry.agent_address:
            self._links.pop(name).retire()
            link = None
        if link is None:
            link = AgentLink(self._router, entry)
            self._links[name] = link
            link.start()
        link.entry = entry
