"""HTTP routes of the engine: completions, orders, load, cache and faults."""

from http import HTTPStatus
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from ibisport_bench.standins.engine.answers import (
    ChatForm,
    Form,
    TextForm,
    make_answer,
    stream_answer,
)
from ibisport_bench.standins.engine.batch import MS_PER_SECOND, Batch
from ibisport_bench.standins.engine.load import LoadReport
from ibisport_bench.standins.engine.messages import (
    CacheImport,
    CancelRequest,
    ChatRequest,
    CompletionRequest,
    EngineFaults,
    Order,
)
from ibisport_bench.standins.engine.orders import OrderBook
from ibisport_bench.standins.engine.run import Run
from ibisport_bench.standins.engine.settings import EngineSettings
from ibisport_bench.standins.errors import CallRejected
from ibisport_bench.standins.web import (
    EVENT_STREAM_TYPE,
    Answer,
    Call,
    Stream,
    answer_json,
)

INVALID_ARGUMENT = 3
NOT_FOUND = 5
INTERNAL = 13
B = TypeVar('B', bound=BaseModel)


class EngineApi:
    """The engine as an HTTP application."""

    def __init__(self, settings: EngineSettings) -> None:
        """Create an idle engine and start sampling its load."""
        self._settings = settings
        self._batch = Batch(settings)
        self._orders = OrderBook(settings.models, settings.check_fencing)
        self._load = LoadReport(self._batch, settings.load_lag_ms / MS_PER_SECOND)
        self._load.start()
        self._routes = {
            '/v1/completions': self._complete,
            '/v1/chat/completions': self._chat,
            '/cancel': self._cancel,
            '/load': self._show_load,
            '/runs': self._show_runs,
            '/cache/events': self._show_events,
            '/cache/export': self._export_cache,
            '/cache/import': self._import_cache,
            '/orders': self._serve_orders,
            '/models': self._show_models,
            '/v1/models': self._show_models,
            '/faults': self._serve_faults,
        }

    def __call__(self, call: Call) -> Answer | Stream:
        """Serve one call."""
        route = self._routes.get(call.path)
        if route is None:
            raise CallRejected('no such path', HTTPStatus.NOT_FOUND, NOT_FOUND)
        return route(call)

    def _complete(self, call: Call) -> Answer | Stream:
        return self._run(call, _validate(CompletionRequest, call), TextForm())

    def _chat(self, call: Call) -> Answer | Stream:
        return self._run(call, _validate(ChatRequest, call), ChatForm())

    def _run(
        self, call: Call, request: CompletionRequest | ChatRequest, form: Form
    ) -> Answer | Stream:
        if not self._orders.serves(request.model):
            raise CallRejected('no such model', HTTPStatus.NOT_FOUND, NOT_FOUND)
        if self._batch.draw_failure():
            raise CallRejected('failed', HTTPStatus.INTERNAL_SERVER_ERROR, INTERNAL)
        run = Run(
            request_id=call.get_header('X-Request-Id'),
            model=request.model,
            prompt=request.to_prompt(),
            priority=int(call.get_header('X-Priority', '0')),
        )
        indexes = self._batch.generate(call, run)
        if request.stream:
            return Stream(stream_answer(form, run, indexes), EVENT_STREAM_TYPE)
        return answer_json(make_answer(form, run, indexes))

    def _cancel(self, call: Call) -> Answer:
        cancelled = self._batch.cancel(_validate(CancelRequest, call).request_id)
        return answer_json({'cancelled': cancelled})

    def _show_load(self, call: Call) -> Answer:
        return answer_json({**self._load.describe(), 'slots': self._settings.slots})

    def _show_runs(self, call: Call) -> Answer:
        return answer_json([run.describe() for run in tuple(self._batch.runs)])

    def _show_events(self, call: Call) -> Answer:
        events = self._batch.cache.list_events(int(call.query.get('after', 0)))
        return answer_json(
            [
                {'number': event.number, 'kind': event.kind, 'block': event.block}
                for event in events
            ]
        )

    def _export_cache(self, call: Call) -> Answer:
        return answer_json({'blocks': self._batch.cache.export_blocks()})

    def _import_cache(self, call: Call) -> Answer:
        self._batch.cache.import_blocks(_validate(CacheImport, call).blocks)
        return answer_json({'tokens': self._batch.cache.count_tokens()})

    def _serve_orders(self, call: Call) -> Answer:
        if call.method == 'POST':
            self._orders.execute(_validate(Order, call))
        return answer_json(self._orders.list_orders())

    def _show_models(self, call: Call) -> Answer:
        models = self._orders.list_models()
        return answer_json({'data': [{'id': name} for name in models]})

    def _serve_faults(self, call: Call) -> Answer:
        if call.method == 'POST':
            changed = _validate(EngineFaults, call)
            fields = changed.model_dump(exclude_unset=True)
            self._batch.faults = self._batch.faults.model_copy(update=fields)
        return answer_json(self._batch.faults.model_dump())


def _validate(kind: type[B], call: Call) -> B:
    try:
        return kind.model_validate_json(call.body)
    except ValidationError as error:
        raise CallRejected(
            str(error), HTTPStatus.BAD_REQUEST, INVALID_ARGUMENT
        ) from error
