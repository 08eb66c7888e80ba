"""The scheduler: routes each event to the modules that decide and returns the actions that they request.

The scheduler has no clock and does no I/O; all state is in the modules that it creates. docs/design.md
describes the algorithm (PAQRS) and each deviation from it. The docstring of the package `ashcross.decisions`
lists the numbered rules and the modules that enforce them.
"""

from __future__ import annotations

import random

from ashcross.decisions.actions import Action
from ashcross.decisions.admission import NO_TIME_LEFT, Admission
from ashcross.decisions.attempts import Attempts
from ashcross.decisions.capacity import Capacity
from ashcross.decisions.context import Context
from ashcross.decisions.dispatch_queue import DispatchQueue
from ashcross.decisions.endpoint_watch import EndpointWatchRenewal
from ashcross.decisions.engine_load import OVERLOADED_REPORT, EngineLoads
from ashcross.decisions.engine_review import EngineReview
from ashcross.decisions.engine_selection import EngineSelection
from ashcross.decisions.engine_table import EngineTable
from ashcross.decisions.estimates import Estimates
from ashcross.decisions.events import (
    AttemptCompleted,
    AttemptOutcome,
    AttemptProgress,
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    HealthCheckCompleted,
    ProgressKind,
    RequestReceived,
    ShutdownStarted,
    TimerFired,
)
from ashcross.decisions.final_answers import FinalAnswers
from ashcross.decisions.health_checks import HealthChecks
from ashcross.decisions.mpl_controller import MplController
from ashcross.decisions.ordering import Ordering
from ashcross.decisions.outlier_detection import OutlierDetection
from ashcross.decisions.periodic_timer import PeriodicTimer
from ashcross.decisions.requests import Attempt, Request, RequestTable
from ashcross.decisions.retries import INITIAL_LOG_DEVIATION, Retries
from ashcross.decisions.send_checks import SendChecks
from ashcross.decisions.settings import SchedulerSettings
from ashcross.decisions.slow_start import SlowStart
from ashcross.decisions.table_affinity import TableAffinity
from ashcross.decisions.timing import Timing

# lowest share of work done, 0 to 1, from which a run time is projected; less would give far too long a time
MINIMUM_PROGRESS = 0.01


class Scheduler:
    """Scheduler of one dispatcher: `handle(now, event)` returns the actions that the host has to execute.

    All modules draw from one random source that starts from `seed`, so the same settings, seed and events
    always give the same actions.
    """

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        context = Context(settings, Timing.from_settings(settings), random.Random(seed), actions=[])
        self._actions = context.actions
        self.table = RequestTable()
        self.engines = EngineTable(context)
        self.estimates = Estimates(settings, INITIAL_LOG_DEVIATION)
        self.mpl = MplController(settings)
        self.loads = EngineLoads(settings, self.estimates)
        self.ordering = Ordering(settings)
        self.retries = Retries(context)
        self.slow_start = SlowStart(settings)
        self.outliers = OutlierDetection(context, self.table)
        self.capacity = Capacity(context, self.engines, self.mpl, self.loads, self.outliers)
        self.affinity = TableAffinity()
        self.health_checks = HealthChecks(context)
        self.watch = EndpointWatchRenewal(context)
        self.timer = PeriodicTimer(context)
        self.admission = Admission(context, self.capacity.instance_share, self.estimates, self.mpl)
        self.answers = FinalAnswers(context, self.table, self.mpl, self.capacity)
        self.review = EngineReview(context, self.engines, self.outliers, self.loads, self.capacity)
        self.checks = SendChecks(settings, self.ordering, self.retries, self.slow_start)
        self.selection = EngineSelection(context, self.engines, self.checks, self.capacity, self.affinity)
        observers = (
            self.retries.budget,
            self.engines,
            self.capacity,
            self.mpl,
            self.slow_start,
            self.outliers,
        )
        self.attempts = Attempts(context, self.table, self.checks, observers)
        self.queue = DispatchQueue(context, self.ordering, self.selection, self.attempts, self.answers)

    def handle(self, now: int, event: Event) -> list[Action]:
        """Process one event and return the resulting actions, in the order in which to execute them.

        `now` is in microseconds of a monotonic clock.
        """
        self._actions.clear()
        self.slow_start.note_event(now)
        self._route(now, event)
        self.mpl.start_first_window(now)
        if self.table.requests or self.watch.required:
            self.timer.start(now)
        return self._actions.copy()

    def _route(self, now: int, event: Event) -> None:
        match event:
            case RequestReceived():
                self._request_received(now, event)
            case AttemptCompleted():
                self._attempt_completed(now, event)
            case TimerFired():
                self.timer.fired()
                self._update_periodically(now)
            case EndpointListUpdate():
                self._endpoint_list_updated(now, event)
            case AttemptProgress():
                self._attempt_progressed(now, event)
            case HealthCheckCompleted():
                self._health_check_completed(event)
            case ClientDisconnected():
                request = self.table.requests.get(event.request_id)
                if request is not None and not request.completed:
                    self.answers.complete(request, now, met_objective=False)
            case ShutdownStarted():
                self.answers.end_all(now)

    def _request_received(self, now: int, event: RequestReceived) -> None:
        self.retries.budget.request_received(now)
        self.affinity.request_received(event.table_group)
        self.health_checks.request_received(len(self.engines.ready))
        request = self.admission.admit(event, now)
        self.table.requests[event.request_id] = request
        self.ordering.request_received(request)
        slack_us = max(0.0, request.due_us - now - request.expected_run_us())
        self.queue.add(request, slack_us, now)
        if not self.admission.has_time_left(request):
            self.answers.reject_or_fail(request, now, NO_TIME_LEFT)
        self.queue.dispatch(now)

    def _attempt_completed(self, now: int, event: AttemptCompleted) -> None:
        completed = self.attempts.complete(event)
        if completed is None:
            return  # the attempt is unknown or already completed: the event is late or a duplicate
        request, attempt = completed
        self.mpl.attempt_completed(request)
        self.capacity.attempt_completed(request, attempt, event, now)
        self._record_outcome(request, attempt, event)
        self.ordering.attempt_completed(request, event.outcome, now)
        if event.request_is_over and not request.completed:
            succeeded = event.outcome is AttemptOutcome.SUCCEEDED
            self.answers.complete(request, now, met_objective=succeeded and now <= request.due_us)
        elif not request.completed and not request.attempts_in_flight():
            request.failed_on = attempt.engine
            self._retry_or_give_up(request, now)
        self.queue.dispatch(now)

    def _record_outcome(self, request: Request, attempt: Attempt, event: AttemptCompleted) -> None:
        if event.outcome is AttemptOutcome.OVERLOADED:
            self.loads.record_report(attempt.engine, OVERLOADED_REPORT)
        elif event.load_report:
            self.loads.record_report(attempt.engine, event.load_report)
        self.outliers.attempt_completed(attempt, event)
        if event.outcome is AttemptOutcome.SUCCEEDED:
            estimates = request.estimates
            self.estimates.record_answer(estimates, event.latency_us, request.expected_run_us())
            self.estimates.record_memory(estimates, event.memory_used_mb, request.event.memory_mb)

    def _retry_or_give_up(self, request: Request, now: int) -> None:
        reason = self.retries.give_up_reason(request, now)
        if reason is not None:
            self.answers.reject_or_fail(request, now, reason)
            return
        slack_us = request.due_us - now - request.expected_run_us()
        self.queue.add(request, max(slack_us, request.class_settings.latency_objective_us / 2), now)

    def _endpoint_list_updated(self, now: int, event: EndpointListUpdate) -> None:
        self.watch.update_received(event)
        self.engines.apply(event)
        # in a large fleet a review after each change would cost too much; the periodic reviews suffice there
        if not self.engines.is_large() or event.kind is not EndpointListKind.DELTA:
            self.review.run(now)
        self.queue.dispatch(now)

    def _attempt_progressed(self, now: int, event: AttemptProgress) -> None:
        attempt = self.table.attempts_in_flight.get((event.request_id, event.attempt_number))
        if attempt is None:
            return
        run_us = now - attempt.started_us
        if event.kind is ProgressKind.QUEUED:
            # time in the engine's queue is not run time; the longer expected run time keeps the attempt from
            # counting as overdue
            attempt.expected_us = max(attempt.expected_us, run_us / 2)
        elif event.kind is ProgressKind.PROGRESS:
            attempt.projected_us = run_us / max(event.value, MINIMUM_PROGRESS)

    def _health_check_completed(self, event: HealthCheckCompleted) -> None:
        engine = self.engines.by_name.get(event.engine_name)
        if engine is not None:
            self.loads.record_report(engine, event.load_report)
            self.outliers.health_check_completed(engine, event)

    def _update_periodically(self, now: int) -> None:
        self.watch.renew_if_due(now)
        self.answers.end_near_deadline(now)
        self.retries.cancel_overdue_attempts(self.table, self.engines, now)
        self.queue.end_expired(now)
        if self.review.is_due(now):
            self.review.run(now)
            self.queue.dispatch(now)
        self.table.remove_finished()
        self.ordering.remove_finished(now)
        self.slow_start.remove_idle(now)
        self.health_checks.start_due(self.engines.ready, now)
        self.answers.end_window_if_due(now)
