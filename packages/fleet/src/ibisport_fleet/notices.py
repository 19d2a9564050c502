"""Sends notices to all other routers over direct connections."""

import asyncio

from ibisport_fleet.errors import PeerUnavailable
from ibisport_fleet.event_log import Event, EventLog
from ibisport_fleet.membership import Member, Membership
from ibisport_fleet.peers import PeerClient

ANSWER_TIMEOUT_SECONDS = 1.0
MAX_ATTEMPTS = 3
RETRY_BACKOFF_SECONDS = 0.5


class Notifier:
    """Sends notices, with retries; receivers must handle them idempotently."""

    def __init__(self, members: Membership, peers: PeerClient, log: EventLog) -> None:
        self._members = members
        self._peers = peers
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    def notify(self, path: bytes, content: bytes) -> None:
        """Send a notice to each listed router in the background."""
        loop = asyncio.get_running_loop()
        for member in self._members.list_others():
            task = loop.create_task(self._send(member, path, content))
            # The event loop keeps only weak references to tasks.
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, member: Member, path: bytes, content: bytes) -> None:
        loop = asyncio.get_running_loop()
        reason = ''
        for _ in range(MAX_ATTEMPTS):
            deadline = loop.time() + ANSWER_TIMEOUT_SECONDS
            try:
                await self._peers.ask(member.address, path, content, deadline)
            except PeerUnavailable as error:
                reason = str(error)
                await asyncio.sleep(RETRY_BACKOFF_SECONDS)
            else:
                return
        self._log.write(
            Event.notice_lost, router=member.host, notice=path.decode(), reason=reason
        )
