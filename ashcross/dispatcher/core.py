"""The dispatcher core: collects events into batches, passes them to the scheduler and executes its actions.

A batch is one call from the event loop. It passes every event that has become ready to the scheduler, all
with the same time, and then executes the returned actions in order. The core makes no scheduling decisions.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from loguru import logger

from ashcross.decisions.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    PollEndpointList,
    RejectRequest,
    SendToPeer,
    SetAttemptTerms,
    StartAttempt,
    StartHealthCheck,
    StartTimer,
    WatchEndpointList,
)
from ashcross.decisions.events import (
    AttemptOutcome,
    Event,
    ProgressKind,
    RequestReceived,
    ShutdownStarted,
    TimerFired,
)
from ashcross.dispatcher.arrival_time import ArrivalTimes
from ashcross.dispatcher.attempts import AttemptLifecycle
from ashcross.dispatcher.batch_timer import BatchTimer
from ashcross.dispatcher.endpoint_list import EndpointListFeed
from ashcross.dispatcher.health_checks import HealthChecks
from ashcross.dispatcher.interfaces import (
    CallLater,
    DispatcherContext,
    DispatcherLimits,
    EngineConnections,
    Scheduler,
)
from ashcross.dispatcher.requests import RequestCounts, RequestLifecycle
from ashcross.logs import rate_limited_log
from ashcross.protocols.clients import json_rpc
from ashcross.protocols.host_interfaces import AdmissionGate, ClassifiedQuery, Clock
from ashcross.registry.endpoint_registry import EndpointListEvent, EndpointRegistry, EngineRecord
from ashcross.registry.request_registry import (
    AttemptRecord,
    HealthCheckRecord,
    ReplyChannel,
    RequestRecord,
    RequestRegistry,
)


class DispatcherCore:
    """The core of one dispatcher, between its scheduler and its clients, engines and service discovery.

    `clock` returns microseconds and never goes backwards; `call_later` is the event loop's.
    """

    def __init__(  # noqa: PLR0913 - one argument for each collaborator
        self,
        clock: Clock,
        call_later: CallLater,
        scheduler: Scheduler,
        requests: RequestRegistry,
        endpoints: EndpointRegistry,
        limits: DispatcherLimits,
    ) -> None:
        self.clock: Clock = clock
        self.scheduler = scheduler
        self.requests = requests
        self.endpoints = endpoints
        self.limits = limits
        self.discovery_is_connected: Callable[[], bool] = lambda: True
        self.shutting_down = False
        started_us = clock()
        self.listening_since_us = started_us  # clients have been able to connect since then
        self.before_first_sweep = True  # bytes read until then may have waited since clients could connect
        self.worst_lag_us = 0
        self.longest_batch_us = 0
        self._events: list[Event] = []
        self.timer = BatchTimer(clock, call_later, requests.deadlines, self.process_batch, self._on_alarm)
        self.arrival_times = ArrivalTimes(clock, self.timer, started_us)
        self.context = DispatcherContext(
            clock,
            requests,
            endpoints,
            limits,
            enqueue_event=self.enqueue_event,
            schedule_batch=self.timer.schedule_batch,
            call_at=self.timer.call_at,
        )
        # the lambda looks the attribute up at each call, because it is set after the core is constructed
        self.endpoint_list = EndpointListFeed(self.context, lambda: self.discovery_is_connected())
        self.request_lifecycle = RequestLifecycle(self.context)
        self.attempt_lifecycle = AttemptLifecycle(self.context, self.request_lifecycle, self.endpoint_list)
        self.health_checks = HealthChecks(self.context)

    @property
    def engines(self) -> EngineConnections | None:
        """The connections to engines; None until the connection pool is set."""
        return self.context.engines

    @engines.setter
    def engines(self, engines: EngineConnections | None) -> None:
        self.context.engines = engines

    @property
    def gate(self) -> AdmissionGate | None:
        """The admission control ahead of the scheduler; None if every request is admitted."""
        return self.context.gate

    @gate.setter
    def gate(self, gate: AdmissionGate | None) -> None:
        self.context.gate = gate

    @property
    def counts(self) -> RequestCounts:
        """The counts of accepted requests and of how they ended."""
        return self.request_lifecycle.counts

    def enqueue_event(self, event: Event) -> None:
        """Add an event to the next batch."""
        self._events.append(event)
        self.timer.schedule_batch()

    def schedule_batch(self) -> None:
        """Schedule a batch, which begins once all events that are ready now have been collected."""
        self.timer.schedule_batch()

    def call_at(self, at_us: int, call: Callable[[Any], None], argument: Any) -> None:
        """Schedule `call(argument)` for a time (us), also from outside of a batch."""
        self.timer.call_at(at_us, call, argument)

    def arrival_us(self) -> int:
        """Return the earliest time (us) at which bytes that are read now can have arrived."""
        return self.arrival_times.arrival_us()

    def heartbeat(self, interval_us: int) -> None:
        """Record a poll of the sockets; the next call is due in `interval_us`, or the process stood still."""
        self.arrival_times.heartbeat(interval_us)

    def first_sweep_done(self) -> None:
        """Record that the first sweep is done: everything that waited since the start has been read."""
        self.before_first_sweep = False

    def receive_endpoint_list_event(self, event: EndpointListEvent) -> None:
        """Take in a watch event of service discovery."""
        self.endpoint_list.receive(event)

    def set_list_freshness(self, is_fresh: bool) -> None:
        """Set whether attempts may be sent on the basis of the current endpoint list."""
        self.endpoint_list.set_freshness(is_fresh)

    def accept_request(
        self,
        client: ReplyChannel,
        call_id: int,
        classified: ClassifiedQuery,
        query: json_rpc.Query,
        arrived_us: int,
    ) -> RequestRecord:
        """Accept a query whose last byte arrived at `arrived_us` at the earliest."""
        return self.request_lifecycle.accept(client, call_id, classified, query, arrived_us)

    def admit(self, request_id: str) -> None:
        """Notify the scheduler of a request that the admission gate has admitted."""
        self.request_lifecycle.admit(request_id)

    def reject(self, request_id: str, retry_after_us: int) -> None:
        """Reject a request for the admission gate, before any attempt."""
        self.request_lifecycle.reject(request_id, retry_after_us)

    def client_disconnected(self, request: RequestRecord) -> None:
        """Finish a request without an answer: its client has disconnected or cancelled it."""
        self.request_lifecycle.client_disconnected(request)

    def evict(self, request: RequestRecord) -> None:
        """Fail a request whose connection is closed to free its descriptor or memory."""
        self.request_lifecycle.evict(request)

    def fail_remaining_requests(self) -> None:
        """Fail every request that the scheduler has left without an answer when the process ends."""
        self.request_lifecycle.fail_remaining()

    def may_begin_attempt(self, attempt: AttemptRecord, engine: EngineRecord) -> bool:
        """Return whether the first byte of an attempt may be written now; if so, it counts as written."""
        return self.attempt_lifecycle.may_begin(attempt, engine)

    def attempt_progressed(self, attempt: AttemptRecord, kind: ProgressKind, value: float) -> None:
        """Pass an engine's progress notice for an attempt in flight to the scheduler."""
        self.attempt_lifecycle.progressed(attempt, kind, value)

    def complete_attempt(
        self, attempt: AttemptRecord, outcome: AttemptOutcome, blames_engine: bool = True
    ) -> None:
        """Record the outcome of an attempt; outcomes after the first are ignored."""
        self.attempt_lifecycle.complete(attempt, outcome, blames_engine)

    def health_check_completed(
        self, check: HealthCheckRecord, outcome: AttemptOutcome, load_report: dict[str, float]
    ) -> None:
        """Record the outcome of a health check; outcomes after the first are ignored."""
        self.health_checks.complete(check, outcome, load_report)

    def process_batch(self) -> None:
        """Pass all events that are due or ready to the scheduler and execute the actions that it returns."""
        now = self.clock()
        try:
            for action in self._handle_events(now, self._collect_events(now)):
                try:
                    self._execute(now, action)
                except Exception as error:  # the actions after this one must still be executed
                    rate_limited_log.warn(
                        "action",
                        "internal error while executing an action: "
                        f"action={type(action).__name__}{_identifying_fields(action)}",
                        error,
                    )
            self.requests.sweep()
        finally:  # the next batch must be scheduled whatever fails in this one
            self.timer.end_batch(bool(self._events) or self.endpoint_list.has_updates)
            ended_us = self.clock()
            self.arrival_times.batch_ended(ended_us)
            self.longest_batch_us = max(self.longest_batch_us, ended_us - now)

    def _on_alarm(self) -> None:
        self.arrival_times.detect_standstill(self.clock())
        self.timer.alarm_fired()
        self.process_batch()

    def _collect_events(self, now: int) -> list[Event]:
        """Return all events that are due or ready, updates of the endpoint list first."""
        self.timer.begin_batch()
        self._run_deadlines(now)
        events = self._events
        self._events = []
        events[:0] = self.endpoint_list.take_updates()
        if self.shutting_down and self.requests.open_count:
            events.append(ShutdownStarted())
        return events

    def _run_deadlines(self, now: int) -> None:
        due_us = self.requests.deadlines.next_us()
        lag_us = 0 if due_us is None else now - due_us
        self.worst_lag_us = max(self.worst_lag_us, lag_us)
        if lag_us > self.limits.lag_warn_us:
            rate_limited_log.warn("lag", f"batch began late: lag_ms={lag_us / 1000:.0f}")
        self.requests.deadlines.run_due(now)

    def _handle_events(self, now: int, events: list[Event]) -> list[Action]:
        actions: list[Action] = []
        for event in events:
            try:
                if isinstance(event, RequestReceived):
                    request = self.requests.by_id.get(event.request_id)
                    if request is None:  # it was cancelled and swept after this event was enqueued
                        continue
                    event = replace(event, time_left_us=max(0, request.deadline_us - now))
                actions += self.scheduler.handle(now, event)
            except Exception as error:  # the events after this one must still be handled
                rate_limited_log.warn(
                    "module",
                    "internal error while the scheduler handled an event: "
                    f"event={type(event).__name__}{_identifying_fields(event)}",
                    error,
                )
        return actions

    def _execute(self, now: int, action: Action) -> None:
        match action:
            case StartAttempt():
                self.attempt_lifecycle.start(now, action)
            case SetAttemptTerms() | CancelAttempt() | RejectRequest() | FailRequest():
                request = self.requests.by_id.get(action.request_id)
                if request is not None:
                    self._execute_on_request(now, request, action)
            case StartTimer(at_us, token):
                self.requests.deadlines.add(at_us, self._timer_fired, token)
            case StartHealthCheck(engine_name):
                self.health_checks.start(now, engine_name)
            case WatchEndpointList() | PollEndpointList() | CloseIdleConnections():
                self._execute_on_engines(action)
            case LogMessage(text):
                logger.debug("module: {}", text)
            case SendToPeer():
                rate_limited_log.warn(
                    "peers",
                    f"message dropped, the dispatcher core has no transport to peers: peer={action.peer}",
                )

    def _execute_on_request(
        self,
        now: int,
        request: RequestRecord,
        action: SetAttemptTerms | CancelAttempt | RejectRequest | FailRequest,
    ) -> None:
        match action:
            case SetAttemptTerms():
                self.attempt_lifecycle.set_priority(request, action.priority)
            case CancelAttempt():
                self.attempt_lifecycle.cancel(request, action.attempt_number)
            case RejectRequest():
                self.request_lifecycle.execute_rejection(now, request, action)
            case FailRequest():
                self.request_lifecycle.execute_failure(request, action)

    def _execute_on_engines(
        self, action: WatchEndpointList | PollEndpointList | CloseIdleConnections
    ) -> None:
        match action:
            case WatchEndpointList(enabled):
                if enabled:
                    self.endpoint_list.poll()
                else:
                    self.endpoint_list.confirm_unchanged()
            case PollEndpointList():
                self.endpoint_list.poll()
            case CloseIdleConnections(engine_name):
                engine = self.endpoints.engines.get(engine_name)
                if engine is not None and self.context.engines is not None:
                    self.context.engines.close_idle_connections(engine)

    def _timer_fired(self, token: int) -> None:
        self.enqueue_event(TimerFired(token))


def _identifying_fields(record: Action | Event) -> str:
    """Return log fields for the request, attempt and engine of an action or event, as far as it has them."""
    names = {"request": "request_id", "attempt": "attempt_number", "engine": "engine_name"}
    return "".join(
        f" {field}={getattr(record, name)}" for field, name in names.items() if hasattr(record, name)
    )
