"""Drives one scheduler with random legal settings and events, and checks its actions against the rules."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from ashcross.decisions.actions import (
    Action,
    CancelAttempt,
    StartAttempt,
)
from ashcross.decisions.events import (
    AttemptCompleted,
    AttemptOutcome,
    AttemptProgress,
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdate,
    EndpointState,
    Event,
    HealthCheckCompleted,
    ProgressKind,
    RequestReceived,
    TimerFired,
)
from ashcross.decisions.settings import (
    DeduplicationScope,
    RetrySafety,
    SchedulerSettings,
    TenantSettings,
)
from tests.harness.decision_model import LOAD, LOOKUP, REPORT, SchedulerTestBed, endpoint, make_settings
from tests.harness.rule_referee import WORK_US, RuleReferee


def draw_settings(generator: random.Random) -> SchedulerSettings:
    """Return random legal settings."""
    retry_safety = generator.choice(list(RetrySafety))
    random_class = replace(
        LOAD,
        retry_safety=retry_safety,
        deduplication_scope=generator.choice(list(DeduplicationScope)),
        repeat_window_us=generator.choice([200_000, 2_000_000, 20_000_000]),
        allowed_zones=generator.choice([(), ("z1",), ("z2",)]),
        allowed_engine_kinds=generator.choice([(), ("big",)]),
    )
    restricted_class = replace(LOOKUP, allowed_engine_kinds=generator.choice([(), ("small",)]))
    return make_settings(
        LOOKUP,
        replace(REPORT, allowed_engine_kinds=generator.choice([(), ("big",)])),
        random_class,
        replace(restricted_class, retry_safety=RetrySafety.NOT_IDEMPOTENT),
        tenants=generator.choice([(), (TenantSettings("t1", 5.0), TenantSettings("t2", 50.0))]),
        instance_count=generator.choice([1, 3, 8]),
        must_watch_endpoint_list=generator.random() < 0.3,
        cancel_allowed=generator.random() < 0.8,
        hedging_allowed=generator.random() < 0.3,
        retry_after_allowed=generator.random() < 0.5,
        max_attempts=generator.choice([1, 2, 6]),
        health_checks_allowed=generator.random() < 0.5,
        load_report_fields=("cpu", "x0"),
        load_reports_in_answers=generator.random() < 0.5,
        memory_grants_apply=generator.random() < 0.5,
        priorities_apply=generator.random() < 0.5,
        ordering_quiet_us=generator.choice([0, 300_000]),
        retry_budget_window_us=generator.choice([0, 1_000_000]),
        retry_budget_base=generator.choice([0.0, 2.0]),
        retry_budget_ratio=generator.choice([0.0, 0.1]),
        overload_threshold=generator.choice([1.0, 4.0]),
    )


@dataclass
class OpenAttempt:
    """An attempt that the test has not ended yet."""

    request_id: str
    number: int
    engine_name: str
    started_us: int


class RandomPlay:
    """Drives one scheduler with random legal events; a `RuleReferee` checks its actions."""

    def __init__(self, seed: int, scheduler_seed: int = 7) -> None:
        self.random = random.Random(seed)
        self.settings = draw_settings(self.random)
        self.bed = SchedulerTestBed(self.settings, engines=0, seed=scheduler_seed)
        self.referee = RuleReferee(self.settings)
        self.open_attempts: list[OpenAttempt] = []
        self.cancelled: set[tuple[str, int]] = set()
        self.actions: list[Action] = []
        self.boots_us = {f"e{number}": 0 for number in range(self.random.choice([1, 3, 6]))}
        self.change_list(EndpointListKind.CACHED)

    def handle(self, event: Event) -> None:
        """Pass one event to the scheduler, check its actions and record the attempts."""
        now = self.bed.now
        actions = self.bed.handle(event)
        self.referee.check(now, actions)
        self.actions += actions
        for action in actions:
            if isinstance(action, StartAttempt):
                number = len(self.referee.requests[action.request_id].attempts) - 1
                self.open_attempts.append(OpenAttempt(action.request_id, number, action.engine_name, now))
            elif isinstance(action, CancelAttempt):
                self.cancelled.add((action.request_id, action.attempt_number))

    def change_list(self, kind: EndpointListKind = EndpointListKind.FULL) -> None:
        """Pass a complete endpoint list in which some engines are missing, draining or restarted."""
        endpoints = []
        for number, name in enumerate(self.boots_us):
            roll = self.random.random()
            if roll < 0.1:
                continue
            if roll < 0.25:
                self.boots_us[name] = self.bed.now - self.random.choice([0, 1_000_000])
            endpoints.append(
                endpoint(
                    name,
                    zone=f"z{1 + number % 2}",
                    cell=number % 3,
                    engine_kind=("big", "small")[number % 2],
                    state=EndpointState.DRAINING if roll > 0.9 else EndpointState.READY,
                    boot_us=self.boots_us[name],
                )
            )
        self.referee.update_list(self.bed.now, endpoints)
        self.handle(EndpointListUpdate(kind, 1, tuple(endpoints)))

    def complete(self, index: int, outcome: AttemptOutcome) -> None:
        """End the open attempt at `index` with an outcome."""
        attempt = self.open_attempts.pop(index)
        request_id = attempt.request_id
        self.cancelled.discard((request_id, attempt.number))
        self.referee.complete(self.bed.now, request_id, attempt.number, outcome)
        load_report: dict[str, float] = {}
        if self.settings.load_reports_in_answers and self.random.random() < 0.7:
            load_report = {"cpu": self.random.random()}
        latency_us = self.bed.now - attempt.started_us
        request_is_over = self.referee.requests[request_id].completed
        self.handle(
            AttemptCompleted(
                request_id,
                attempt.number,
                attempt.engine_name,
                outcome,
                latency_us,
                request_is_over,
                0,
                0.0,
                load_report,
            )
        )

    def step(self) -> None:
        """Advance the clock by a random time, and pass a random event."""
        self.advance(self.random.choice([0, 1_000, 20_000, 200_000]))
        self.end_cancelled_and_late()
        roll = self.random.random()
        if roll < 0.5:
            self.receive()
        elif roll < 0.85 and self.open_attempts:
            outcomes = [outcome for outcome in AttemptOutcome if outcome is not AttemptOutcome.CANCELLED]
            weights = [6 if outcome is AttemptOutcome.SUCCEEDED else 1 for outcome in outcomes]
            index = self.random.randrange(len(self.open_attempts))
            self.complete(index, self.random.choices(outcomes, weights)[0])
        elif roll < 0.9:
            self.change_list()
        elif roll < 0.97:
            self.send_notice(roll)
        elif roll < 0.98:
            self.disconnect_client()
        else:
            self.handle(ClientDisconnected("unknown"))
            self.handle(AttemptCompleted("unknown", 0, "e0", AttemptOutcome.SUCCEEDED, 1, True, 0, 0.0, {}))

    def advance(self, span_us: int) -> None:
        """Advance the clock by `span_us`, firing the scheduler's timer whenever it is due."""
        bed = self.bed
        end_us = bed.now + span_us
        while bed.timer is not None and bed.timer <= end_us:
            bed.now = max(bed.now, bed.timer)
            bed.timer = None
            self.handle(TimerFired(0))
            self.referee.check_deadlines(bed.now)
        bed.now = end_us

    def end_cancelled_and_late(self) -> None:
        """End some of the cancelled attempts, and all attempts past the deadline of their request."""
        for index in reversed(range(len(self.open_attempts))):
            attempt = self.open_attempts[index]
            was_cancelled = (attempt.request_id, attempt.number) in self.cancelled
            if was_cancelled and self.random.random() < 0.5:
                self.complete(index, AttemptOutcome.CANCELLED)
            elif self.bed.now >= self.referee.requests[attempt.request_id].deadline_us:
                self.complete(index, AttemptOutcome.TIMEOUT)

    def receive(self) -> None:
        """Pass a random new request."""
        choice = self.random.choice
        class_index = self.random.randrange(len(self.settings.classes))
        tenant = choice(["t1", "t2"]) if self.settings.tenants else None
        event = RequestReceived(
            request_id=f"r{len(self.referee.requests)}",
            class_index=class_index,
            table_group=self.random.randrange(6),
            ordering_key=choice([None, "k1", "k2"]),
            memory_mb=choice([0.0, 50.0, 4000.0]),
            work_estimate_us=WORK_US[class_index],
            time_left_us=choice([1, 300_000, 3_000_000, 8_000_000]),
            tenant=tenant,
            is_retry=False,
        )
        self.referee.receive(self.bed.now, event)
        self.handle(event)

    def send_notice(self, roll: float) -> None:
        """Pass a progress notice, the result of a health check, or a failed update of the endpoint list."""
        choice = self.random.choice
        if roll < 0.93 and self.open_attempts:
            attempt = choice(self.open_attempts)
            kind = choice(list(ProgressKind))
            value = self.random.random()
            self.handle(AttemptProgress(attempt.request_id, attempt.number, attempt.engine_name, kind, value))
        elif roll < 0.95 and self.boots_us:
            name = choice(list(self.boots_us))
            outcome = choice(list(AttemptOutcome))
            self.handle(HealthCheckCompleted(name, outcome, 1000, {"cpu": self.random.random()}))
        else:
            self.handle(EndpointListUpdate(EndpointListKind.FAILED, 0, ()))

    def disconnect_client(self) -> None:
        """Disconnect the client of a random open request, if there is one."""
        open_ids = [name for name, request in self.referee.requests.items() if not request.completed]
        if open_ids:
            request_id = self.random.choice(open_ids)
            self.referee.requests[request_id].completed = True
            self.handle(ClientDisconnected(request_id))

    def finish(self) -> None:
        """Advance the clock by 12 s, in which all requests must end."""
        bed = self.bed
        for _ in range(400):
            bed.now += 30_000
            if bed.timer is not None and bed.timer <= bed.now:
                bed.timer = None
                self.handle(TimerFired(0))
            self.referee.check_deadlines(bed.now)
            if self.open_attempts and self.random.random() < 0.5:
                self.complete(0, AttemptOutcome.SUCCEEDED)
