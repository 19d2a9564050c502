"""All routers are restarted in turn; the long streams of the last one are lost."""

import asyncio
import math
import os
import random
import signal
import time
from pathlib import Path

from clients import build_request, send
from deployment import BOUNDS, CONTACT_MS, FRONT, Site, run_case
from workers import Worker, write_stream

FOLDER = Path(__file__).resolve().parent
WORKERS, ROUTERS = 6, 3
BEFORE_SECONDS = 12.0
# From one SIGTERM to the next: each router is in touch again before the next one stops.
ROLL_GAP_SECONDS = 12.0
RESTART_SECONDS = 0.5
# Of the last router: from its SIGTERM until its streams have been taken up again.
JUDGED_SECONDS = 12.0
REQUESTS_PER_SECOND = 20
EVENTS, EVENT_SECONDS = 100, 0.1
DEADLINE_SECONDS = 15.0
RETRIES = 2
MIN_STREAMS = 12
HOST, PATH, KEY = 'llm.example', '/playlist/1', 'key-1'
# With PART=last, only the last router is restarted.
ROLLS = os.environ.get('PART') != 'last'


def build_config():
    return {
        'routes': [
            {
                'name': 'r-playlist',
                'hostname': HOST,
                'prefix': '/playlist/',
                'kind': 'streaming',
                'timeoutMs': 15000,
                'targetLatencyMs': 800,
                'targetGapMs': 400,
                'priority': 1,
                'service': 'ibis-writers',
                'maxAttempts': 2,
                'resumable': True,
                'sticky': True,
            }
        ],
        'services': [
            {
                'name': 'ibis-writers',
                'healthPath': '/health',
                'maxConns': 310,
                'engine': {'slots': 48, 'kvCapacity': 318631, 'stride': 3},
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'tenant-1', 'apiKeys': [KEY], 'prepaid': 10**9}],
    }


def draw_prompt():
    parts = [
        '5c1e07a2:2520',
        f'5e55{random.randrange(64):04x}:800',
        f'{random.randrange(16**8):08x}:300',
    ]
    return [
        ('Model', 'm'),
        ('Token-Usage', f'3620,{3 * EVENTS}'),
        ('Prompt-Prefix', ','.join(parts)),
    ]


def build_deadline(seconds_left):
    return 'Deadline-Ms', max(1, int(seconds_left * 1000))


class Balancer:
    """Asks routers for readiness each second; two misses take one out."""

    def __init__(self, site):
        self._site = site
        self._misses = {router.name: 0 for router in site.routers}

    async def run(self):
        """Ask until cancelled."""
        while True:
            await asyncio.gather(*(self._ask(router) for router in self._site.routers))
            await asyncio.sleep(1)

    async def _ask(self, router):
        ready = await self._site.is_ready(router)
        self._misses[router.name] = 0 if ready else self._misses[router.name] + 1

    def select(self, avoided=None):
        """Return a router that is in, another one than before if possible."""
        routers = [r for r in self._site.routers if self._misses[r.name] < 2]
        if 2 * len(routers) < len(self._site.routers):
            routers = list(self._site.routers)
        others = [router for router in routers if router is not avoided]
        return random.choice(others or routers)


async def play(record, trouble):
    site = Site(record)
    workers = []
    started_at = {}
    taken_up = {}
    begun = []

    async def answer(worker, request, writer):
        await write_stream(worker, request, writer, EVENTS, EVENT_SECONDS)

    def is_in_touch(router):
        now = time.monotonic()
        return router.is_running and now - started_at[router.name] > CONTACT_MS / 1000

    async def request(balancer):
        sent_at = time.monotonic()
        prompt = draw_prompt()
        headers = [*prompt, build_deadline(DEADLINE_SECONDS)]
        content = random.randbytes(300).hex().encode()
        router = balancer.select()
        in_touch = is_in_touch(router)
        attempt, message = build_request(HOST, PATH, KEY, headers, content)
        record.write(f'{attempt} sent to {router.name}')
        outcome = await send(
            (router.ip, site.port + FRONT), attempt, message, DEADLINE_SECONDS
        )
        record.write(f'request at {router.name}: {outcome}')
        if in_touch:
            begun.append((sent_at, bool(outcome.events)))
        first, events = attempt, outcome.events
        for _ in range(RETRIES):
            left = sent_at + DEADLINE_SECONDS - time.monotonic()
            if outcome.complete and outcome.status == 200 or not events or left <= 0:
                return
            # Clients honour Retry-After up to a third of the time that is left.
            pause = min(left / 3, float(outcome.headers.get('retry-after', 0)))
            await asyncio.sleep(pause if outcome.status != 200 else 0)
            router = balancer.select(avoided=router)
            in_touch = is_in_touch(router)
            headers = [
                *prompt,
                build_deadline(left),
                ('Last-Event-Id', events[-1]),
                ('Resumes', first),
            ]
            attempt, message = build_request(HOST, PATH, KEY, headers, content)
            resumed_at = time.monotonic()
            record.write(f'{attempt} sent to {router.name}, resumes {first}')
            outcome = await send(
                (router.ip, site.port + FRONT), attempt, message, left
            )
            record.write(
                f'{first} resumed after event {events[-1]} at {router.name} '
                f'({"" if in_touch else "not "}in touch): {outcome}'
            )
            if in_touch and outcome.status:
                known = taken_up.setdefault(first, [resumed_at, False])
                known[1] = known[1] or bool(outcome.events)
            events = events + outcome.events

    async def send_requests(balancer):
        while True:
            asyncio.ensure_future(request(balancer))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)

    async def restart(router, number):
        record.write(f'{router.name} gets {number.name}')
        started_at[router.name] = math.inf
        router.send_signal(number)
        end_at = time.monotonic() + BOUNDS['graceS']
        while router.is_running and time.monotonic() < end_at:
            await asyncio.sleep(0.05)
        router.end()
        await asyncio.sleep(RESTART_SECONDS)
        router.start()
        started_at[router.name] = time.monotonic()
        record.write(f'{router.name} starts again')
        while not await site.is_ready(router):
            await asyncio.sleep(0.1)

    try:
        await site.start_store()
        site.configure(build_config())
        site.add_routers(ROUTERS)
        for index in range(WORKERS):
            site.add_relay(index)
            workers.append(Worker(site, index, 'ibis-writers', 48, answer))
            await workers[-1].start()
        for process in (*site.routers, *site.relays):
            process.start()
            started_at[process.name] = time.monotonic()
        if not await site.wait_until_ready():
            return None
        balancer = Balancer(site)
        asking = asyncio.ensure_future(balancer.run())
        sender = asyncio.ensure_future(send_requests(balancer))
        await asyncio.sleep(BEFORE_SECONDS)
        *others, last = site.routers
        for router in others:
            begun_at = time.monotonic()
            if trouble and ROLLS:
                await restart(router, signal.SIGTERM)
            await asyncio.sleep(begun_at + ROLL_GAP_SECONDS - time.monotonic())
        stopped_at = time.monotonic()
        if trouble:
            await restart(last, signal.SIGTERM)
        await asyncio.sleep(stopped_at + JUDGED_SECONDS + 2 - time.monotonic())
        sender.cancel()
        asking.cancel()
        window = (stopped_at, stopped_at + JUDGED_SECONDS)
        resumed = [on for at, on in taken_up.values() if window[0] <= at <= window[1]]
        fresh = [on for at, on in begun if window[0] <= at <= window[1]]
        if not any(fresh):
            return None
        share = sum(resumed) / max(1, len(resumed))
        fresh_share = sum(fresh) / len(fresh)
        record.say(
            f'{len(resumed)} streams were taken up again at machines in touch, '
            f'{sum(resumed)} went on; of {len(fresh)} new streams {sum(fresh)} began'
        )
        return len(resumed) >= MIN_STREAMS and share < fresh_share / 2
    finally:
        site.end()
        for worker in workers:
            worker.close()


if __name__ == '__main__':
    run_case(FOLDER, play)
