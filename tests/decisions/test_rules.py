"""The seven rules hold for random valid events and settings; an independent referee checks each action."""

from __future__ import annotations

from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from ashcross.decisions.events import ShutdownStarted
from tests.harness.random_play import RandomPlay


@given(st.integers(0, 10_000))
@hypothesis_settings(
    max_examples=150, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
def test_rules_hold_for_random_events(seed: int) -> None:
    play = RandomPlay(seed)
    for _ in range(250):
        play.step()
    play.finish()
    assert all(request.completed for request in play.referee.requests.values())


@given(st.integers(0, 10_000))
@hypothesis_settings(
    max_examples=50, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
def test_shutdown_ends_all_open_requests_within_the_rules(seed: int) -> None:
    play = RandomPlay(seed)
    for _ in range(120):
        play.step()
    play.handle(ShutdownStarted())
    assert all(request.completed for request in play.referee.requests.values())
    play.handle(ShutdownStarted())  # the referee fails the test if a request gets a second final answer


def test_same_events_give_the_same_actions() -> None:
    for seed in range(10):
        action_lists = []
        for _ in range(2):
            play = RandomPlay(seed)
            for _ in range(300):
                play.step()
            action_lists.append(play.actions)
        assert action_lists[0] == action_lists[1]


def test_scheduler_state_is_bounded() -> None:
    play = RandomPlay(4)
    for _ in range(3000):
        play.step()
    play.finish()
    for _ in range(300):
        play.bed.advance(100_000)
    scheduler = play.bed.scheduler
    assert len(play.referee.requests) > 1000
    collections = (scheduler.table.requests, scheduler.table.attempts_in_flight, scheduler.queue.entries)
    assert [len(collection) for collection in collections] == [0] * 3
    assert scheduler.ordering.is_empty()
    assert scheduler.retries.budget.is_empty(play.bed.now)
    assert len(scheduler.engines.by_name) <= 6
