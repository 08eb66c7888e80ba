"""Tests of rule 4 (slow-start budget): the work that many instances together send to a starting engine.

A starting engine fails if it gets more work in an overload window than the settings allow. docs/design.md
proves that the budgets of the instances prevent that; these tests sum up the work that arrives in each
sliding window, with restarts of instances, endpoint lists that reach them at different times, slow connects
and retries.
"""

from __future__ import annotations

import random
from dataclasses import replace
from math import sqrt

import pytest

from ashcross.decisions import slow_start
from ashcross.decisions.engines import Engine
from ashcross.decisions.slow_start import SlowStart
from ashcross.decisions.timing import LONG_AGO_US
from tests.harness.decision_model import LOOKUP, SchedulerTestBed, endpoint, make_settings, started
from tests.harness.starting_engine import ALLOWED_CALLS, MEANS_US, StartingEngine

# simulated time and step (us), by the number of instances
RUN_SPANS_US = {
    1: (9_000_000, 40_000),
    3: (9_000_000, 40_000),
    4: (9_000_000, 50_000),
    10: (7_000_000, 100_000),
    20: (5_000_000, 100_000),
    30: (5_000_000, 125_000),
    200: (3_000_000, 250_000),
}


def test_flapping_endpoint_list_does_not_renew_budget() -> None:
    bed = SchedulerTestBed(make_settings(replace(LOOKUP, slots=1), instance_count=1), engines=0)
    endpoints = [endpoint("e0", boot_us=bed.now - 1)]
    started_count = 0
    for _ in range(6):
        bed.update_list(endpoints)
        for _ in range(3):
            started_count += len(started(bed.receive(work_estimate_us=1_000_000)))
        bed.update_list([])
    assert started_count * 1_000_000 <= 2.0 * 0.3 * 0.85 * 8 * 1_000_000


def test_many_instances_take_turns_at_a_starting_engine() -> None:
    """Together they stay within the budget of each window, and yet the engine gets work."""
    beds = [
        SchedulerTestBed(
            make_settings(LOOKUP, instance_count=40, instance_index=index), engines=0, seed=index
        )
        for index in range(40)
    ]
    settings, boot_us, arrivals = beds[0].settings, beds[0].now, []
    for bed in beds:
        bed.update_list([endpoint("e0", boot_us=boot_us), endpoint("e1", boot_us=boot_us)])
    for step in range(150):  # each instance receives far more than it may send
        for bed in beds:
            while attempts := started(bed.receive(work_estimate_us=300_000)):
                for attempt in attempts:
                    arrivals.append((bed.now, attempt.engine_name))
                    bed.complete(attempt.request_id, attempt.engine_name)
            for attempt in started(bed.advance(100_000)):
                arrivals.append((bed.now, attempt.engine_name))
                bed.complete(attempt.request_id, attempt.engine_name)
            bed.now = boot_us + (step + 1) * 100_000
    budget_us = (
        settings.overload_threshold
        * settings.slow_start_initial_share
        * 0.85
        * 8
        * settings.overload_window_us
    )
    for name in ("e0", "e1"):
        arrivals_us = [
            at_us
            for at_us, engine_name in arrivals
            if engine_name == name and at_us < boot_us + settings.slow_start_us
        ]
        largest_count = max(
            sum(end_us - settings.overload_window_us < at_us <= end_us for at_us in arrivals_us)
            for end_us in arrivals_us
        )
        assert largest_count * 300_000 <= budget_us
        assert (
            len(arrivals_us) * 300_000
            >= 0.18 * budget_us * settings.slow_start_us / settings.overload_window_us
        )


@pytest.mark.parametrize("restarts_s", [0.0, 0.7])
@pytest.mark.parametrize("count", RUN_SPANS_US)
def test_starting_engine_gets_at_most_the_allowed_work(count: int, restarts_s: float) -> None:
    fleet = StartingEngine(count, random.Random(count), restarts_s)
    fleet.run(*RUN_SPANS_US[count])
    # without any tolerance: each request is charged at least its own work
    assert fleet.largest_window() <= ALLOWED_CALLS
    if not restarts_s:
        assert fleet.utilisation(RUN_SPANS_US[count][0]) >= 0.2  # the budget is also used


def exceeds_budget(fleet: StartingEngine) -> bool:
    """Return whether the engine got more work than random variation explains."""
    fleet.run(*RUN_SPANS_US[fleet.count])
    return fleet.largest_window() > ALLOWED_CALLS + 2 * sqrt(ALLOWED_CALLS) + 2


@pytest.mark.parametrize(("count", "restarts_s"), [(3, 0.35), (10, 0.2)])
def test_budget_renewed_at_restart_is_detected(
    count: int, restarts_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    def ignore_restart(slow_start: SlowStart, now: int) -> None:
        """Let an instance send right after a restart, whatever its earlier incarnation has sent."""
        slow_start._first_event_us = LONG_AGO_US

    monkeypatch.setattr(SlowStart, "note_event", ignore_restart)
    assert exceeds_budget(StartingEngine(count, random.Random(count), restarts_s))


@pytest.mark.parametrize("count", [20, 30, 200])
def test_budget_without_turns_is_detected(count: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each instance gets at all times the part that it should have only in its turn."""
    budget_parts = slow_start.BUDGET_PARTS
    budget_us = SlowStart.budget_us

    def without_turns(self: SlowStart, engine: Engine, now: int) -> float:
        return budget_us(self, engine, now) * self._settings.instance_count / budget_parts

    monkeypatch.setattr(slow_start, "BUDGET_PARTS", 1 << 30)
    monkeypatch.setattr(SlowStart, "budget_us", without_turns)
    assert exceeds_budget(StartingEngine(count, random.Random(count)))


@pytest.mark.parametrize("count", [200])
def test_budget_part_rounded_up_is_detected(count: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each instance gets a part at all times, of at least twice the mean work of the lighter class."""
    budget_us = SlowStart.budget_us

    def rounded_up(self: SlowStart, engine: Engine, now: int) -> float:
        return max(budget_us(self, engine, now), 2 * MEANS_US[0])

    monkeypatch.setattr(slow_start, "BUDGET_PARTS", 1 << 30)
    monkeypatch.setattr(SlowStart, "budget_us", rounded_up)
    assert exceeds_budget(StartingEngine(count, random.Random(count)))
