"""The agent's side of one router's connection, served by its own thread."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from ibisport_agent.internal.runs import make_refused
from ibisport_core.errors import LinkClosed, PeerRejected, Refusal, SchemaMismatch
from ibisport_core.events import Event, log_event
from ibisport_core.link import Link
from ibisport_core.messages import (
    SCHEMA_VERSION,
    Cancel,
    CatalogueUpdate,
    Fence,
    FenceReport,
    Heartbeat,
    Hello,
    Message,
    Release,
    Settled,
    Submit,
    Welcome,
)

if TYPE_CHECKING:
    from ibisport_agent.agent import Agent


class RouterLink:
    """Serves one peer, usually a router, until the connection ends.

    The peer may also be a process that recovers the session of a dead router.
    """

    def __init__(self, agent: Agent, link: Link) -> None:
        """Wrap an accepted connection.

        Args:
            agent: The agent that accepted it.
            link: The connection.
        """
        self._agent = agent
        self._link = link

    def serve(self) -> None:
        """Perform the handshake, then handle messages until the link ends.

        Raises:
            LinkClosed: The link ended, or the handshake failed.
            FrameInvalid: The peer sent an invalid frame.
        """
        self._perform_handshake()
        self._agent.add_link(self._link)
        while True:
            self._handle(self._link.receive())

    def _perform_handshake(self) -> None:
        hello = self._link.receive()
        try:
            self._check_hello(hello)
        except (PeerRejected, SchemaMismatch) as error:
            log_event(Event.link_refused, peer=self._link.peer, code=error.code)
            raise LinkClosed(str(error)) from error
        agent = self._agent
        self._link.send(
            Welcome(
                SCHEMA_VERSION,
                'agent',
                agent.session,
                agent.settings.failure_domain,
                agent.settings.target,
                agent.runs.draining,
            )
        )

    def _check_hello(self, hello: Message) -> None:
        if not isinstance(hello, Hello):
            raise PeerRejected('the first message is not a hello')
        if hello.schema_version != SCHEMA_VERSION:
            raise SchemaMismatch(f'schema {hello.schema_version}')
        secret = self._agent.settings.link_secret
        if not hmac.compare_digest(hello.secret.encode(), secret.encode()):
            raise PeerRejected('wrong secret')

    def _handle(self, message: Message) -> None:
        match message:
            case Submit():
                self._handle_submit(message)
            case Cancel():
                self._agent.runs.cancel(message)
            case Release(request_id=request_id):
                self._handle_release(request_id)
            case Settled():
                self._agent.charges.settle(message)
            case Fence():
                self._handle_fence(message)
            case CatalogueUpdate():
                self._handle_update(message)
            case Heartbeat():
                pass  # receiving it has already reset the link's silence timeout
            case _:
                log_event(Event.frame_refused, peer=self._link.peer)

    def _handle_submit(self, submit: Submit) -> None:
        try:
            self._agent.runs.submit(submit, self._link)
        except Refusal as refusal:
            self._link.send(make_refused(submit, refusal))

    def _handle_release(self, request_id: bytes) -> None:
        run = self._agent.runs.find(request_id)
        if run is not None:
            run.released = True

    def _handle_fence(self, fence: Fence) -> None:
        agent = self._agent
        agent.charges.fence(fence.session)
        agent.runs.withdraw_session(fence.session)
        records = agent.charges.fence(fence.session)
        log_event(Event.session_fenced, session=fence.session, charges=len(records))
        report = FenceReport(fence.session, fence.call, agent.session, records)
        self._link.send(report)

    def _handle_update(self, update: CatalogueUpdate) -> None:
        agent = self._agent
        if not agent.view.apply_update(update):
            return
        if agent.view.state == 'live':
            agent.resume()
        else:
            agent.drain(f'the catalogue says {agent.view.state}')
