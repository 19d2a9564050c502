"""Stand-in for the platform's metadata store: items, watches, leases, transactions.

It follows the page PROTOCOL.md. All calls are answered after 4 ms. Leases are paused
while the store is down.
"""

import asyncio
import base64
import json
from urllib.parse import parse_qs, unquote

from http_io import encode_answer, read_message

ANSWER_SECONDS = 0.004


class Store:
    """A linearizable store with a single revision counter.

    Attributes:
        down: Every call is answered 503, and nothing is done.
        writes: Number of transactions that were applied.
    """

    def __init__(self):
        self.down = False
        self.writes = 0
        self._revision = 1
        self._items = {}
        self._history = []
        self._leases = {}
        self._changed = asyncio.Event()
        self._server = None
        self._ticker = None

    async def start(self, ip, port):
        """Serve the store's protocol on an address."""
        self._server = await asyncio.start_server(self._serve, ip, port, backlog=512)
        self._ticker = asyncio.ensure_future(self._expire_leases())

    def close(self):
        """Stop serving."""
        self._ticker.cancel()
        self._server.close()

    def put(self, key, value, lease=0):
        """Write a key as the operator or a worker does; return the revision."""
        self._revision += 1
        content = json.dumps(value).encode() if not isinstance(value, bytes) else value
        self._set(key, base64.b64encode(content).decode(), lease)
        self._notify()
        return self._revision

    def remove(self, key):
        """Remove a key."""
        if key in self._items:
            self._revision += 1
            self._drop(key)
            self._notify()

    def read(self, key):
        """Return the decoded JSON value of a key, or None."""
        item = self._items.get(key)
        return None if item is None else json.loads(base64.b64decode(item['value']))

    def list_keys(self, prefix):
        """Return the keys with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def _set(self, key, value, lease):
        known = self._items.get(key)
        created = self._revision if known is None else known['createdRev']
        self._items[key] = {
            'key': key,
            'value': value,
            'revision': self._revision,
            'createdRev': created,
            'lease': lease,
        }
        self._history.append(dict(self._items[key]))

    def _drop(self, key):
        self._items.pop(key)
        self._history.append({'key': key, 'revision': self._revision, 'removed': True})

    def _notify(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _expire_leases(self):
        loop = asyncio.get_running_loop()
        last = loop.time()
        while True:
            await asyncio.sleep(0.02)
            now = loop.time()
            passed, last = now - last, now
            if self.down:
                for lease in self._leases.values():
                    lease[0] += passed
                continue
            for lease in [i for i, (until, _) in self._leases.items() if until <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        if self._leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self._items.items() if item['lease'] == lease]
        if keys:
            self._revision += 1
            for key in keys:
                self._drop(key)
            self._notify()
        return True

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                status, body = await self._answer(message)
                await asyncio.sleep(ANSWER_SECONDS)
                writer.write(
                    encode_answer(
                        status,
                        [('Content-Type', 'application/json')],
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        except asyncio.CancelledError:
            # The run is over; asyncio's streams would log the cancelled task.
            pass
        finally:
            writer.close()

    async def _answer(self, message):
        if self.down:
            return 503, {}
        path, _, query = message.target.partition('?')
        fields = {
            name: values[0]
            for name, values in parse_qs(query, keep_blank_values=True).items()
        }
        call = path.split('/')[1:]
        if call[0] == 'kv-key':
            item = self._items.get(fields['key'])
            if item is None:
                return 404, {}
            return 200, {**item, 'storeRevision': self._revision}
        if call[0] == 'kv-range':
            keys = self.list_keys(fields['prefix'])
            after = fields.get('after')
            keys = [key for key in keys if after is None or key > after]
            page = [self._items[key] for key in keys[:500]]
            return 200, {
                'items': page,
                'hasMore': len(keys) > 500,
                'storeRevision': self._revision,
            }
        if call[0] == 'kv-watch':
            return await self._watch(fields)
        if call[0] == 'kv-txn':
            return self._commit(json.loads(message.body))
        loop = asyncio.get_running_loop()
        if call[0] == 'kv-lease':
            ttl = max(1000, json.loads(message.body)['ttlMs'])
            lease = self._revision * 100_000 + len(self._leases) + 1
            while lease in self._leases:
                lease += 1
            self._leases[lease] = [loop.time() + ttl / 1000, ttl / 1000]
            return 200, {'lease': lease, 'ttlMs': ttl}
        lease = int(unquote(call[1]))
        if call[0] == 'kv-keep':
            if lease not in self._leases:
                return 404, {}
            self._leases[lease][0] = loop.time() + self._leases[lease][1]
            return 200, {}
        if call[0] == 'kv-lease-end':
            return (200 if self._end_lease(lease) else 404), {}
        return 404, {}

    async def _watch(self, fields):
        loop = asyncio.get_running_loop()
        after, prefix = int(fields['after']), fields['prefix']
        deadline = loop.time() + min(30_000, int(fields['waitMs'])) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._history
                if event['revision'] > after and event['key'].startswith(prefix)
            ]
            if self.down:
                return 503, {}
            if events or loop.time() >= deadline:
                return 200, {'events': events, 'storeRevision': self._revision}
            try:
                await asyncio.wait_for(changed.wait(), deadline - loop.time())
            except asyncio.TimeoutError:
                pass

    def _commit(self, call):
        rows = call.get('expectRev', [])
        current = [
            self._items.get(row['key'], {'key': row['key'], 'revision': 0})
            for row in rows
        ]
        if any(
            item['revision'] != row['revision']
            for item, row in zip(current, rows, strict=True)
        ):
            return 412, {'items': current}
        puts, deletes = call.get('puts', []), call.get('deletes', [])
        names = [put['key'] for put in puts] + list(deletes)
        if any(name.startswith(('op/', 'servers/')) for name in names):
            return 403, {}
        if any(
            put.get('lease', 0) and put['lease'] not in self._leases for put in puts
        ):
            return 404, {}
        self._revision += 1
        self.writes += 1
        for put in puts:
            self._set(put['key'], put['value'], put.get('lease', 0))
        for key in deletes:
            if key in self._items:
                self._drop(key)
        self._notify()
        return 200, {'revision': self._revision}
