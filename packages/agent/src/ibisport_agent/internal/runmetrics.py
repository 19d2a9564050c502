"""Metrics of runs, by workspace and class."""

from ibisport_core.errors import Refusal, Statement
from ibisport_core.events import Event, log_event
from ibisport_core.internal.clock import make_seconds
from ibisport_core.messages import Finished, Submit
from ibisport_core.metrics import Metrics


class RunMetrics:
    """Records the metrics of one agent's runs."""

    def __init__(self, metrics: Metrics, target: str) -> None:
        """Attach to the agent's metrics.

        Args:
            metrics: The metrics to record to.
            target: Name of the target, for log events.
        """
        self._metrics = metrics
        self._target = target

    def record_finished(self, submit: Submit, finished: Finished) -> None:
        """Record a run that ended with an answer, complete or not."""
        labels = {'workspace': submit.workspace, 'class': submit.class_name}
        queue_seconds = make_seconds(finished.queue_micros)
        self._metrics.observe('ibisport_queue_seconds', labels, queue_seconds)
        tokens = finished.prompt_tokens + finished.completion_tokens
        self._metrics.count('ibisport_tokens_total', labels, tokens)
        if not finished.complete:
            self._metrics.count('ibisport_broken_answers_total', labels)

    def record_refused(self, submit: Submit, refusal: Refusal) -> None:
        """Record a run that ended before the target answered."""
        labels = {'workspace': submit.workspace, 'code': refusal.code}
        self._metrics.count('ibisport_refusals_total', labels)
        if refusal.statement != Statement.did_not_run:
            log_event(Event.target_failed, target=self._target, detail=refusal.detail)
