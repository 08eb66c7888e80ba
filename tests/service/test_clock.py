"""Tests of the dispatcher's clock.

A clock that followed a step of the system's time would move the deadlines of all open requests.
"""

from __future__ import annotations

import time

import pytest

from ashcross.service.clock import Clock


def test_clock_is_unix_time_and_ignores_wall_clock_step(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = Clock()
    before_us = clock()
    assert abs(before_us - time.time_ns() // 1000) < 5_000_000
    stepped_ns = time.time_ns() - 3_600_000_000_000
    monkeypatch.setattr(time, "time_ns", lambda: stepped_ns)
    assert before_us <= clock() < before_us + 60_000_000
