"""Orders to the engine, with or without a check of the fencing number."""

import threading
from http import HTTPStatus

from ibisport_bench.standins.engine.messages import Order, OrderKind
from ibisport_bench.standins.errors import CallRejected

ABORTED = 10


class OrderBook:
    """Orders carried out, in order."""

    def __init__(self, models: tuple[str, ...], check_fencing: bool) -> None:
        """Start with the models loaded; without any, each name is served."""
        self._models = list(models)
        self._serves_any = not models
        self._check_fencing = check_fencing
        self._lock = threading.Lock()
        self._max_fence = 0
        self._executed: list[Order] = []

    def execute(self, order: Order) -> None:
        """Carry an order out.

        Raises:
            CallRejected: Its fencing number is old, and numbers are checked.
        """
        with self._lock:
            if self._check_fencing and order.fencing_number < self._max_fence:
                raise CallRejected(
                    f'fencing number {order.fencing_number} < {self._max_fence}',
                    HTTPStatus.CONFLICT,
                    ABORTED,
                )
            self._max_fence = max(self._max_fence, order.fencing_number)
            self._executed.append(order)
            if order.kind is not OrderKind.set_role:
                self._models.append(order.argument)

    def serves(self, model: str) -> bool:
        """Tell whether a model is loaded."""
        return self._serves_any or model in self._models

    def list_models(self) -> list[str]:
        """Return the names of the models and adapters loaded."""
        return sorted(set(self._models))

    def list_orders(self) -> list[dict[str, object]]:
        """Return the orders carried out, oldest first."""
        return [order.model_dump() for order in self._executed]
