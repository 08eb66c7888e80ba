"""Tests of the estimated load of engines, with and without load reports.

An engine whose load is underestimated gets more requests than it can run.
"""

from __future__ import annotations

from ashcross.decisions.events import (
    AttemptOutcome,
    HealthCheckCompleted,
)
from tests.harness.decision_model import LOOKUP, SchedulerTestBed, make_settings, run_requests, started


def test_lasting_overload_does_not_become_the_baseline() -> None:
    bed = SchedulerTestBed(make_settings(LOOKUP), engines=2)
    for latency_us in [100_000] * 40 + [600_000] * 60:  # without reports, only run times show the overload
        for attempt in started(bed.receive(work_estimate_us=100_000)):
            bed.complete(attempt.request_id, attempt.engine_name, latency_us=latency_us)
        bed.advance(100_000)
    assert all(engine.load.estimate >= 0.85 for engine in bed.scheduler.engines.by_name.values())


def test_engine_without_report_gets_load_of_fleet() -> None:
    bed = SchedulerTestBed(
        make_settings(LOOKUP, load_report_fields=("cpu",), load_reports_in_answers=True), engines=6
    )
    for engine in ("e0", "e1", "e2", "e3", "e4"):
        bed.handle(HealthCheckCompleted(engine, AttemptOutcome.SUCCEEDED, 1, {"cpu": 0.9}))
    bed.receive()
    bed.advance(250_000)
    assert bed.scheduler.engines.by_name["e5"].load.estimate > 0.6


def test_engine_that_rejects_attempts_counts_as_loaded() -> None:
    bed = SchedulerTestBed(
        make_settings(LOOKUP, load_report_fields=("cpu",), load_reports_in_answers=True), engines=3
    )
    succeeded = AttemptOutcome.SUCCEEDED
    counts = run_requests(bed, {"e0": succeeded, "e1": succeeded, "e2": AttemptOutcome.OVERLOADED}, 300)
    assert 5 * counts["e2"] < counts["e0"] + counts["e1"]
    assert bed.scheduler.engines.by_name["e2"].load.estimate > 0.5


def test_active_queries_count_as_load_with_idle_cores() -> None:
    bed = SchedulerTestBed(
        make_settings(LOOKUP, load_report_fields=("active", "cpu"), health_checks_allowed=True), engines=2
    )
    bed.handle(HealthCheckCompleted("e0", AttemptOutcome.SUCCEEDED, 1, {"active": 40.0, "cpu": 0.3}))
    bed.handle(HealthCheckCompleted("e1", AttemptOutcome.SUCCEEDED, 1, {"active": 6.0, "cpu": 0.6}))
    attempts = started(bed.receive(table_group=1)) + started(bed.receive(table_group=2))
    assert [attempt.engine_name for attempt in attempts] == ["e1", "e1"]
