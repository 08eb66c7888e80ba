"""Tests of the MPL controller: next level, observation window, fits and class quotas.

A wrong level overloads the engines or leaves them idle; a wrong quota lets one class displace the others.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from ashcross.decisions import mpl_controller, utilisation
from ashcross.decisions.events import (
    AttemptOutcome,
    ClientDisconnected,
)
from tests.harness.decision_model import LOOKUP, SchedulerTestBed, make_settings, started


def next_level(observations: list[tuple[float, float]], level: float, utilisation: float = 0.775) -> float:
    """Return the next level after windows with these pairs of level and weighted miss ratio."""
    scheduler = SchedulerTestBed().scheduler
    mpl = scheduler.mpl
    for tried_level, miss_ratio in observations:
        mpl.miss_fit.add(tried_level, miss_ratio)
    mpl.lowest_tried = min(tried_level for tried_level, _ in observations)
    mpl.highest_tried = max(tried_level for tried_level, _ in observations)
    mpl.level = level
    return mpl.next_level(utilisation, scheduler.capacity.slot_step())


def test_convex_miss_curve_sets_level_to_its_minimum() -> None:
    observations = [(level, 0.1 + (level - 1.3) ** 2) for level in (1.0, 1.2, 1.6)]
    assert next_level(observations, 1.6) == pytest.approx(1.3)


def test_falling_miss_curve_raises_level_by_one_slot() -> None:
    observations = [(level, 0.9 - 0.3 * level) for level in (0.8, 1.0, 1.2)]
    # all 8 cores of the engine are ours, so one slot is 1/8 of the level
    assert next_level(observations, 1.2) == pytest.approx(1.2 + 1 / 8)


def test_falling_miss_curve_raises_level_to_utilisation_rule() -> None:
    observations = [(level, 0.9 - 0.3 * level) for level in (0.8, 1.0, 1.2)]
    assert next_level(observations, 1.2, utilisation=0.5) == pytest.approx(1.2 * 1.55 / (2 * 0.5))


def test_rising_miss_curve_lowers_level_by_one_slot() -> None:
    observations = [(level, 0.3 * level) for level in (0.8, 1.0, 1.2)]
    assert next_level(observations, 1.0) == pytest.approx(0.8 - 1 / 8)


def test_rising_miss_curve_lowers_level_to_utilisation_rule() -> None:
    observations = [(level, 0.3 * level) for level in (0.8, 1.0, 1.2)]
    assert next_level(observations, 0.8, utilisation=1.0) == pytest.approx(0.8 * 0.775 / 1.0)


def test_concave_miss_curve_uses_utilisation_rule() -> None:
    observations = [(level, 0.5 - (level - 1.2) ** 2) for level in (1.0, 1.2, 1.6)]
    assert next_level(observations, 1.0, utilisation=0.62) == pytest.approx(1.0 * 0.775 / 0.62)


def test_utilisation_is_read_from_fitted_line() -> None:
    scheduler = SchedulerTestBed().scheduler
    mpl = scheduler.mpl
    mpl.utilisation_fit.add(1.0, 0.5)
    mpl.utilisation_fit.add(2.0, 1.0)
    mpl.level = 1.5  # the line gives 0.75 at this level, whatever the last utilisation was
    assert mpl.next_level(0.1, scheduler.capacity.slot_step()) == pytest.approx(1.5 * 0.775 / 0.75)


def test_level_stays_within_bounds() -> None:
    bed = SchedulerTestBed(make_settings(LOOKUP))
    for _ in range(6):
        for _ in range(mpl_controller.WINDOW_COMPLETIONS):
            bed.receive(time_left_us=1)  # rejected at once, which counts as a miss
        bed.advance(100_000)
    assert mpl_controller.MINIMUM_LEVEL <= bed.scheduler.mpl.level <= utilisation.MAXIMUM_LEVEL


def run_request(bed: SchedulerTestBed, class_index: int, missed: bool) -> None:
    (attempt,) = started(bed.receive(class_index))
    if missed:
        bed.handle(ClientDisconnected(attempt.request_id))
    outcome = AttemptOutcome.CANCELLED if missed else AttemptOutcome.SUCCEEDED
    bed.complete(attempt.request_id, attempt.engine_name, outcome, request_is_over=True)


def test_class_quotas_follow_weighted_miss_ratios() -> None:
    bed = SchedulerTestBed(make_settings(LOOKUP, replace(LOOKUP, priority_weight=3.0)), engines=4)
    for number in range(15):
        run_request(bed, 0, missed=number < 6)  # miss ratio 0.4, weight 1/4
    for number in range(15):
        run_request(bed, 1, missed=number < 3)  # miss ratio 0.2, weight 3/4
    # The weighted miss ratio is 0.1 + 0.15 and both peaks are 1: the quotas are 0.1 / 0.125 and 0.15 / 0.125.
    assert bed.scheduler.mpl.classes[0].quota == 1.0  # 0.8, raised to the minimum of 1
    assert bed.scheduler.mpl.classes[1].quota == pytest.approx(1.2)


def test_class_quota_without_misses_is_peak_of_running_attempts() -> None:
    bed = SchedulerTestBed(make_settings(LOOKUP), engines=4)
    attempts = [started(bed.receive())[0] for _ in range(5)]
    for attempt in attempts:
        bed.complete(attempt.request_id, attempt.engine_name)
    for _ in range(25):
        run_request(bed, 0, missed=False)
    assert bed.scheduler.mpl.classes[0].quota == 5


def test_window_ends_with_ten_completions_per_class_or_after_five_seconds() -> None:
    bed = SchedulerTestBed()
    for _ in range(40):
        run_request(bed, 0, missed=False)
    assert bed.scheduler.mpl.miss_fit.count == 0
    for _ in range(9):
        run_request(bed, 1, missed=False)
    assert bed.scheduler.mpl.miss_fit.count == 0
    run_request(bed, 1, missed=False)
    assert bed.scheduler.mpl.miss_fit.count == 1
    run_request(bed, 0, missed=False)
    bed.advance(5_200_000)
    run_request(bed, 0, missed=False)
    assert bed.scheduler.mpl.miss_fit.count == 2


def test_workload_shift_resets_fits() -> None:
    bed = SchedulerTestBed(make_settings(LOOKUP))
    for number in range(60):
        (attempt,) = started(bed.receive(work_estimate_us=100_000 + number % 7 * 1000))
        bed.complete(attempt.request_id, attempt.engine_name)
    assert bed.scheduler.mpl.miss_fit.count == 2
    for number in range(30):
        (attempt,) = started(bed.receive(work_estimate_us=300_000 + number % 7 * 1000))
        bed.complete(attempt.request_id, attempt.engine_name)
    assert bed.scheduler.mpl.miss_fit.count == 1  # only the window of the new workload
