"""Shared fixtures: targets of a fleet in virtual time that crash, drain and stream."""

import asyncio
from dataclasses import dataclass, replace
from weakref import WeakSet

import msgspec
from running_router import END, OK, STREAM_HEAD, encode_event

from ibisport_fleet.catalogue import Limits
from ibisport_fleet.channel import Channel
from ibisport_fleet.errors import FleetError
from ibisport_fleet.request_reader import RequestReader
from ibisport_fleet.targets import TargetEntry

# A request with this body crashes the target that runs it, this long after its start.
FATAL = b'fatal'
FATAL_AFTER_SECONDS = 0.09
# Any part but the last of a prompt that crashes the target that begins to answer.
FATAL_PART = b'fa7a1'
SEAL = b'Response-Seal: s\r\n'
REJECTED = (
    b'HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n'
    b'Response-Seal: s\r\nContent-Length: 0\r\n\r\n'
)
MISDIRECTED = (
    b'HTTP/1.1 421 Misdirected\r\nAttempt-Id: {id}\r\n'
    b'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)
FAILED = (
    b'HTTP/1.1 500 Failed\r\nAttempt-Id: {id}\r\n'
    b'Response-Seal: s\r\nContent-Length: 0\r\n\r\n'
)
# A stream that is requested with this body takes this many times as long.
SLOW = b'slow'
SLOW_FACTOR = 10
PLAIN_ANSWER_SECONDS = 0.05
BEFORE_HEAD = -1
EVENTS = 8
EVENT_INTERVAL_SECONDS = 0.05
# A crashed target restarts after this time under a new id; its old entry lapses after
# three heartbeats.
RESTART_SECONDS = 4.0
ENTRY_LAPSE_SECONDS = 3.6
DRAIN_SECONDS = 3.0
# A cold target crashes at more requests in a second than its rate times the factor,
# plus the slack.
COLD_FACTOR = 1.5
COLD_SLACK = 5
MAX_RUN_SECONDS = 300.0
TARGET_PREFIX = 'servers/'


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a target.

    Attributes:
        at: Loop time, seconds.
        router: Host of the router that sent it.
        target: The target's incarnation.
        name: The request's id.
        body: Its body.
    """

    at: float
    router: str
    target: str
    name: str
    body: bytes


class FleetTarget:
    """A target on its own host that crashes and restarts under a new id.

    Attributes:
        host: Name of its host.
        domain: Its failure domain.
        incarnation: Its current id.
        rate: Rate limit in its answers, in requests per second, or None.
        rejects: Whether it rejects requests.
        rejection: Its answer to them.
        reject_stride: Of how many requests it rejects one.
        retry_after: Retry-After value of its rejections, or None.
        event_factor: How many times as long its events take.
        break_stride: Of how many requests it breaks the connection of one after the
            head of the answer; 0: of none.
        loss_stride: Of how many requests it never answers one; 0: it answers all.
        leaves: Whether all of its answers say that it leaves.
        reports_load: Whether its answers report how many requests it runs.
        cold_until: Loop time until which it warms up, and crashes if it is overrun.
        answer_seconds: How long its plain answers take, or None: as usual.
        hangs_after: Events after which its answers stop; BEFORE_HEAD, or None: never.
        other_run: The run that its answers to continued runs name, or None.
        id_offset: Added to the ids of the events of runs that continue here.
        copies: Events that arrived of the runs of other targets, by the run's id.
        software_version: Version of its software, from its next start on; the data of
            its events ends with it.
        service: The service that it belongs to.
    """

    def __init__(self, fleet, number):
        self.host = f'target-{number}'
        self.domain = f'd-{number % 2}'
        self.incarnation = ''
        self.rate = None
        self.rejects = False
        self.rejection = REJECTED
        self.reject_stride = 1
        self.retry_after = None
        self.event_factor = 1
        self.break_stride = 0
        self.loss_stride = 0
        self.leaves = False
        self.reports_load = False
        self.cold_until = 0.0
        self.hangs_after = None
        self.answer_seconds = None
        self.id_offset = 0
        self.other_run = None
        self.copies = {}
        self.software_version = ''
        self.service = 'svc'
        self._cold_arrivals = []
        self._request_count = 0
        self._running = 0
        self._fleet = fleet
        self._net = fleet.net
        self._starts = 0
        self._number = number
        self._entry = None
        self._tasks = set()
        self._channels = WeakSet()

    async def start(self):
        """Listen under a new id and register it."""
        self._starts += 1
        self.incarnation = f'i-{self._number}-{self._starts}'
        self._entry = TargetEntry(
            self.incarnation,
            self.service,
            (f'10.1.0.{self._number}', 8_000),
            self.domain,
            100,
            False,
            0,
            software_version=self.software_version,
        )
        await self._listen()
        if self._fleet.started:
            self.become_cold()
        self._register()

    def become_cold(self):
        """Warm up again, if the catalogue says how; the entry doesn't tell yet."""
        warm_up = self._fleet.warm_up
        if warm_up is not None:
            self.cold_until = self._net.time() + warm_up.seconds

    async def _listen(self):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Channel(self._open), *self._entry.address
        )

    def close(self):
        """Refuse new connections and reset those that are open."""
        self._server.close()
        self.reset()

    def open_again(self):
        """Accept connections again."""
        self._net.start_on(self.host, self._listen())

    def crash(self, restart_seconds=RESTART_SECONDS):
        """Crash at once and restart later at the same address."""
        old_incarnation = self.incarnation
        self._fleet.ends.append((self._net.time(), old_incarnation))
        self.copies.clear()
        self._net.kill(self.host)
        key = TARGET_PREFIX + old_incarnation
        self._net.call_later(ENTRY_LAPSE_SECONDS, self._fleet.service.remove, key)
        self._net.call_later(restart_seconds, self._restart)

    async def leave(self):
        """Drain while serving for some seconds, stop, and restart later."""
        self._entry = replace(self._entry, draining=True)
        self._register()
        await asyncio.sleep(DRAIN_SECONDS)
        self._net.kill(self.host)
        self._fleet.service.remove(TARGET_PREFIX + self.incarnation)
        self._net.call_later(RESTART_SECONDS, self._restart)

    def reset(self):
        """Reset all connections without stopping."""
        for channel in tuple(self._channels):
            channel.abort()

    def _restart(self):
        self._net.start_on(self.host, self.start())

    def write_entry(self):
        """Write its entry once more, unchanged."""
        self._register()

    def remove_entry(self):
        """Remove its entry while it goes on serving."""
        self._fleet.service.remove(TARGET_PREFIX + self.incarnation)

    def _register(self):
        cold_seconds = max(0.0, self.cold_until - self._net.time())
        self._entry = replace(self._entry, cold_seconds=cold_seconds)
        content = msgspec.json.encode(self._entry)
        self._fleet.service.put(TARGET_PREFIX + self.incarnation, content)

    def _open(self, channel):
        self._channels.add(channel)
        incarnation, closed = self.incarnation, self._fleet.closed
        channel.on_lost = lambda: closed.append((self._net.time(), incarnation))
        task = asyncio.get_running_loop().create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, channel):
        reader = RequestReader(channel, Limits)
        try:
            while (request := await reader.read()) is not None:
                if self._is_misdirected(request):
                    channel.write(self._make_head(MISDIRECTED, request))
                    continue
                self._record_arrival(request)
                self._running += 1
                try:
                    await self._answer(request, channel)
                finally:
                    self._running -= 1
        except FleetError:
            # The router reset the connection, so no answer can be sent.
            return

    def _is_misdirected(self, request):
        return request.find(b'expect-instance') != self.incarnation.encode()

    def _record_arrival(self, request):
        find = request.find
        arrival = Arrival(
            self._net.time(),
            self._find_router(request),
            self.incarnation,
            (find(b'attempt-id') or b'').decode(),
            request.body,
        )
        self._fleet.arrivals.append(arrival)
        if arrival.at < self.cold_until:
            self._record_cold_arrival(arrival.at)

    def _record_cold_arrival(self, now):
        """Crash if more requests arrive in a second than a cold target bears."""
        recent = [at for at in self._cold_arrivals if at > now - 1.0]
        self._cold_arrivals = [*recent, now]
        rate = self._fleet.warm_up.rate
        self._fleet.cold_counts.append(len(self._cold_arrivals))
        if len(self._cold_arrivals) > COLD_FACTOR * rate + COLD_SLACK:
            self._fleet.overruns.append((now, self.incarnation))
            self.crash()

    def _make_head(self, template, request):
        """Return a head with the request's id and the rate limit, if there is one."""
        head = template.replace(b'{id}', request.find(b'attempt-id'))
        if self.leaves:
            head = head.replace(SEAL, SEAL + b'Server-Leaving: 1\r\n')
            self._fleet.left.setdefault(
                (self.incarnation, self._find_router(request)), self._net.time()
            )
        if self.reports_load:
            load = b'Worker-Load: %d,0,100\r\n' % self._running
            head = head.replace(SEAL, SEAL + load)
        if self.rate is None:
            return head
        router = self._find_router(request)
        self._fleet.told.setdefault((self.incarnation, router), self._net.time())
        return head.replace(SEAL, SEAL + b'Server-Limit: %.2f\r\n' % self.rate)

    def _find_router(self, request):
        return (request.find(b'x-router') or b'').decode()

    def _reject(self, request):
        """Return a rejection, which may ask for a pause."""
        head = self._make_head(self.rejection, request)
        if self.retry_after is None:
            return head
        self._fleet.pauses.append(
            (self._net.time(), self._find_router(request), self.incarnation)
        )
        line = b'Retry-After: %b\r\n' % self.retry_after
        return head.replace(SEAL, SEAL + line)

    async def _answer(self, request, channel):
        self._request_count += 1
        if self.rejects and self._request_count % self.reject_stride == 0:
            channel.write(self._reject(request))
            return
        if self.loss_stride and self._request_count % self.loss_stride == 0:
            await asyncio.Future()
        if self.break_stride and self._request_count % self.break_stride == 0:
            channel.write(self._make_head(STREAM_HEAD, request))
            channel.abort()
            return
        if request.body.startswith(FATAL) or _has_fatal_part(request):
            channel.write(self._make_head(STREAM_HEAD, request))
            await asyncio.sleep(FATAL_AFTER_SECONDS)
            self._fleet.fatal_ends.append(self._net.time())
            self.crash()
            return
        if request.body != SLOW and not request.target.startswith(b'/stream/'):
            await asyncio.sleep(self.answer_seconds or PLAIN_ANSWER_SECONDS)
            head = self._make_head(OK, request)
            channel.write(head + b'Content-Length: 1\r\n\r\nx')
            return
        await self._stream(request, channel)

    async def _stream(self, request, channel):
        first = int(request.find(b'last-event-id') or 0) + 1
        offset = 0
        run_id = None
        if request.find(b'kv-from') is not None:
            holds = _holds_copy(self, request)
            self._fleet.continuations.append((self.incarnation, first, holds))
            if not holds:
                channel.write(self._make_head(REJECTED, request))
                return
            offset = self.id_offset
            run_id = self.other_run
        if self.hangs_after == BEFORE_HEAD:
            await _hang(self, BEFORE_HEAD)
        head = STREAM_HEAD if run_id is None else STREAM_HEAD.replace(b'{id}', run_id)
        channel.write(self._make_head(head, request))
        version = self._entry.software_version
        mark = f' {version}' if version else ''
        factor = SLOW_FACTOR if request.body == SLOW else self.event_factor
        for number in range(first, EVENTS + 1):
            await _hang(self, number - 1)
            await asyncio.sleep(EVENT_INTERVAL_SECONDS * factor)
            self._copy_run(request, number)
            channel.write(encode_event(number + offset, mark))
        self._copy_run(request, None)
        channel.write(END)

    @property
    def encoded_address(self):
        """Its address, as requests name it."""
        host, port = self._entry.address
        return b'%b:%d' % (host.encode(), port)

    def _copy_run(self, request, events):
        """Copy a run to the target that its request names, or drop the copy."""
        wanted = request.find(b'kv-backup')
        run_id = request.find(b'attempt-id')
        for target in self._fleet.targets:
            if target.encoded_address == wanted:
                target.copies[run_id] = events
                if events is None:
                    del target.copies[run_id]


def register_as(target, version):
    """Register another target of a version at an address that nobody uses."""
    entry = replace(
        target._entry,
        incarnation=f'{target.incarnation}-{version}',
        address=('10.1.1.1', 8_000),
        software_version=version,
    )
    target._fleet.service.put(
        TARGET_PREFIX + entry.incarnation, msgspec.json.encode(entry)
    )


def register_restart(target, version):
    """Register a target as if it had restarted under its id with another version."""
    restarted_at = target._entry.started_at_ms + 1
    target._entry = replace(
        target._entry, started_at_ms=restarted_at, software_version=version
    )
    target.write_entry()


def _has_fatal_part(request):
    parts = (request.find(b'prompt-prefix') or b'').split(b',')[:-1]
    return FATAL_PART in {part.partition(b':')[0] for part in parts}


async def _hang(target, events):
    """Never return if a target hangs after this number of events."""
    if target.hangs_after is not None and events >= target.hangs_after:
        await asyncio.sleep(MAX_RUN_SECONDS)


def _holds_copy(target, request):
    """Whether a target holds the copy that a request names."""
    address, _, run_id = request.find(b'kv-from').partition(b'/')
    return address == target.encoded_address and run_id in target.copies
