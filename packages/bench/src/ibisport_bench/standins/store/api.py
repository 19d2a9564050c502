"""HTTP routes of the store: etcd's JSON gateway and the test controls."""

from collections.abc import Callable
from dataclasses import dataclass

from ibisport_bench.standins.errors import CallRejected
from ibisport_bench.standins.store.controls import Controls
from ibisport_bench.standins.store.database import Database
from ibisport_bench.standins.store.encoding import (
    Fields,
    encode_header,
)
from ibisport_bench.standins.store.faults import FaultControl
from ibisport_bench.standins.store.lease_calls import LeaseCalls
from ibisport_bench.standins.store.leases import Leases
from ibisport_bench.standins.store.limits import Counts, RateLimiter
from ibisport_bench.standins.store.messages import (
    CompactionRequest,
    DeleteRangeRequest,
    PutRequest,
    RangeRequest,
    TxnRequest,
    WatchRequest,
    decode_message,
)
from ibisport_bench.standins.store.operations import Operations
from ibisport_bench.standins.store.watch_streams import WatchStreams
from ibisport_bench.standins.web import (
    Answer,
    Call,
    Stream,
    answer_json,
)

LABEL_HEADER = 'X-Client-Label'
READS = 'reads'
WRITES = 'writes'


@dataclass(frozen=True, slots=True)
class Route:
    """The handler of a path.

    Attributes:
        kind: ``reads`` or ``writes``; selects the rate limit and the counter.
        serve: Executes the call and returns its answer.
    """

    kind: str
    serve: Callable[[Call], Answer | Stream]


class StoreApi:
    """The store as an HTTP application."""

    def __init__(
        self, writes_per_second: float, reads_per_second: float, progress_seconds: float
    ) -> None:
        """Create an empty store; the rates are in calls per second."""
        self.database = Database()
        self.leases = Leases(self.database)
        self._operations = Operations(self.database, self.leases)
        self._fault_control = FaultControl()
        self._counts = Counts()
        self._watch_streams = WatchStreams(
            self.database, self._fault_control, self._counts, progress_seconds
        )
        self._rate_limiters = {
            WRITES: RateLimiter(writes_per_second),
            READS: RateLimiter(reads_per_second),
        }
        self._controls = Controls(
            self.database, self.leases, self._fault_control, self._counts
        )
        self._lease_calls = LeaseCalls(self.database, self.leases)
        self._routes = self._list_routes()

    def __call__(self, call: Call) -> Answer | Stream:
        """Serve one call; faults and rate limits don't apply to the test controls."""
        if call.path in self._controls.routes:
            return self._controls.routes[call.path](call)
        label = call.get_header(LABEL_HEADER)
        self._fault_control.apply_before_call(label)
        route = self._routes.get(call.path)
        if route is None:
            raise CallRejected('Not Found', 404, 5)
        kind = _classify_call(call, route)
        self._counts.count_call(label, kind)
        self._rate_limiters[kind].wait()
        return route.serve(call)

    def _list_routes(self) -> dict[str, Route]:
        return {
            '/v3/kv/range': Route(READS, self._read),
            '/v3/kv/put': Route(WRITES, self._put),
            '/v3/kv/deleterange': Route(WRITES, self._delete),
            '/v3/kv/txn': Route(WRITES, self._transact),
            '/v3/kv/compaction': Route(WRITES, self._compact),
            '/v3/lease/grant': Route(WRITES, self._lease_calls.grant),
            '/v3/lease/revoke': Route(WRITES, self._lease_calls.revoke),
            '/v3/kv/lease/revoke': Route(WRITES, self._lease_calls.revoke),
            '/v3/lease/keepalive': Route(READS, self._lease_calls.keep_alive),
            '/v3/lease/timetolive': Route(READS, self._lease_calls.show),
            '/v3/kv/lease/timetolive': Route(READS, self._lease_calls.show),
            '/v3/watch': Route(READS, self._watch),
        }

    def _read(self, call: Call) -> Answer:
        return answer_json(self._operations.read(decode_message(RangeRequest, call)))

    def _put(self, call: Call) -> Answer:
        return self._answer_write(
            self._operations.put(decode_message(PutRequest, call))
        )

    def _delete(self, call: Call) -> Answer:
        answer = self._operations.delete(decode_message(DeleteRangeRequest, call))
        if 'deleted' in answer:
            return self._answer_write(answer)
        return answer_json(answer)

    def _transact(self, call: Call) -> Answer:
        answer = self._operations.transact(decode_message(TxnRequest, call))
        has_written = any(
            'response_range' not in response for response in answer.get('responses', ())
        )
        return self._answer_write(answer) if has_written else answer_json(answer)

    def _compact(self, call: Call) -> Answer:
        with self.database.lock:
            self.database.compact(decode_message(CompactionRequest, call).revision)
        return answer_json(self._add_header({}))

    def _watch(self, call: Call) -> Stream:
        request = decode_message(WatchRequest, call).create_request
        label = call.get_header(LABEL_HEADER)
        return Stream(self._watch_streams.stream(call, request, label))

    def _answer_write(self, answer: Fields) -> Answer:
        self._fault_control.apply_after_write()
        return answer_json(answer)

    def _add_header(self, fields: Fields) -> Fields:
        return {'header': encode_header(self.database.revision), **fields}


def _classify_call(call: Call, route: Route) -> str:
    if call.path == '/v3/kv/txn' and not decode_message(TxnRequest, call).writes():
        return READS
    return route.kind
