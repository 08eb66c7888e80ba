"""Tests of capacity: our share of the slots of engines, and requests that need more than our share.

If the bounds were too wide, several instances would overload an engine together; if too narrow, requests
would wait while engines are idle.
"""

from __future__ import annotations

from dataclasses import replace

from ashcross.decisions.actions import (
    StartAttempt,
)
from ashcross.decisions.events import (
    AttemptOutcome,
    HealthCheckCompleted,
)
from tests.harness.decision_model import (
    LOOKUP,
    REPORT,
    SchedulerTestBed,
    fill_engines,
    make_settings,
    started,
)


def test_level_limits_attempts_only_on_loaded_engines() -> None:
    settings = make_settings(LOOKUP, load_report_fields=("cpu",), load_reports_in_answers=True)
    bed = SchedulerTestBed(settings, engines=1)
    (first,) = started(bed.receive())
    bed.complete(first.request_id, first.engine_name, load_report={"cpu": 0.2})
    started_when_idle = 0
    while started(bed.receive(work_estimate_us=5_000_000)):
        started_when_idle += 1
    assert started_when_idle > 8  # more than our share of the cores, as the report shows idle cores
    bed = SchedulerTestBed(settings, engines=1)
    (first,) = started(bed.receive())
    bed.complete(first.request_id, first.engine_name, load_report={"cpu": 0.95})
    started_when_busy = 0
    while started(bed.receive(work_estimate_us=5_000_000)):
        started_when_busy += 1
    assert started_when_busy == 8  # the initial level of one slot per core, with all 8 cores ours


def test_slots_are_limited_to_our_share() -> None:
    bed = SchedulerTestBed(make_settings(LOOKUP, instance_count=4), engines=1)
    assert 2 <= len(fill_engines(bed)) <= 4  # 2 of 8 cores are ours; at most 2 slots per core


def test_request_wider_than_level_waits_for_idle_time() -> None:
    wide_class = replace(REPORT, slots=4, latency_objective_us=30_000_000)
    settings = make_settings(
        LOOKUP, wide_class, instance_count=4, load_report_fields=("cpu",), load_reports_in_answers=True
    )
    bed = SchedulerTestBed(settings, engines=1)
    (first,) = started(bed.receive(0))
    bed.complete(first.request_id, first.engine_name, load_report={"cpu": 1.0})
    # The level gives 8 x 1/4 = 2 slots and the request needs 4, so the engine must be idle for the expected
    # run time x (4/2 - 1).
    assert not started(bed.receive(1, work_estimate_us=1_600_000))
    for _ in range(7):
        bed.handle(HealthCheckCompleted("e0", AttemptOutcome.SUCCEEDED, 1, {"cpu": 1.0}))
        assert not started(bed.advance(50_000))
    bed.handle(HealthCheckCompleted("e0", AttemptOutcome.SUCCEEDED, 1, {"cpu": 1.0}))
    assert started(bed.advance(100_000))


def test_shares_below_one_slot_are_pooled() -> None:
    settings = make_settings(
        LOOKUP, instance_count=32, load_report_fields=("cpu",), load_reports_in_answers=True
    )
    bed = SchedulerTestBed(settings, engines=8)  # 2 of 64 cores are ours: a quarter of a slot per engine
    for engine_number in range(8):
        bed.handle(HealthCheckCompleted(f"e{engine_number}", AttemptOutcome.SUCCEEDED, 1, {"cpu": 1.0}))
    bed.advance(100_000)
    busy_us, span_us = 0, 20_000_000
    running: list[tuple[int, StartAttempt]] = []  # with start time (us)
    end_us = bed.now + span_us
    while bed.now < end_us:
        for engine_number in range(8):
            bed.handle(HealthCheckCompleted(f"e{engine_number}", AttemptOutcome.SUCCEEDED, 1, {"cpu": 1.0}))
        for attempt in started(bed.receive(work_estimate_us=500_000)) + started(bed.advance(100_000)):
            running.append((bed.now, attempt))
        for started_us, attempt in [item for item in running if item[0] + 500_000 <= bed.now]:
            running.remove((started_us, attempt))
            busy_us += bed.now - started_us
            for next_attempt in started(
                bed.complete(attempt.request_id, attempt.engine_name, latency_us=bed.now - started_us)
            ):
                running.append((bed.now, next_attempt))
    mean_slots = busy_us / span_us
    # our two slots times a level between 0.75 and 2, with some margin: never starved
    assert 0.5 * 2 <= mean_slots <= 2 * 2.2
