"""Start times of engines when wall clocks are right, wrong or stepped."""

from __future__ import annotations

import pytest

from ashcross.decisions.events import Endpoint, EndpointState
from ashcross.registry.start_times import StartTimes


def started_at(boot_us: int) -> Endpoint:
    return Endpoint("e", "z", "k", 0, EndpointState.READY, 1.0, boot_us)


NOW_US = 10**15
HOUR_US = 3_600_000_000


@pytest.mark.parametrize(
    ("wall_clock_offset_us", "announced_age_us", "unseen_us", "expected_age_us", "is_certain"),
    [
        (0, 2_000_000, 1_000_000, 2_000_000, True),
        (0, 2_000_000, None, 2_000_000, True),
        (0, HOUR_US, None, HOUR_US, True),  # listed when the dispatcher started: it can have any age
        (HOUR_US, 2_000_000, 1_000_000, 8_000_000, False),  # the wall clock is ahead
        (-HOUR_US, 2_000_000, 1_000_000, 0, False),  # the wall clock is behind
        (-HOUR_US, 2_000_000, None, 0, False),
        (0, -5_000_000, 1_000_000, -5_000_000, True),  # announced before it happens
        (0, 9_000_000, 1_000_000, 8_000_000, True),
    ],
)
def test_announced_start_is_bounded_by_observation(
    wall_clock_offset_us: int,
    announced_age_us: int,
    unseen_us: int | None,
    expected_age_us: int,
    is_certain: bool,
) -> None:
    times = StartTimes(lambda: NOW_US, lambda: NOW_US + wall_clock_offset_us)
    endpoint = times.with_start_time(started_at(NOW_US - announced_age_us), unseen_us)
    assert (NOW_US - endpoint.start_us, endpoint.start_is_certain) == (expected_age_us, is_certain)


def test_known_start_is_kept_after_a_clock_step() -> None:
    wall_clock_offset_us = [0]
    times = StartTimes(lambda: NOW_US, lambda: NOW_US + wall_clock_offset_us[0])
    first = times.with_start_time(started_at(NOW_US - 5_000_000), None)
    wall_clock_offset_us[0] = -HOUR_US
    assert times.with_start_time(started_at(NOW_US - 5_000_000), 0) == first
    assert times.with_start_time(started_at(0), 0).started_us is None
