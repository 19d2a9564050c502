"""Enforces the rate limits that targets report."""

import asyncio
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import inf, isfinite, isinf

import msgspec

from ibisport_fleet.calls import Call, draw_jittered_delay
from ibisport_fleet.errors import PeerUnavailable
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.fleet_view import TargetView
from ibisport_fleet.peers import PeerHandler, decode_message
from ibisport_fleet.rate_shares.borrower import ShareBorrower
from ibisport_fleet.rate_shares.demand import Demand
from ibisport_fleet.rate_shares.lender import OwnShare, ShareLender
from ibisport_fleet.rate_shares.limit import RateLimit, compute_send_interval
from ibisport_fleet.router_links import RouterLinks
from ibisport_fleet.target_choice import Candidate, TargetHealth

LIMITS_PATH = b'/limits'
ACKNOWLEDGEMENT = b'{}'
# A router that may not send learns from other routers that a limit has ended. In case
# that notice is lost, a limit expires after one to two times this long.
LIMIT_LIFETIME_SECONDS = 60.0
# A router that may send does so once the limit is unconfirmed for this long, even if
# other targets have free slots: only an answer shows that a limit has ended.
PROBE_INTERVAL_SECONDS = 1.0
# Other routers are notified of a rate that differs from the last one by this share.
RATE_CHANGE_THRESHOLD = 0.2


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """Message to other routers: a target has reported another rate limit.

    Attributes:
        target: The target's incarnation.
        rate: Requests per second from all routers together; None: the limit has ended.
    """

    target: str
    rate: float | None


class TargetLimits:
    """Applies the rate limits of targets and exchanges them with other routers."""

    def __init__(self, links: RouterLinks, targets: TargetView, log: EventLog) -> None:
        """Create an instance without known limits.

        Args:
            links: The routers that share a limit, and the ways to reach them.
            targets: Listed targets; their health holds the limits.
            log: Receives changes of limits.
        """
        self._members = links.members
        self._targets = targets
        self._notifier = links.notifier
        self._log = log
        self._demand = Demand()
        self._lender = ShareLender(
            self._demand, self._list_own_shares, asyncio.get_running_loop().time
        )
        self._borrower = ShareBorrower(links, targets, self._lender.is_short, log)

    @property
    def handlers(self) -> Mapping[bytes, PeerHandler]:
        """Handlers of other routers' messages, by path."""
        return {LIMITS_PATH: self._handle_notice, **self._lender.handlers}

    async def run(self) -> None:
        """Borrow shares of other routers while they are needed, until cancelled."""
        await self._borrower.run()

    def record_refusal(self, candidates: Sequence[Candidate], now: float) -> None:
        """Record a request that no target may get now, and borrow shares of them.

        Args:
            candidates: The limited targets that could serve it.
            now: Loop time.
        """
        self._demand.record_request(now)
        self._borrower.request(
            [candidate.entry.incarnation for candidate in candidates]
        )

    def may_send(self, candidate: Candidate, now: float) -> bool:
        """Return whether this router may send a request to a target now."""
        limit = candidate.health.limit
        if limit is None:
            return True
        if now >= limit.expires_at:
            candidate.health.limit = None
            return True
        return now >= self.find_next_send(candidate)

    def find_probe_target(
        self, candidates: Sequence[Candidate], now: float
    ) -> Candidate | None:
        """Return a target whose limit is due for a probe, or None.

        A request is sent there to find out whether the limit still applies.

        Args:
            candidates: Targets to which this router may send now.
            now: Loop time.
        """
        for candidate in candidates:
            limit = candidate.health.limit
            if limit is None or not candidate.health.is_available(now):
                continue
            if now - limit.confirmed_at > PROBE_INTERVAL_SECONDS:
                return candidate
        return None

    def record_send(self, candidate: Candidate, now: float) -> None:
        """Count a request that is sent to a target."""
        limit = candidate.health.limit
        if limit is None:
            return
        self._demand.record_request(now)
        share = limit.find_borrowed(now)
        # A borrowed share goes first: it ends soon.
        if share is not None and share.next_send_at <= now:
            share.next_send_at = now + share.interval
            share.used = True
            return
        limit.next_send_at = now + self._compute_candidate_interval(candidate, limit)

    def find_next_send(self, candidate: Candidate) -> float:
        """Return the loop time of this router's next send; infinite: it has no share.

        The target must have a limit.
        """
        limit = candidate.health.limit
        if limit is None:
            return inf
        interval = self._compute_candidate_interval(candidate, limit)
        own = inf if isinf(interval) else limit.next_send_at
        share = limit.find_borrowed(asyncio.get_running_loop().time())
        return own if share is None else min(own, share.next_send_at)

    def apply_answer(
        self, call: Call, health: TargetHealth, rate: float | None
    ) -> None:
        """Apply the rate limit that an answer reports.

        Args:
            call: The request that is answered.
            health: Health of the target that answered.
            rate: Requests per second for all routers together; None: no limit.
        """
        known = health.limit
        target = call.target or ''
        if rate is None:
            # An answer to a request from before the limit doesn't show its end.
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
        interval = self._compute_interval(target, rate)
        # The random offset spreads routers that learn of the limit at the same time.
        next_send_at = now + (interval * random.random() if isfinite(interval) else 0.0)
        limit = RateLimit(rate, now, _draw_expiry(now), next_send_at)
        if known is not None and isfinite(known.next_send_at):
            limit.next_send_at = max(next_send_at, known.next_send_at)
            limit.borrower, limit.lent_until = known.borrower, known.lent_until
        return limit

    def _list_own_shares(self) -> Mapping[str, OwnShare]:
        """Return this router's shares, by target."""
        shares = {
            target: OwnShare(limit, self._compute_interval(target, limit.rate))
            for target, limit in self._targets.list_limits().items()
        }
        return {
            target: share
            for target, share in shares.items()
            if isfinite(share.interval)
        }

    def _compute_candidate_interval(
        self, candidate: Candidate, limit: RateLimit
    ) -> float:
        return self._compute_interval(candidate.entry.incarnation, limit.rate)

    def _compute_interval(self, target: str, rate: float) -> float:
        members = self._members
        return compute_send_interval(rate, target, members.own.host, members.hosts)


def _differ_notably(old_rate: float, new_rate: float) -> bool:
    return abs(old_rate - new_rate) > RATE_CHANGE_THRESHOLD * min(old_rate, new_rate)


def _draw_expiry(now: float) -> float:
    return now + draw_jittered_delay(LIMIT_LIFETIME_SECONDS)
