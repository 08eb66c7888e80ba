"""Tests of the number of health checks, which must not cost a noticeable share of the engines' work."""

from __future__ import annotations

from ashcross.decisions.actions import (
    StartHealthCheck,
)
from tests.harness.decision_model import LOOKUP, SchedulerTestBed, make_settings, started


def test_health_checks_are_limited_per_request() -> None:
    bed = SchedulerTestBed(
        make_settings(LOOKUP, instance_count=50, load_report_fields=("cpu",), health_checks_allowed=True),
        engines=40,
    )
    for number in range(50):
        for attempt in started(bed.receive(table_group=number)):
            bed.complete(attempt.request_id, attempt.engine_name)
        bed.advance(400_000)
    assert 5 <= sum(isinstance(action, StartHealthCheck) for action in bed.actions) <= 15


def test_health_checks_cost_at_most_a_hundredth_of_the_weight() -> None:
    counts = []
    for price in (0.01, 0.08):
        settings = make_settings(
            LOOKUP,
            instance_count=50,
            load_report_fields=("cpu",),
            health_checks_allowed=True,
            health_check_price=price,
        )
        bed = SchedulerTestBed(settings, engines=40)
        for number in range(80):
            for attempt in started(bed.receive(table_group=number)):
                bed.complete(attempt.request_id, attempt.engine_name)
            bed.advance(400_000)
        counts.append(sum(isinstance(action, StartHealthCheck) for action in bed.actions))
    assert counts[0] >= 2 * counts[1] > 0
    assert counts[1] <= 80 * 0.01 / 0.08 + 1
