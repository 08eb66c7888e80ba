"""Builders of settings and events, and a test bed that drives one scheduler with a simulated clock."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from ashcross.decisions.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    StartAttempt,
    StartTimer,
)
from ashcross.decisions.events import (
    AttemptCompleted,
    AttemptOutcome,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    EndpointState,
    Event,
    RequestReceived,
    TimerFired,
)
from ashcross.decisions.scheduler import Scheduler
from ashcross.decisions.settings import (
    ClassSettings,
    DeduplicationScope,
    EngineKindSettings,
    MemoryShortagePolicy,
    RetrySafety,
    SchedulerSettings,
)

LOOKUP = ClassSettings(
    retry_safety=RetrySafety.IDEMPOTENT,
    deduplication_scope=DeduplicationScope.ALL,
    repeat_window_us=5_000_000,
    latency_objective_us=1_000_000,
    latency_objective_per_work=2.0,
    give_up_after_us=8_000_000,
    priority_weight=1.0,
    late_value_share=0.0,
    slots=1,
    loads_tables=False,
    waits_for_table_loads=False,
    ordered=False,
    allowed_zones=(),
    allowed_engine_kinds=(),
)
REPORT = replace(LOOKUP, latency_objective_us=2_000_000, priority_weight=5.0, slots=4, late_value_share=0.3)
LOAD = replace(
    LOOKUP,
    retry_safety=RetrySafety.IDEMPOTENT_WITH_KEY,
    latency_objective_us=2_000_000,
    slots=2,
    ordered=True,
    loads_tables=True,
)

SETTINGS = SchedulerSettings(
    classes=(LOOKUP, REPORT),
    engine_kinds=(EngineKindSettings("big", 8.0, 16_000.0), EngineKindSettings("small", 4.0, 8_000.0)),
    tenants=(),
    instance_index=0,
    instance_count=1,
    zone="z1",
    time_step_us=5_000,
    must_watch_endpoint_list=False,
    cancel_allowed=True,
    hedging_allowed=False,
    retry_after_allowed=True,
    max_retry_after_us=500_000,
    max_attempts=4,
    health_checks_allowed=False,
    load_report_fields=(),
    load_reports_in_answers=False,
    memory_grants_apply=False,
    priorities_apply=False,
    max_grant_share=0.4,
    memory_shortage_policy=MemoryShortagePolicy.WAIT,
    cross_zone_price=0.0,
    connection_price=0.0,
    health_check_price=0.0,
    connection_idle_us=0,
    connect_timeout_us=250_000,
    drain_grace_us=1_000_000,
    slow_start_initial_share=0.3,
    slow_start_us=15_000_000,
    overload_threshold=2.0,
    overload_window_us=1_000_000,
    endpoint_list_max_age_us=10_000_000,
    ordering_quiet_us=0,
    retry_budget_window_us=0,
    retry_budget_base=0.0,
    retry_budget_ratio=0.0,
)


def make_settings(*classes: ClassSettings, **changes: Any) -> SchedulerSettings:
    """Return the default settings with other classes, if any, and the given changes."""
    return replace(SETTINGS, classes=classes or SETTINGS.classes, **changes)


def endpoint(engine: str, **changes: Any) -> Endpoint:
    """Return the endpoint of a ready engine past its slow start, with the given changes."""
    default = Endpoint(engine, "z1", "big", 0, EndpointState.READY, 1.0, 0)
    return replace(default, **changes)


class SchedulerTestBed:
    """One scheduler with a simulated clock (us); collects the actions of the scheduler."""

    def __init__(self, settings: SchedulerSettings | None = None, engines: int = 2, seed: int = 1) -> None:
        self.settings = settings or SETTINGS
        self.scheduler = Scheduler(self.settings, seed)
        self.now = 1_000_000_000
        self.actions: list[Action] = []
        self.timer: int | None = None
        self.count = 0
        if engines:
            self.update_list([endpoint(f"e{number}") for number in range(engines)], EndpointListKind.CACHED)

    def handle(self, event: Event) -> list[Action]:
        """Pass one event to the scheduler, and return its actions."""
        actions = self.scheduler.handle(self.now, event)
        for action in actions:
            if isinstance(action, StartTimer):
                self.timer = action.at_us
        self.actions += actions
        return actions

    def update_list(
        self, endpoints: list[Endpoint], kind: EndpointListKind = EndpointListKind.FULL
    ) -> list[Action]:
        """Pass a new endpoint list or changes of it to the scheduler."""
        return self.handle(EndpointListUpdate(kind, 1, tuple(endpoints)))

    def receive(self, class_index: int = 0, **changes: Any) -> list[Action]:
        """Pass a new request to the scheduler; the requests are named r0, r1, ..."""
        default = RequestReceived(
            f"r{self.count}", class_index, 1, None, 10.0, 100_000, 8_000_000, None, False
        )
        self.count += 1
        return self.handle(replace(default, **changes))

    def complete(
        self,
        request_id: str,
        engine_name: str,
        outcome: AttemptOutcome = AttemptOutcome.SUCCEEDED,
        attempt_number: int = 0,
        latency_us: int = 100_000,
        request_is_over: bool | None = None,
        load_report: dict[str, float] | None = None,
    ) -> list[Action]:
        """End an attempt; by default, its request is over if the attempt succeeded."""
        is_over = outcome is AttemptOutcome.SUCCEEDED if request_is_over is None else request_is_over
        return self.handle(
            AttemptCompleted(
                request_id,
                attempt_number,
                engine_name,
                outcome,
                latency_us,
                is_over,
                0,
                0.0,
                load_report or {},
            )
        )

    def advance(self, span_us: int) -> list[Action]:
        """Advance the clock by `span_us`, firing the scheduler's timer whenever it is due."""
        end_us = self.now + span_us
        actions: list[Action] = []
        while self.timer is not None and self.timer <= end_us:
            self.now = max(self.now, self.timer)
            self.timer = None
            actions += self.handle(TimerFired(0))
        self.now = end_us
        return actions


def started(actions: list[Action]) -> list[StartAttempt]:
    """Return the actions that start an attempt."""
    return [action for action in actions if isinstance(action, StartAttempt)]


def final_answers(actions: list[Action]) -> list[RejectRequest | FailRequest]:
    """Return the actions that give a final answer."""
    return [action for action in actions if isinstance(action, RejectRequest | FailRequest)]


def fill_engines(bed: SchedulerTestBed) -> list[StartAttempt]:
    """Start long requests of one slot until no engine takes another; return the attempts."""
    attempts: list[StartAttempt] = []
    while new_attempts := started(bed.receive(work_estimate_us=5_000_000)):
        attempts += new_attempts
    return attempts


def run_requests(
    bed: SchedulerTestBed, outcomes: dict[str, AttemptOutcome], request_count: int, gap_us: int = 50_000
) -> dict[str, int]:
    """Send a request every `gap_us`; each engine ends its attempts with its outcome, or never answers.

    Return the number of attempts by engine.
    """
    counts: dict[str, int] = {}
    for number in range(request_count):
        for attempt in started(bed.receive(table_group=number % 40)) + started(bed.advance(gap_us)):
            counts[attempt.engine_name] = counts.get(attempt.engine_name, 0) + 1
            if attempt.engine_name in outcomes:
                attempts = bed.scheduler.table.requests[attempt.request_id].attempts
                outcome = outcomes[attempt.engine_name]
                bed.complete(attempt.request_id, attempt.engine_name, outcome, len(attempts) - 1)
        _end_cancelled_attempts(bed)
        bed.actions.clear()
    return counts


def _end_cancelled_attempts(bed: SchedulerTestBed) -> None:
    requests = bed.scheduler.table.requests
    for action in bed.actions:
        if isinstance(action, CancelAttempt) and action.request_id in requests:
            attempt = requests[action.request_id].attempts[action.attempt_number]
            if attempt.in_flight:
                name = attempt.engine.endpoint.name
                bed.complete(
                    action.request_id, name, AttemptOutcome.CANCELLED, action.attempt_number, 900_000
                )
