"""The dispatcher core: batches, and exceptions in them."""

from __future__ import annotations

from typing import Any

import pytest

from ashcross.decisions.actions import Action, LogMessage, RejectRequest, StartAttempt, StartTimer
from ashcross.decisions.events import ClientDisconnected, Event, RequestReceived, ShutdownStarted
from tests.harness.dispatcher_bed import REQUEST_ID, DispatcherBed, discovered_endpoint, endpoint_list_event


def test_ready_events_reach_the_scheduler_in_one_batch_in_order() -> None:
    bed, order = DispatcherBed(), list[str]()

    def script(now: int, event: Any) -> list[Action]:
        order.append(type(event).__name__)
        return [LogMessage("x")]

    bed.scheduler.script = script
    bed.accept("a" * 16, call_id=1)
    bed.accept("b" * 16, call_id=2)
    bed.dispatcher.receive_endpoint_list_event(endpoint_list_event(discovered_endpoint("e3")))
    assert not bed.scheduler.received  # the batch has not run yet
    bed.run()
    assert order == ["EndpointListUpdate", "RequestReceived", "RequestReceived"]
    assert len({now for now, _ in bed.scheduler.received}) == 1


def test_scheduler_exception_leaves_each_request_with_one_answer() -> None:
    bed = DispatcherBed()

    def failing(now: int, event: Event) -> list[Action]:
        if isinstance(event, RequestReceived) and event.request_id == REQUEST_ID:
            raise RuntimeError("raised by the test")
        return [RejectRequest(event.request_id, 0)] if isinstance(event, RequestReceived) else []

    bed.scheduler.script = failing
    bed.accept()
    bed.accept("b" * 16, call_id=8)
    bed.run()
    assert [call_id for call_id, _ in bed.client.frames] == [8]
    bed.run(1_020_000)
    assert [call_id for call_id, _ in bed.client.frames] == [8, 7]
    assert bed.client.answers()[1]["error"]["code"] != -32050
    assert len(bed.scheduler.of(ClientDisconnected)) == 1
    assert bed.dispatcher.counts.overdue == 1


def test_next_batch_runs_after_exceptions(monkeypatch: pytest.MonkeyPatch) -> None:
    bed = DispatcherBed()
    bed.requests.deadlines.add(bed.now_us + 5, lambda argument: print(1 / 0), None)
    bed.accept()
    bed.run(5)
    monkeypatch.setattr(bed.endpoints, "apply_events", lambda events: 1 / 0)
    bed.dispatcher.receive_endpoint_list_event(endpoint_list_event(discovered_endpoint("e3")))
    bed.accept("b" * 16)
    bed.run()
    assert len(bed.scheduler.of(RequestReceived)) == 2
    bed.run(1_020_000)
    assert len(bed.client.frames) == 2


def test_failing_action_does_not_stop_later_actions() -> None:
    bed = DispatcherBed()
    bed.scheduler.script = lambda now, event: (
        [StartAttempt("unknown", "e1", 0), StartTimer("soon", 1), RejectRequest(event.request_id, 0)]  # type: ignore[arg-type]
        if isinstance(event, RequestReceived)
        else []
    )
    bed.accept()
    bed.run()
    assert len(bed.client.frames) == 1


def test_batches_during_shutdown_notify_the_scheduler_while_requests_are_open() -> None:
    bed = DispatcherBed()
    bed.scheduler.script = lambda now, event: (
        [RejectRequest(REQUEST_ID, 0)] if isinstance(event, ShutdownStarted) else []
    )
    bed.dispatcher.shutting_down = True
    bed.accept()
    bed.run()
    assert len(bed.client.frames) == 1
    assert len(bed.scheduler.of(ShutdownStarted)) == 1
    bed.run(2_000_000)
    assert len(bed.scheduler.of(ShutdownStarted)) == 1
