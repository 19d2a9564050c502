"""Keeps to the rate limits that targets name."""

import asyncio
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import isfinite

import msgspec

from ibisport_fleet.calls import Call, draw_jittered_delay
from ibisport_fleet.errors import PeerUnavailable
from ibisport_fleet.eventlog import Event, EventLog
from ibisport_fleet.fleet_view import TargetView
from ibisport_fleet.membership import Membership
from ibisport_fleet.notices import Notifier
from ibisport_fleet.peers import PeerHandler, decode_message
from ibisport_fleet.rate_limit import RateLimit, compute_send_interval
from ibisport_fleet.target_choice import Candidate, TargetHealth

LIMITS_PATH = b'/limits'
ACKNOWLEDGEMENT = b'{}'
# A router that may not send hears of the end of a limit from others. If a notice was
# lost, it tries the target again after one to two times as long.
LIMIT_LIFETIME_SECONDS = 60.0
# A router that may send does so after so long, though others have room: only an answer
# tells that a limit has ended.
PROBE_INTERVAL_SECONDS = 1.0
# Others are told of a rate that differs from the last one by this part.
RATE_CHANGE_THRESHOLD = 0.2
# The least and the longest time to come back where all targets are limited.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """A target named another limit.

    Attributes:
        target: Its incarnation.
        rate: Requests a second from all routers together; None: no limit any more.
    """

    target: str
    rate: float | None


class TargetLimits:
    """What targets said of how many requests they take."""

    def __init__(
        self,
        members: Membership,
        targets: TargetView,
        notifier: Notifier,
        log: EventLog,
    ) -> None:
        """Begin with nothing.

        Args:
            members: The routers that share a limit.
            targets: What is known of targets.
            notifier: Tells the other routers.
            log: Where changes of limits are written.
        """
        self._members = members
        self._targets = targets
        self._notifier = notifier
        self._log = log

    @property
    def handlers(self) -> Mapping[bytes, PeerHandler]:
        """What takes other routers' notices, by path."""
        return {LIMITS_PATH: self._handle_notice}

    def may_send(self, candidate: Candidate, now: float) -> bool:
        """Whether this router may send a request to a target now."""
        limit = candidate.health.limit
        if limit is None:
            return True
        if now >= limit.expires_at:
            candidate.health.limit = None
            return True
        return (
            isfinite(self._compute_candidate_interval(candidate, limit))
            and now >= limit.next_send_at
        )

    def find_probe_target(
        self, candidates: Sequence[Candidate], now: float
    ) -> Candidate | None:
        """Return a limited target that has to be asked whether it still is.

        Args:
            candidates: Targets to which this router may send now.
            now: Loop time.
        """
        for one in candidates:
            limit = one.health.limit
            if limit is None or not one.health.is_available(now):
                continue
            if now - limit.confirmed_at > PROBE_INTERVAL_SECONDS:
                return one
        return None

    def record_send(self, candidate: Candidate, now: float) -> None:
        """Count a request that is sent to a target."""
        limit = candidate.health.limit
        if limit is not None:
            limit.next_send_at = now + self._compute_candidate_interval(
                candidate, limit
            )

    def compute_retry_after(self, candidates: Sequence[Candidate], now: float) -> float:
        """Return when a caller should come back whom no target takes now, seconds.

        Another router may have a part of a limit of which this one has none.
        """
        limits = [
            (limit, self._compute_candidate_interval(one, limit))
            for one in candidates
            if (limit := one.health.limit) is not None
        ]
        waits = [limit.next_send_at - now for limit, gap in limits if isfinite(gap)]
        rate = sum(limit.rate for limit, _ in limits)
        shared = 1 / rate if rate else MAX_RETRY_AFTER_SECONDS
        pause = min(waits, default=shared)
        return draw_jittered_delay(
            min(max(MIN_RETRY_AFTER_SECONDS, pause), MAX_RETRY_AFTER_SECONDS)
        )

    def apply_answer(
        self, call: Call, health: TargetHealth, rate: float | None
    ) -> None:
        """Take what an answer says.

        Args:
            call: The request that it answers.
            health: What is known of its target.
            rate: Requests a second for all routers together; None: no limit.
        """
        known = health.limit
        target = call.target or ''
        if rate is None:
            # An answer to what was sent before the limit was named says nothing.
            if known is not None and call.sent_at >= known.confirmed_at:
                self._update_limit(target, health, None, own=True)
        elif known is None or _differ_notably(known.rate, rate):
            self._update_limit(target, health, rate, own=True)
        else:
            known.confirmed_at = asyncio.get_running_loop().time()
            known.expires_at = _draw_expiry(known.confirmed_at)

    async def _handle_notice(self, content: bytes) -> bytes:
        notice = decode_message(content, LimitNotice)
        if notice.rate is not None and not 0 <= notice.rate < float('inf'):
            raise PeerUnavailable(f'unreadable rate {notice.rate}')
        entry = self._targets.targets.find(notice.target)
        if entry is not None:
            health = self._targets.find_health(entry.start_id)
            self._update_limit(notice.target, health, notice.rate, own=False)
        return ACKNOWLEDGEMENT

    def _update_limit(
        self, target: str, health: TargetHealth, rate: float | None, *, own: bool
    ) -> None:
        known, health.limit = health.limit, None
        if rate is not None:
            health.limit = self._create_limit(target, rate, known)
        self._log.write(Event.target_limited, target=target, rate=rate, own=own)
        if own:
            notice = msgspec.json.encode(LimitNotice(target, rate))
            self._notifier.notify(LIMITS_PATH, notice)

    def _create_limit(
        self, target: str, rate: float, known: RateLimit | None
    ) -> RateLimit:
        now = asyncio.get_running_loop().time()
        gap = self._compute_interval(target, rate)
        # Routers that hear of it at the same time don't send at the same time.
        next_at = now + (gap * random.random() if isfinite(gap) else 0.0)
        if known is not None and isfinite(known.next_send_at):
            next_at = max(next_at, known.next_send_at)
        return RateLimit(rate, now, _draw_expiry(now), next_at)

    def _compute_candidate_interval(
        self, candidate: Candidate, limit: RateLimit
    ) -> float:
        return self._compute_interval(candidate.entry.incarnation, limit.rate)

    def _compute_interval(self, target: str, rate: float) -> float:
        members = self._members
        return compute_send_interval(rate, target, members.own.host, members.hosts)


def _differ_notably(one: float, other: float) -> bool:
    return abs(one - other) > RATE_CHANGE_THRESHOLD * min(one, other)


def _draw_expiry(now: float) -> float:
    return now + draw_jittered_delay(LIMIT_LIFETIME_SECONDS)
