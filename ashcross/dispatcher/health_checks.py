"""Health checks of engines; each has exactly one outcome."""

from __future__ import annotations

from ashcross.decisions.events import AttemptOutcome, HealthCheckCompleted
from ashcross.dispatcher.interfaces import DispatcherContext
from ashcross.registry.request_registry import HealthCheckRecord


class HealthChecks:
    """Starts health checks and reports their outcomes to the scheduler."""

    def __init__(self, context: DispatcherContext) -> None:
        self._context = context
        self._started_count = 0

    def start(self, now: int, engine_name: str) -> None:
        """Ask an engine for its load report; `now` is the time of the batch (us)."""
        self._started_count += 1
        # the tag goes out on the wire; its dash tells it from every request id
        check = HealthCheckRecord(f"probe-{self._started_count}", engine_name, now)
        engine = self._context.endpoints.engines.get(engine_name)
        if engine is None or self._context.engines is None:
            self.complete(check, AttemptOutcome.CONNECT_FAILED, {})
            return
        timeout_us = self._context.limits.health_check_timeout_us
        self._context.requests.deadlines.add(now + timeout_us, self._expire, check)
        self._context.engines.start_health_check(check, engine)

    def complete(
        self, check: HealthCheckRecord, outcome: AttemptOutcome, load_report: dict[str, float]
    ) -> None:
        """Record the outcome of a health check; outcomes after the first are ignored."""
        if check.completed:
            return
        check.completed = True
        latency_us = max(0, self._context.clock() - check.started_us)
        self._context.enqueue_event(HealthCheckCompleted(check.engine_name, outcome, latency_us, load_report))

    def _expire(self, check: HealthCheckRecord) -> None:
        self.complete(check, AttemptOutcome.TIMEOUT, {})
