"""Checks each action of a scheduler against the seven rules, independent of the scheduler's own records."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from ashcross.decisions.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    StartAttempt,
    StartHealthCheck,
)
from ashcross.decisions.events import (
    AttemptOutcome,
    Endpoint,
    EndpointState,
    RequestReceived,
)
from ashcross.decisions.settings import (
    ClassSettings,
    DeduplicationScope,
    RetrySafety,
    SchedulerSettings,
)

NOT_EXECUTED = {AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT}
OUTCOME_UNKNOWN = {AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED}
WORK_US = (100_000, 2_000_000, 800_000, 400_000)  # work of a request, by class
ANSWER_SLACK_US = 20_000  # how much later than its deadline a request may get its final answer


@dataclass
class ObservedAttempt:
    """An attempt, as known from the actions and events."""

    engine: Endpoint
    started_us: int
    in_flight: bool = True
    may_have_executed: bool = True


@dataclass
class ObservedRequest:
    """A request, as known from the actions and events."""

    event: RequestReceived
    class_settings: ClassSettings
    deadline_us: int
    attempts: list[ObservedAttempt] = field(default_factory=list)
    completed: bool = False

    def executed_attempts(self) -> list[ObservedAttempt]:
        """Return the attempts that may have executed."""
        return [attempt for attempt in self.attempts if attempt.may_have_executed]

    def has_attempt_in_flight(self) -> bool:
        """Return whether an attempt has no outcome yet."""
        return any(attempt.in_flight for attempt in self.attempts)


class RuleReferee:
    """Checks each action against the rules, from the settings, events and earlier actions alone."""

    def __init__(self, settings: SchedulerSettings) -> None:
        self.settings = settings
        self.requests: dict[str, ObservedRequest] = {}
        self.engines: dict[str, Endpoint] = {}
        self.notified_us: dict[str, int] = {}  # when an engine was first listed as not ready
        self.received_us: list[int] = []
        self.retried_us: list[int] = []
        self.requests_by_key: dict[str, list[ObservedRequest]] = defaultdict(list)
        self.quiet_until_us: dict[str, int] = {}
        self.sent_in_slow_start: dict[str, list[tuple[int, float]]] = defaultdict(list)

    def update_list(self, now: int, endpoints: list[Endpoint]) -> None:
        """Record a complete endpoint list."""
        names = {endpoint.name for endpoint in endpoints}
        for name in self.engines:
            if name not in names:
                self.notified_us.setdefault(name, now)
        for endpoint in endpoints:
            listed = self.engines.get(endpoint.name)
            if listed is not None and listed.boot_us != endpoint.boot_us:
                self.sent_in_slow_start[endpoint.name].clear()
            self.engines[endpoint.name] = endpoint
            if endpoint.state is EndpointState.READY:
                self.notified_us.pop(endpoint.name, None)
            else:
                self.notified_us.setdefault(endpoint.name, now)

    def receive(self, now: int, event: RequestReceived) -> None:
        """Record a new request."""
        class_settings = self.settings.classes[event.class_index]
        request = ObservedRequest(event, class_settings, now + event.time_left_us)
        self.requests[event.request_id] = request
        self.received_us.append(now)
        if class_settings.ordered and event.ordering_key:
            self.requests_by_key[event.ordering_key].append(request)

    def check(self, now: int, actions: list[Action]) -> None:
        """Check the actions of the scheduler for one event; raises AssertionError if one breaks a rule."""
        for action in actions:
            if isinstance(action, StartAttempt):
                request = self.requests[action.request_id]
                self.check_attempt(now, request, self.engines[action.engine_name])
            elif isinstance(action, RejectRequest | FailRequest):
                self.check_final_answer(now, action)
            elif isinstance(action, CancelAttempt):
                assert self.settings.cancel_allowed
                assert action.attempt_number < len(self.requests[action.request_id].attempts)
            elif isinstance(action, StartHealthCheck):
                assert self.settings.health_checks_allowed

    def check_final_answer(self, now: int, action: RejectRequest | FailRequest) -> None:
        """Check rules 1 (one final answer) and 2 (no effect happens twice) for a final answer."""
        request = self.requests[action.request_id]
        class_settings = request.class_settings
        assert not request.completed, "the request already has a final answer"
        assert now <= request.deadline_us, "the final answer comes after the deadline"
        if isinstance(action, RejectRequest) and request.executed_attempts():
            assert class_settings.retry_safety is not RetrySafety.NOT_IDEMPOTENT, (
                "rejected a non-idempotent request that may have executed"
            )
            if class_settings.retry_safety is RetrySafety.IDEMPOTENT_WITH_KEY:
                assert class_settings.deduplication_scope is DeduplicationScope.ALL, (
                    "rejected a request that an engine of another deduplication scope would execute again"
                )
        request.completed = True

    def check_attempt(self, now: int, request: ObservedRequest, engine: Endpoint) -> None:
        """Check all rules for an attempt that starts, and record the attempt."""
        assert not request.completed, "an attempt starts after the final answer"
        self.check_number_of_attempts(request)
        self.check_repeated_effects(now, request, engine)
        if engine.name in self.notified_us:
            latest_us = self.notified_us[engine.name] + self.settings.drain_grace_us
            assert now <= latest_us, "an attempt starts on a draining engine"
        zones = request.class_settings.allowed_zones
        kinds = request.class_settings.allowed_engine_kinds
        assert not zones or engine.zone in zones, "the zone of the engine is not allowed"
        assert not kinds or engine.engine_kind in kinds, "the kind of the engine is not allowed"
        if engine.boot_us and now - engine.boot_us < self.settings.slow_start_us:
            self.check_slow_start(now, request, engine)
        self.check_ordering(now, request)
        if request.attempts and self.settings.retry_budget_window_us:
            self.check_retry_budget(now)
        request.attempts.append(ObservedAttempt(engine, now))

    def check_number_of_attempts(self, request: ObservedRequest) -> None:
        """Check the limits that the settings put on the number of attempts."""
        if request.attempts:
            assert len(request.attempts) < self.settings.max_attempts
            assert self.settings.hedging_allowed or not request.has_attempt_in_flight(), (
                "two attempts of a request are in flight without hedging"
            )

    @staticmethod
    def check_repeated_effects(now: int, request: ObservedRequest, engine: Endpoint) -> None:
        """Check rule 2 (no effect happens twice)."""
        class_settings = request.class_settings
        executed_attempts = request.executed_attempts()
        if not executed_attempts:
            return
        assert class_settings.retry_safety is not RetrySafety.NOT_IDEMPOTENT, (
            "a non-idempotent request that may have executed is retried"
        )
        if class_settings.retry_safety is RetrySafety.IDEMPOTENT_WITH_KEY:
            scope = class_settings.deduplication_scope
            first_us = executed_attempts[0].started_us
            assert now - first_us <= class_settings.repeat_window_us, "a retry starts after the repeat window"
            for attempt in executed_attempts:
                assert scope is DeduplicationScope.ALL or attempt.engine.zone == engine.zone
                assert scope is not DeduplicationScope.CELL or attempt.engine.cell == engine.cell

    def check_slow_start(self, now: int, request: ObservedRequest, engine: Endpoint) -> None:
        """Check rule 4 (slow-start budget) for the part of this instance."""
        settings = self.settings
        sent = self.sent_in_slow_start[engine.name]
        sent.append((now, float(WORK_US[request.event.class_index])))
        cores = {kind.name: kind.cores for kind in settings.engine_kinds}[engine.engine_kind]
        # at most four instances share a budget at a time, each with a quarter
        part_count = min(settings.instance_count, 4)
        allowed_us = (
            settings.overload_threshold
            * settings.slow_start_initial_share
            * 0.85
            * cores
            / part_count
            * settings.overload_window_us
        )
        since_us = now - settings.overload_window_us
        assert sum(work_us for at_us, work_us in sent if at_us > since_us) <= allowed_us, (
            "the work sent exceeds the slow-start budget"
        )

    def check_ordering(self, now: int, request: ObservedRequest) -> None:
        """Check rule 5 (ordering)."""
        key = request.event.ordering_key
        if not request.class_settings.ordered or not key:
            return
        for earlier_request in self.requests_by_key[key]:
            if earlier_request is request:
                break
            assert earlier_request.completed, "an earlier request of the key has no final answer"
            assert not earlier_request.has_attempt_in_flight(), "an earlier request of the key is in flight"
        assert now >= self.quiet_until_us.get(key, now), "the quiet time of the key is not over"

    def check_retry_budget(self, now: int) -> None:
        """Check rule 7 (retry budget)."""
        settings = self.settings
        self.retried_us.append(now)
        since_us = now - settings.retry_budget_window_us
        received = sum(at_us > since_us for at_us in self.received_us)
        retried = sum(at_us > since_us for at_us in self.retried_us)
        allowed = settings.retry_budget_base + settings.retry_budget_ratio * received
        assert retried <= allowed, "the retries exceed the retry budget"

    def complete(self, now: int, request_id: str, attempt_number: int, outcome: AttemptOutcome) -> None:
        """Record the end of an attempt."""
        request = self.requests[request_id]
        attempt = request.attempts[attempt_number]
        attempt.in_flight = False
        attempt.may_have_executed = outcome not in NOT_EXECUTED
        if outcome is AttemptOutcome.SUCCEEDED:
            request.completed = True
        key = request.event.ordering_key
        if request.class_settings.ordered and key and outcome in OUTCOME_UNKNOWN:
            self.quiet_until_us[key] = now + self.settings.ordering_quiet_us

    def check_deadlines(self, now: int) -> None:
        """Check rule 1 (one final answer): each request has an answer by its deadline."""
        for request in self.requests.values():
            has_time_left = now <= request.deadline_us + ANSWER_SLACK_US
            assert request.completed or has_time_left, "a request has no final answer after its deadline"
