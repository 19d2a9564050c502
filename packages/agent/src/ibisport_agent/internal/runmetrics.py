"""Counts and times what happens to runs, by workspace and class."""

from ibisport_core.errors import Refusal, Statement
from ibisport_core.events import Event, log_event
from ibisport_core.internal.clock import make_seconds
from ibisport_core.messages import Finished, Submit
from ibisport_core.metrics import Metrics


class RunMetrics:
    """Observes the runs of one agent."""

    def __init__(self, metrics: Metrics, target: str) -> None:
        """Keep where to count.

        Args:
            metrics: The agent's metrics.
            target: Name of its target.
        """
        self._metrics = metrics
        self._target = target

    def record_finished(self, submit: Submit, finished: Finished) -> None:
        """Count a run that ended with an answer, whole or not."""
        labels = {'workspace': submit.workspace, 'class': submit.class_name}
        waited = make_seconds(finished.queue_micros)
        self._metrics.observe('ibisport_queue_seconds', labels, waited)
        tokens = finished.prompt_tokens + finished.completion_tokens
        self._metrics.count('ibisport_tokens_total', labels, tokens)
        if not finished.complete:
            self._metrics.count('ibisport_broken_answers_total', labels)

    def record_refused(self, submit: Submit, refusal: Refusal) -> None:
        """Count a run that was given up before the target answered."""
        labels = {'workspace': submit.workspace, 'code': refusal.code}
        self._metrics.count('ibisport_refusals_total', labels)
        if refusal.statement != Statement.did_not_run:
            log_event(Event.target_failed, target=self._target, detail=refusal.detail)
