"""Attempts: when they may begin, and their one outcome."""

from __future__ import annotations

from functools import partial

import pytest

from ashcross.decisions.actions import CancelAttempt, FailRequest, SetAttemptTerms, StartAttempt
from ashcross.decisions.events import (
    AttemptCompleted,
    AttemptOutcome,
    AttemptProgress,
    EndpointState,
    ProgressKind,
    RequestReceived,
    TimerFired,
)
from ashcross.registry.endpoint_registry import EngineRecord
from ashcross.registry.request_registry import AttemptRecord, AttemptStage
from tests.harness.dispatcher_bed import (
    REQUEST_ID,
    START_US,
    DispatcherBed,
    PrioritySet,
    Released,
    discovered_endpoint,
    endpoint_list_event,
)


def test_failed_connect_leaves_the_request_unanswered() -> None:
    bed = DispatcherBed()
    bed.dispatcher.complete_attempt(bed.start_first_attempt(), AttemptOutcome.CONNECT_FAILED)
    bed.run()
    assert bed.outcomes() == [(0, AttemptOutcome.CONNECT_FAILED, False)]
    assert [attempt.number for attempt in bed.engines.started] == [0, 1]
    assert not bed.client.frames


def test_deadline_ends_the_attempt_before_the_scheduler_answers() -> None:
    bed = DispatcherBed()
    attempt = bed.start_first_attempt()
    bed.scheduler.script = lambda now, event: (
        [FailRequest(event.request_id)] if isinstance(event, AttemptCompleted) else []
    )
    bed.run(999_999)
    assert not bed.outcomes()
    bed.run(1)
    assert bed.outcomes() == [(0, AttemptOutcome.TIMEOUT, False)]
    assert bed.engines.connection.calls == [Released(0, AttemptStage.REQUESTED)]
    assert attempt.completed
    assert len(bed.client.frames) == 1
    assert bed.now_us == START_US + 1_000_000


def test_timed_out_attempt_is_reported_after_the_cancel_grace() -> None:
    bed = DispatcherBed()
    bed.scheduler.script = lambda now, event: (
        [StartAttempt(event.request_id, "e1", 100_000)] if isinstance(event, RequestReceived) else []
    )
    bed.accept()
    bed.run(100_000)
    assert bed.engines.connection.calls
    assert not bed.outcomes()
    bed.run(10_000)
    assert bed.outcomes() == [(0, AttemptOutcome.TIMEOUT, False)]


def test_cancelled_attempt_is_reported_after_the_cancel_grace() -> None:
    """Guards against two attempts that execute at once: a retry could overtake the KILL of the first."""
    bed = DispatcherBed()
    attempt = bed.start_first_attempt()
    bed.dispatcher.enqueue_event(TimerFired(0))
    script = bed.scheduler.script
    bed.scheduler.script = lambda now, event: (
        [CancelAttempt(REQUEST_ID, 0)] if isinstance(event, TimerFired) else script(now, event)
    )
    bed.run()
    assert bed.engines.connection.calls == [Released(0, AttemptStage.REQUESTED)]
    assert attempt.completed
    bed.run(9_000)
    assert len(bed.engines.started) == 1
    assert not bed.outcomes()
    bed.run(1_000)
    assert bed.outcomes() == [(0, AttemptOutcome.CANCELLED, False)]
    assert len(bed.engines.started) == 2


def test_answer_that_crosses_a_cancel_is_ignored() -> None:
    bed = DispatcherBed()
    attempt = bed.start_first_attempt()
    bed.dispatcher.enqueue_event(TimerFired(0))
    bed.scheduler.script = (
        lambda now, event: [CancelAttempt(REQUEST_ID, 0)] if isinstance(event, TimerFired) else []
    )
    bed.run()
    attempt.pages = [b"late\n"]
    bed.dispatcher.complete_attempt(attempt, AttemptOutcome.SUCCEEDED)
    bed.run(20_000)
    assert bed.outcomes() == [(0, AttemptOutcome.CANCELLED, False)]
    assert not bed.client.frames


@pytest.mark.parametrize("cause", ["cancel", "deadline"])
def test_attempt_stopped_while_connecting_is_not_sent(cause: str) -> None:
    bed = DispatcherBed()
    attempt = bed.start_first_attempt()
    attempt.stage = AttemptStage.CONNECTING
    if cause == "cancel":
        bed.dispatcher.enqueue_event(TimerFired(0))
        bed.scheduler.script = (
            lambda now, event: [CancelAttempt(REQUEST_ID, 0)] if isinstance(event, TimerFired) else []
        )
        bed.run()
    else:
        bed.scheduler.script = lambda now, event: []
        bed.run(1_000_000)
    assert bed.outcomes() == [(0, AttemptOutcome.NOT_SENT, False)]


def test_disallowed_attempts_are_not_sent() -> None:
    bed = DispatcherBed()
    bed.scheduler.script = lambda now, event: (
        [
            StartAttempt(event.request_id, engine_name, timeout_us)
            for engine_name, timeout_us in (("e1", 0), ("e2", 0), ("none", 0), ("e1", -1))
        ]
        if isinstance(event, RequestReceived)
        else []
    )
    bed.accept()
    bed.run()
    # the hedged attempt, the one to an unknown engine, and the fourth attempt
    assert [outcome for _, outcome, _ in bed.outcomes()] == [AttemptOutcome.NOT_SENT] * 3
    assert [attempt.number for attempt in bed.engines.started] == [0]


def test_number_of_attempts_is_limited() -> None:
    bed = DispatcherBed()
    bed.sends("e1", "e2", "e1", "e2", "e1")
    bed.accept()
    bed.run()
    for _ in range(3):
        bed.dispatcher.complete_attempt(bed.engines.started[-1], AttemptOutcome.OVERLOADED)
        bed.run()
    assert len(bed.engines.started) == 3
    # the fourth and fifth attempts were never written
    assert [outcome for _, outcome, _ in bed.outcomes()] == [AttemptOutcome.OVERLOADED] * 3 + [
        AttemptOutcome.NOT_SENT
    ] * 2


def test_attempt_after_a_disconnect_in_the_same_batch_is_not_sent() -> None:
    bed = DispatcherBed()
    bed.sends("e1")
    request = bed.accept()
    bed.dispatcher.client_disconnected(request)
    bed.run()
    assert bed.outcomes() == [(0, AttemptOutcome.NOT_SENT, True)]
    assert not bed.engines.started
    assert not bed.requests.by_id


def test_engine_that_drains_in_the_same_batch_gets_no_attempt() -> None:
    bed = DispatcherBed()
    bed.sends("e1")
    bed.accept()
    bed.dispatcher.receive_endpoint_list_event(
        endpoint_list_event(discovered_endpoint("e1", state=EndpointState.DRAINING))
    )
    bed.run()
    assert bed.outcomes() == [(0, AttemptOutcome.NOT_SENT, False)]
    assert not bed.engines.started


def test_priority_applies_to_later_attempts_and_those_in_flight() -> None:
    bed = DispatcherBed()
    bed.scheduler.script = lambda now, event: (
        [SetAttemptTerms(event.request_id, 0.0, 3), StartAttempt(event.request_id, "e1", 0)]
        if isinstance(event, RequestReceived)
        else [SetAttemptTerms(REQUEST_ID, 0.0, 3), SetAttemptTerms(REQUEST_ID, 0.0, 0)]
    )
    request = bed.accept()
    bed.run()
    assert request.priority == 3
    assert not bed.engines.connection.calls
    bed.dispatcher.enqueue_event(TimerFired(0))
    bed.run()
    assert bed.engines.connection.calls == [PrioritySet(0, 0)]


def test_change_since_the_decision_prevents_the_attempt() -> None:
    """Each change alone prevents the attempt from beginning."""

    def bed_and_attempt(wait_us: int = 30_000) -> tuple[DispatcherBed, AttemptRecord, EngineRecord]:
        bed = DispatcherBed()
        request = bed.accept()
        attempt = AttemptRecord(request, 0, "e1", bed.now_us, bed.now_us + 500_000)
        bed.now_us += wait_us
        return bed, attempt, bed.endpoints.engines["e1"]

    bed, attempt, engine = bed_and_attempt()
    assert bed.dispatcher.may_begin_attempt(attempt, engine)
    assert bed.client.drain_count == 1
    bed, attempt, engine = bed_and_attempt(wait_us=10_000)  # the request has just arrived
    assert bed.dispatcher.may_begin_attempt(attempt, engine)
    assert bed.client.drain_count == 0
    bed, attempt, engine = bed_and_attempt()
    # the client's cancel or close has arrived but is not read yet
    bed.client.on_drain_input = partial(bed.dispatcher.client_disconnected, attempt.request)
    assert not bed.dispatcher.may_begin_attempt(attempt, engine)
    bed, attempt, engine = bed_and_attempt(wait_us=500_000)  # the attempt has expired
    assert not bed.dispatcher.may_begin_attempt(attempt, engine)
    bed, attempt, engine = bed_and_attempt()
    attempt.completed = True
    assert not bed.dispatcher.may_begin_attempt(attempt, engine)
    for discovered in (
        discovered_endpoint("e1", state=EndpointState.DRAINING),
        discovered_endpoint("e1", state=EndpointState.REMOVED),
        discovered_endpoint("e1", boot_us=7),  # another process at the same address
    ):
        bed, attempt, engine = bed_and_attempt()
        bed.endpoints.apply_events([endpoint_list_event(discovered, event_number=2)])
        assert not bed.dispatcher.may_begin_attempt(attempt, engine)
    bed, attempt, engine = bed_and_attempt()
    bed.dispatcher.set_list_freshness(False)
    assert not bed.dispatcher.may_begin_attempt(attempt, engine)


def test_progress_reaches_the_scheduler() -> None:
    bed = DispatcherBed()
    bed.dispatcher.attempt_progressed(bed.start_first_attempt(), ProgressKind.PROGRESS, 0.5)
    bed.run()
    assert bed.scheduler.of(AttemptProgress) == [
        AttemptProgress(REQUEST_ID, 0, "e1", ProgressKind.PROGRESS, 0.5)
    ]
