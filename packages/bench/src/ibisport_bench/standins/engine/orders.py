"""Execution of orders to the engine, with an optional check of fencing numbers."""

import threading
from http import HTTPStatus

from ibisport_bench.standins.engine.messages import Order, OrderKind
from ibisport_bench.standins.errors import CallRejected

ABORTED = 10


class OrderBook:
    """The executed orders and the models and adapters that they loaded."""

    def __init__(self, models: tuple[str, ...], check_fencing: bool) -> None:
        """Start with the given models loaded; if there are none, serve any name."""
        self._models = list(models)
        self._serves_any = not models
        self._check_fencing = check_fencing
        self._lock = threading.Lock()
        self._max_fence = 0
        self._executed: list[Order] = []

    def execute(self, order: Order) -> None:
        """Execute an order.

        Raises:
            CallRejected: The check is on, and a higher fencing number was seen.
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
        """Return whether the engine serves a model."""
        return self._serves_any or model in self._models

    def list_models(self) -> list[str]:
        """Return the names of the loaded models and adapters."""
        return sorted(set(self._models))

    def list_orders(self) -> list[dict[str, object]]:
        """Return the executed orders, oldest first."""
        return [order.model_dump() for order in self._executed]
