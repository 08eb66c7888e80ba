"""Retries: decides whether a request gets another attempt and when it gets its final answer instead.

Enforces rule 2 (no effect happens twice) and rule 7 (retry budget). Also cancels overdue attempts.
"""

from __future__ import annotations

from math import exp, log

from ashcross.decisions.actions import CancelAttempt
from ashcross.decisions.context import Context
from ashcross.decisions.engine_table import EngineTable
from ashcross.decisions.requests import Attempt, Request, RequestTable
from ashcross.decisions.send_rules import may_retry
from ashcross.decisions.settings import RetrySafety, SchedulerSettings
from ashcross.decisions.sliding_window import SlidingWindow

# reasons of a rejection or failure, from `Retries.give_up_reason`
RETRY_NOT_SAFE = "retry not safe"
TOO_LATE_TO_RETRY = "too late to retry"
ATTEMPTS_EXHAUSTED = "attempts exhausted"

# share of a repeat window in which retries are started; engines measure the window by their own clocks, which
# may differ from this dispatcher's clock
REPEAT_WINDOW_SHARE = 0.9

# an attempt is overdue only above this ratio of its run time to the expected run time
OVERDUE_RATIO = 3.0
# without progress reports the ratio must also exceed exp(this x the class's mean deviation), the mean
# absolute logarithm of the ratios that were observed in the class; see `ClassEstimates.mean_deviation`
OVERDUE_DEVIATIONS = 3.0
# mean deviation assumed for a class without answers, for which both limits are then equal
INITIAL_LOG_DEVIATION = log(OVERDUE_RATIO) / OVERDUE_DEVIATIONS
# attempts of one request that may be cancelled as overdue; after these the query itself is taken to be
# expensive, and further attempts are left running
MAXIMUM_OVERDUE_CANCELS = 2


class RetryBudget:
    """Retry budget (rule 7): limits retries in a time window by the requests received in that window."""

    def __init__(self, settings: SchedulerSettings) -> None:
        self._window_us = settings.retry_budget_window_us
        self._base = settings.retry_budget_base
        self._ratio = settings.retry_budget_ratio
        self._requests = SlidingWindow(self._window_us)
        # the span is 1 us longer than the window, because retries at both ends of the window count
        self._retries = SlidingWindow(self._window_us + 1)

    def request_received(self, now: int) -> None:
        """Count a request received at `now`."""
        self._requests.add(now, 1.0)

    def attempt_started(self, request: Request, attempt: Attempt, now: int) -> None:  # noqa: ARG002 (observer)
        """Count an attempt as a retry, unless it is the first of its request."""
        if len(request.attempts) > 1:
            self._retries.add(now, 1.0)

    def allows_retry(self, now: int) -> bool:
        """Return whether the budget allows one more retry; True if the settings have no window."""
        if not self._window_us:
            return True
        allowed = self._base + self._ratio * self._requests.total(now)
        return self._retries.total(now) + 1 <= allowed

    def is_empty(self, now: int) -> bool:
        """Return whether the window holds neither requests nor retries."""
        return self._requests.total(now) + self._retries.total(now) == 0


class Retries:
    """Decisions on retrying requests, on giving them up, and on cancelling overdue attempts."""

    def __init__(self, context: Context) -> None:
        self._settings = context.settings
        self._timing = context.timing
        self._actions = context.actions
        self.budget = RetryBudget(context.settings)

    def may_start_attempt(self, request: Request, now: int) -> bool:
        """Return whether the request may have another attempt on some engine; True for its first attempt."""
        if not request.attempts:
            return True
        if len(request.attempts) >= self._settings.max_attempts:
            return False
        if request.attempts_in_flight() and not self._settings.hedging_allowed:
            return False
        if not may_retry(request.class_settings, request.first_executed_us(), now, REPEAT_WINDOW_SHARE):
            return False
        return self.budget.allows_retry(now)

    def give_up_reason(self, request: Request, now: int) -> str | None:
        """Return why a request whose attempts failed gets its final answer now; None if it is retried."""
        class_settings = request.class_settings
        executed = request.first_executed_us() is not None
        if class_settings.retry_safety is RetrySafety.NOT_IDEMPOTENT and executed:
            return RETRY_NOT_SAFE
        latest_us: float = request.due_us
        if class_settings.late_value_share:  # an answer after the objective still has some value
            latest_us = request.deadline_us - request.expected_run_us()
        if now >= latest_us:
            return TOO_LATE_TO_RETRY
        if len(request.attempts) >= self._settings.max_attempts:
            return ATTEMPTS_EXHAUSTED
        return None

    def cancel_overdue_attempts(self, table: RequestTable, engines: EngineTable, now: int) -> None:
        """Cancel attempts that run far longer than expected or whose engine process is no longer listed.

        Usual causes are a bad query plan and an engine that hangs or has failed.
        """
        for (request_id, attempt_number), attempt in table.attempts_in_flight.items():
            request = table.requests[request_id]
            if request.completed or attempt.cancelled or request.overdue_cancels >= MAXIMUM_OVERDUE_CANCELS:
                continue
            engine_lost = engines.by_name.get(attempt.engine.endpoint.name) is not attempt.engine
            if not engine_lost and not self._is_overdue(request, attempt, now):
                continue
            not_idempotent = request.class_settings.retry_safety is RetrySafety.NOT_IDEMPOTENT
            if self._settings.cancel_allowed and not not_idempotent:
                attempt.cancelled = True
                request.overdue_cancels += 1
                self._actions.append(CancelAttempt(request_id, attempt_number))

    def _is_overdue(self, request: Request, attempt: Attempt, now: int) -> bool:
        """Return whether an attempt exceeds its limit and, if not cancelled, would make its request late.

        With progress reports, the projected run time is compared with the limit and with the due time.
        Without them, the time since the start is compared with the limit, and the end of a retry with the due
        time.

        A retry may get another query plan, so cancelling an attempt with a bad plan can help. The limit grows
        with each overdue attempt of the request that was cancelled: the query itself may be expensive.
        """
        if attempt.projected_us:
            limit_ratio = OVERDUE_RATIO
            run_us = attempt.projected_us
            retry_us = 0.0
        else:
            limit_ratio = max(OVERDUE_RATIO, exp(OVERDUE_DEVIATIONS * request.estimates.mean_deviation))
            run_us = now - attempt.started_us
            retry_us = 2 * attempt.expected_us + request.class_settings.latency_objective_us / 2
        expected_us = max(attempt.expected_us, 2 * self._timing.period_us)
        limit_us = limit_ratio * expected_us * (1 + request.overdue_cancels)
        return run_us > limit_us and attempt.started_us + run_us + retry_us > request.due_us
