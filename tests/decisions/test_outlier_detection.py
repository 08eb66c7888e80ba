"""Tests of outlier detection: ejection, probation and reinstatement of engines.

An engine that fails fast has few attempts in flight and therefore looks idle, so it would attract all
requests if it were not ejected.
"""

from __future__ import annotations

from ashcross.decisions.events import (
    AttemptCompleted,
    AttemptOutcome,
    HealthCheckCompleted,
)
from tests.harness.decision_model import SchedulerTestBed, run_requests, started


def test_engine_without_answers_gets_only_probation_requests() -> None:
    bed = SchedulerTestBed(engines=3)
    counts = run_requests(bed, {"e0": AttemptOutcome.SUCCEEDED, "e1": AttemptOutcome.SUCCEEDED}, 400)
    assert counts["e2"] < 25 < counts["e0"] + counts["e1"]


def test_engine_that_fails_fast_gets_few_requests() -> None:
    bed = SchedulerTestBed(engines=3)
    succeeded = AttemptOutcome.SUCCEEDED
    counts = run_requests(bed, {"e0": succeeded, "e1": succeeded, "e2": AttemptOutcome.ERROR}, 400)
    assert counts["e2"] < 40 < counts["e0"] + counts["e1"]


def test_engine_that_refuses_connections_gets_few_requests() -> None:
    bed = SchedulerTestBed(engines=3)
    succeeded = AttemptOutcome.SUCCEEDED
    counts = run_requests(bed, {"e0": succeeded, "e1": succeeded, "e2": AttemptOutcome.CONNECT_FAILED}, 400)
    assert counts["e2"] < 40 < counts["e0"] + counts["e1"]


def test_recovered_engine_is_reinstated() -> None:
    bed = SchedulerTestBed(engines=3)
    succeeded = AttemptOutcome.SUCCEEDED
    for _ in range(3):  # its health checks fail
        bed.handle(HealthCheckCompleted("e2", AttemptOutcome.ERROR, 1000, {}))
    run_requests(bed, {"e0": succeeded, "e1": succeeded}, 5)
    assert bed.scheduler.engines.by_name["e2"].outlier.ejected
    run_requests(bed, {"e0": succeeded, "e1": succeeded, "e2": succeeded}, 600)
    assert not bed.scheduler.engines.by_name["e2"].outlier.ejected


def test_connection_fault_adds_no_outlier_sample() -> None:
    for blames_engine in (True, False):
        bed = SchedulerTestBed(engines=3)
        (attempt,) = started(bed.receive())
        engine = bed.scheduler.engines.by_name[attempt.engine_name]
        samples_before = (engine.outlier.sample_sum, engine.outlier.sample_count)
        reset = AttemptCompleted(
            "r0", 0, attempt.engine_name, AttemptOutcome.RESET, 1000, False, 0, 0.0, {}, blames_engine
        )
        bed.handle(reset)
        samples_after = (engine.outlier.sample_sum, engine.outlier.sample_count)
        assert (samples_after == samples_before) is not blames_engine
        assert engine.usage.slots == 0
        assert bed.scheduler.table.requests["r0"].first_executed_us() is not None


def test_no_engine_is_ejected_if_all_fail() -> None:
    bed = SchedulerTestBed(engines=4)
    run_requests(bed, {f"e{number}": AttemptOutcome.ERROR for number in range(4)}, 100)
    assert not any(engine.outlier.ejected for engine in bed.scheduler.engines.by_name.values())
