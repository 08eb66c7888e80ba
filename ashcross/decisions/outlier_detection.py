"""Outlier detection: ejects engines whose attempts take far longer than those of the median engine.

A single measure, latency divided by expected latency, covers engines that are slow, hung, failing,
unreachable or crowded by other load. An ejected engine gets probation requests only, and is reinstated by
their outcome, never by the passing of time.
"""

from __future__ import annotations

from statistics import median

from ashcross.decisions.actions import LogMessage
from ashcross.decisions.context import Context
from ashcross.decisions.engines import PRIOR_SAMPLES, Engine
from ashcross.decisions.events import AttemptCompleted, AttemptOutcome, HealthCheckCompleted
from ashcross.decisions.requests import Attempt, Request, RequestTable

# slowness of an engine divided by that of the median engine
EJECTION_SLOWNESS = 1.8
REINSTATEMENT_SLOWNESS = 1.3
MINIMUM_RELATIVE_SLOWNESS = 0.5

# Upper bound of one sample, and the sample of a failed attempt. A query with a bad plan is slow on any
# engine, so a single attempt must not eject one.
MAXIMUM_SAMPLE = 4.0

# Time between probation requests of an ejected engine, in periods of the periodic update: the first interval
# and the bound of its doubling.
FIRST_PROBATION_PERIODS = 10
LONGEST_PROBATION_PERIODS = 100

FAILURES = (
    AttemptOutcome.ERROR,
    AttemptOutcome.RESET,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.OVERLOADED,
)


class OutlierDetection:
    """Records outcome samples of the engines, and ejects and reinstates engines."""

    def __init__(self, context: Context, table: RequestTable) -> None:
        self._first_interval_us = FIRST_PROBATION_PERIODS * context.timing.period_us
        self._longest_interval_us = LONGEST_PROBATION_PERIODS * context.timing.period_us
        self._narrowest_slots = min(kind.slots for kind in context.settings.classes)
        self._table = table
        self._actions = context.actions

    def attempt_completed(self, attempt: Attempt, event: AttemptCompleted) -> None:
        """Record the outcome of an attempt, unless it was not sent or only its connection is at fault."""
        if event.outcome is AttemptOutcome.NOT_SENT or not event.blames_engine:
            return
        sample = MAXIMUM_SAMPLE
        if event.outcome not in FAILURES:
            sample = event.latency_us / attempt.expected_us
        self._record_sample(attempt.engine, sample)

    def health_check_completed(self, engine: Engine, event: HealthCheckCompleted) -> None:
        """Record a health check if it failed."""
        if event.outcome is not AttemptOutcome.SUCCEEDED:
            self._record_sample(engine, MAXIMUM_SAMPLE)

    @staticmethod
    def _record_sample(engine: Engine, sample: float) -> None:
        """Add one sample; for an ejected engine it replaces all earlier samples."""
        status = engine.outlier
        sample = min(sample, MAXIMUM_SAMPLE)
        if status.ejected:
            status.sample_count = PRIOR_SAMPLES
            status.sample_sum = PRIOR_SAMPLES * sample
        else:
            status.sample_count += 1
            status.sample_sum += sample

    def may_start_probation_request(self, engine: Engine, slots: int, now: int) -> bool:
        """Return whether an ejected engine may get a probation request of `slots` slots now.

        It gets one request of the fewest slots at a time, and only when the probation interval is over.
        """
        due = now >= engine.outlier.next_probation_us
        return not engine.usage.slots and due and slots == self._narrowest_slots

    def attempt_started(self, request: Request, attempt: Attempt, now: int) -> None:  # noqa: ARG002 (observer)
        """Count an attempt on an ejected engine as its probation request.

        The probation interval doubles, up to its upper bound, and the next one starts now.
        """
        status = attempt.engine.outlier
        if status.ejected:
            status.probation_interval_us = min(2 * status.probation_interval_us, self._longest_interval_us)
            status.next_probation_us = now + status.probation_interval_us

    @staticmethod
    def decay_samples(ready: list[Engine], decay: float) -> None:
        """Clear overdue samples; decay the others towards the prior, except those of ejected engines."""
        for engine in ready:
            status = engine.outlier
            status.overdue_sum = 0.0
            status.overdue_count = 0
            if not status.ejected:
                status.sample_sum = PRIOR_SAMPLES + (status.sample_sum - PRIOR_SAMPLES) * decay
                status.sample_count = PRIOR_SAMPLES + (status.sample_count - PRIOR_SAMPLES) * decay

    def count_overdue(self, now: int) -> None:
        """Add samples of attempts in flight past their expected latency, to detect engines that hang."""
        for attempt in self._table.attempts_in_flight.values():
            ratio = (now - attempt.started_us) / attempt.expected_us
            if ratio > 1:
                attempt.engine.outlier.overdue_sum += min(ratio, MAXIMUM_SAMPLE)
                attempt.engine.outlier.overdue_count += 1

    @staticmethod
    def update_slowness(ready: list[Engine]) -> None:
        """Update the slowness of each engine, absolute and relative to the median engine.

        When most engines are slow, the load is the cause; the median rises and no engine is ejected.
        """
        for engine in ready:
            status = engine.outlier
            sample_sum = status.sample_sum + status.overdue_sum
            status.slowness = sample_sum / (status.sample_count + status.overdue_count)
        median_slowness = max(1.0, median(engine.outlier.slowness for engine in ready))
        for engine in ready:
            status = engine.outlier
            status.relative_slowness = max(MINIMUM_RELATIVE_SLOWNESS, status.slowness / median_slowness)

    def eject_and_reinstate(self, ready: list[Engine], now: int) -> None:
        """Eject engines that are far slower than the median; reinstate those that passed their probation.

        The operators' bench parses both log lines, so their texts must not change.
        """
        for engine in ready:
            status = engine.outlier
            name = engine.endpoint.name
            if not status.ejected and status.relative_slowness >= EJECTION_SLOWNESS:
                status.ejected = True
                status.probation_interval_us = self._first_interval_us
                status.next_probation_us = now + self._first_interval_us
                self._actions.append(LogMessage(f"suspect {name} slowness {status.relative_slowness:.1f}"))
            elif status.ejected and status.relative_slowness < REINSTATEMENT_SLOWNESS:
                status.ejected = False
                self._actions.append(LogMessage(f"trusted {name}"))
