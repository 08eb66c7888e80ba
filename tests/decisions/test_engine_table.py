"""Tests of the engine table in small and large fleets.

A stale record sends requests to engines that drain, have left or were replaced by a new process.
"""

from __future__ import annotations

from ashcross.decisions.events import (
    EndpointListKind,
    EndpointListUpdate,
    EndpointState,
)
from tests.harness.decision_model import LOOKUP, SchedulerTestBed, endpoint, make_settings, started


def test_restarted_engine_gets_a_new_record() -> None:
    bed = SchedulerTestBed(engines=2)
    bed.scheduler.engines.by_name["e0"].outlier.ejected = True
    bed.update_list([endpoint("e0", boot_us=bed.now), endpoint("e1")])
    assert not bed.scheduler.engines.by_name["e0"].outlier.ejected


def test_stale_endpoint_list_blocks_attempts_until_the_next() -> None:
    bed = SchedulerTestBed(make_settings(LOOKUP))
    bed.handle(EndpointListUpdate(EndpointListKind.STALE, 1, ()))
    assert not started(bed.receive())
    assert [attempt.engine_name for attempt in started(bed.update_list([endpoint("e0"), endpoint("e1")]))]


def large_fleet(count: int) -> SchedulerTestBed:
    bed = SchedulerTestBed(engines=0)
    bed.update_list([endpoint(f"e{number}") for number in range(count)], EndpointListKind.CACHED)
    return bed


def test_large_fleet_prefers_engines_with_a_connection() -> None:
    """With a random choice among 1,280 engines, nearly every query opened a new connection."""
    bed = large_fleet(600)
    names = set()
    for number in range(60):
        (attempt,) = started(bed.receive(work_estimate_us=50_000))
        names.add(attempt.engine_name)
        bed.complete(f"r{number}", attempt.engine_name, latency_us=50_000)
    assert len(names) <= 3


def test_removed_engine_gets_nothing_before_the_next_review() -> None:
    bed = large_fleet(600)
    for removed in range(590):
        state = EndpointState.REMOVED if removed % 2 else EndpointState.DRAINING
        bed.update_list([endpoint(f"e{removed}", state=state)], EndpointListKind.DELTA)
    for number in range(40):
        (attempt,) = started(bed.receive(work_estimate_us=50_000))
        assert int(attempt.engine_name[1:]) >= 590
        bed.complete(f"r{number}", attempt.engine_name, latency_us=50_000)
    bed.update_list([endpoint("e0", boot_us=bed.now - 60_000_000)], EndpointListKind.DELTA)  # a new process
    assert any(engine.endpoint.name == "e0" and engine.ready for engine in bed.scheduler.engines.ready)
