"""Tests of engine selection: which engine gets a request.

A poor choice queues requests on loaded engines or opens a connection for each request, and comparing all
engines of a large fleet for each request takes too long.
"""

from __future__ import annotations

from dataclasses import replace

from ashcross.decisions.engines import Engine
from ashcross.decisions.requests import Request
from tests.harness.decision_model import LOAD, LOOKUP, SchedulerTestBed, fill_engines, make_settings, started


def test_all_engines_are_tried_before_request_waits() -> None:
    bed = SchedulerTestBed(make_settings(LOOKUP), engines=3)
    assert {attempt.engine_name for attempt in fill_engines(bed)} == {"e0", "e1", "e2"}


def test_second_table_load_uses_another_engine() -> None:
    bed = SchedulerTestBed(make_settings(replace(LOAD, ordered=False)), engines=2)
    (first,) = started(bed.receive(table_group=5))
    (second,) = started(bed.receive(table_group=5))
    assert first.engine_name != second.engine_name


def test_few_engines_are_compared_in_large_fleet() -> None:
    bed = SchedulerTestBed(make_settings(LOOKUP, instance_count=100), engines=200)
    checked_names: list[str] = []
    may_send_to = bed.scheduler.checks.may_send_to

    def record_check(request: Request, engine: Engine, now: int) -> bool:
        checked_names.append(engine.endpoint.name)
        return may_send_to(request, engine, now)

    bed.scheduler.checks.may_send_to = record_check  # type: ignore[method-assign]
    for _ in range(20):
        assert started(bed.receive())
    assert len(checked_names) <= 20 * 10  # a comparison of all engines would take 20 x 200
    # the requests are still spread over the fleet
    assert len({attempt.engine_name for attempt in started(bed.actions)}) > 15


def test_connection_price_favours_engines_with_a_connection() -> None:
    engine_counts = []
    for price in (0.0, 0.08):
        settings = make_settings(
            LOOKUP, instance_count=100, connection_price=price, connection_idle_us=15_000_000
        )
        bed = SchedulerTestBed(settings, engines=60)
        names = []
        for number in range(60):
            for attempt in started(bed.receive(table_group=number)):
                names.append(attempt.engine_name)
                bed.complete(attempt.request_id, attempt.engine_name)
            bed.advance(50_000)
        engine_counts.append(len(set(names)))
    assert engine_counts[1] < 0.7 * engine_counts[0]
