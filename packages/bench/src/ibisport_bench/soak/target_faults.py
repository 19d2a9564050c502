"""Faults of targets, and what targets report."""

import asyncio
import random
from dataclasses import replace

import msgspec

from ibisport_bench.soak.evidence import (
    AdvertisedLimit,
    Cause,
    Evacuation,
    Journal,
    read_clock,
)
from ibisport_bench.soak.site import DOMAINS, ENGINE, Site
from ibisport_bench.soak.targets import ENTRY_TIMEOUT_SECONDS, Target, TargetFaults
from ibisport_platform.records import EVACUATION_PREFIX
from ibisport_platform.stand_in_records import encode_target

RESTART_DELAY_SECONDS = (0.1, 1.5)
FAULT_SECONDS = (0.3, 4.0)
BROKEN_SHARE = 0.5
MAX_START_DELAY_SECONDS = 1.5
LIMIT_SECONDS = 12.0
RATE_LIMITS_PER_SECOND = (0.5, 2.4, 6.0)
PAUSES_SECONDS = (1.0, 3.0, 6.0)
REJECT_SHARES = (0.5, 1.0)
PAUSING_SECONDS = (2.0, 6.0)
EVACUATED_SECONDS = (5.0, 8.0)
# The id of entries of targets that don't exist, and the share of the odd entries that
# replace the entry of a target instead.
STRANGER = 'stranger-1'
KNOWN_ID_SHARE = 0.3
CLOSED_ADDRESS = '127.1.1.1:1'
# What other writers put into an entry.
ODD_FIELDS: tuple[dict[str, object], ...] = (
    {'slots': msgspec.Raw(b'1%b' % (b'0' * 400)), 'address': CLOSED_ADDRESS},
    {'slots': msgspec.Raw(b'1%b' % (b'0' * 30)), 'address': CLOSED_ADDRESS},
    {'coldLeftMs': msgspec.Raw(b'1e300'), 'address': CLOSED_ADDRESS},
    {'born': msgspec.Raw(b'1%b' % (b'0' * 400)), 'address': CLOSED_ADDRESS},
    {'address': '127.1.1.1:65536'},
    {'zone': msgspec.Raw(b'%b%b' % (b'[' * 20_000, b']' * 20_000))},
)


class TargetFaultInjector:
    """Injects faults of targets; each public method is the fault of that name."""

    def __init__(
        self, site: Site, journal: Journal, random_source: random.Random
    ) -> None:
        self._site = site
        self._journal = journal
        self._random = random_source
        self._leaving_services: set[str] = set()
        self._is_evacuating = False

    async def drain(self) -> None:
        """Let a target drain and start again."""
        target = self._random.choice(self._site.targets)
        if self._claim_service(target):
            await target.drain()
            await self._restart_target(target)

    async def crash_target(self) -> None:
        """Let a target end without notice and start again."""
        target = self._random.choice(self._site.targets)
        if self._claim_service(target):
            target.end()
            await asyncio.sleep(ENTRY_TIMEOUT_SECONDS)
            await target.remove_entry()
            await self._restart_target(target)

    async def limit(self) -> None:
        """Let a target advertise a rate limit for a while."""
        target = self._random.choice(self._site.targets)
        if target.rate_limit is not None:
            return
        target.rate_limit = self._random.choice(RATE_LIMITS_PER_SECOND)
        limit = AdvertisedLimit(
            target.entry.incarnation, target.rate_limit, read_clock()
        )
        self._journal.limits.append(limit)
        await asyncio.sleep(LIMIT_SECONDS)
        target.rate_limit = None
        limit.ended = read_clock()

    def _claim_service(self, target: Target) -> bool:
        """Claim the removal of a target: one target of each service at a time.

        Returns:
            Whether no other target of its service is removed at the moment.
        """
        if target.entry.service in self._leaving_services:
            return False
        self._leaving_services.add(target.entry.service)
        return True

    async def _restart_target(self, target: Target) -> None:
        await asyncio.sleep(self._random.uniform(*RESTART_DELAY_SECONDS))
        await target.start()
        self._leaving_services.discard(target.entry.service)

    async def leave(self) -> None:
        """Let a target say that it leaves, while its entry reads ready."""
        target = self._random.choice(self._site.targets)
        if self._claim_service(target):
            await target.leave()
            await self._restart_target(target)

    async def evacuate(self) -> None:
        """Evacuate a failure domain for a while; its targets are cold at the end."""
        if self._is_evacuating:
            return
        self._is_evacuating = True
        domain = self._random.choice(DOMAINS)
        key = f'{EVACUATION_PREFIX}{domain}'
        targets = [
            target for target in self._site.targets if target.entry.domain == domain
        ]
        await self._site.wait_for_store()
        self._site.service.put(key, b'{}')
        names = frozenset(target.name for target in targets)
        evacuation = Evacuation(names, read_clock())
        self._journal.evacuations.append(evacuation)
        await asyncio.sleep(self._random.uniform(*EVACUATED_SECONDS))
        await self._site.wait_for_store()
        for target in targets:
            await target.announce_cold()
        evacuation.ended = read_clock()
        self._site.service.remove(key)
        self._is_evacuating = False

    async def misregister(self) -> None:
        """Let another writer put an odd entry under a new id or a known one."""
        target = self._random.choice(self._site.targets)
        is_known = self._random.random() < KNOWN_ID_SHARE
        incarnation = target.entry.incarnation if is_known else STRANGER
        key, record = encode_target(replace(target.entry, incarnation=incarnation), 1)
        change = self._random.choice(ODD_FIELDS)
        content = msgspec.json.encode({**msgspec.json.decode(record), **change})
        await self._site.wait_for_store()
        with self._journal.track_fault(Cause.target, incarnation, f'{list(change)}'):
            self._site.service.put(key, content)
            await asyncio.sleep(self._random.uniform(*FAULT_SECONDS))
        if not is_known:
            await self._site.wait_for_store()
            self._site.service.remove(key)
        elif target.entry.incarnation == incarnation:
            await target.announce()

    async def pause(self) -> None:
        """Let a target reject requests and ask for pauses."""
        target = self._random.choice(self._site.targets)
        faults = TargetFaults(
            reject_share=self._random.choice(REJECT_SHARES),
            pause_seconds=self._random.choice(PAUSES_SECONDS),
        )
        target.faults = faults
        await asyncio.sleep(self._random.uniform(*PAUSING_SECONDS))
        target.faults = TargetFaults()

    async def harm_engines(self) -> None:
        """Let all engines break off answers; most breaks leave a copy to go on at."""
        engines = [
            target for target in self._site.targets if target.entry.service == ENGINE
        ]
        with self._journal.track_fault(Cause.target, ENGINE, 'break off answers'):
            for target in engines:
                target.faults = TargetFaults(break_share=BROKEN_SHARE)
            await asyncio.sleep(self._random.uniform(*FAULT_SECONDS))
            for target in engines:
                target.faults = TargetFaults()

    async def harm_target(self) -> None:
        """Let a target break off or delay answers."""
        target = self._random.choice(self._site.targets)
        delay = self._random.uniform(0, MAX_START_DELAY_SECONDS)
        faults = (
            TargetFaults(break_share=BROKEN_SHARE)
            if delay < 1
            else TargetFaults(delay_seconds=delay)
        )
        with self._journal.track_fault(Cause.target, target.name, f'{faults}'):
            target.faults = faults
            await asyncio.sleep(self._random.uniform(*FAULT_SECONDS))
            target.faults = TargetFaults()
