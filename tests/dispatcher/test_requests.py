"""Requests: each gets one final answer, in time."""

from __future__ import annotations

import base64
from typing import Any

import pytest

from ashcross.decisions.actions import FailRequest, RejectRequest
from ashcross.decisions.events import AttemptCompleted, AttemptOutcome, ClientDisconnected, RequestReceived
from ashcross.protocols.clients import json_rpc
from ashcross.protocols.host_interfaces import ClassifiedQuery
from tests.harness.dispatcher_bed import REQUEST_ID, START_US, DispatcherBed


def test_huge_time_limit_is_bounded() -> None:
    bed = DispatcherBed(max_request_us=2_000_000)
    assert bed.accept(limit_ms=1e8).deadline_us == START_US + 2_000_000
    assert bed.accept("b" * 16, limit_ms=500.0, call_id=8).deadline_us == START_US + 500_000


def test_time_left_counts_from_the_last_byte() -> None:
    bed = DispatcherBed()
    query = json_rpc.Query(REQUEST_ID, 1000.0, None, True, None, 820.0, 96.0, b"select")
    arrived_us = bed.now_us
    bed.now_us += 30_000  # the query is read 30 ms after its arrival
    request = bed.dispatcher.accept_request(
        bed.client, 7, ClassifiedQuery(0, "lookup", 17), query, arrived_us
    )
    bed.now_us += 15_000  # the batch begins 15 ms after that
    bed.run()
    (event,) = bed.scheduler.of(RequestReceived)
    assert (event.time_left_us, event.work_estimate_us, event.memory_mb, event.is_retry) == (
        955_000,
        820_000,
        96.0,
        True,
    )
    assert (event.table_group, event.ordering_key, event.tenant) == (17, None, None)
    assert request.deadline_us == arrived_us + 1_000_000


def test_result_is_sent_and_ends_the_request() -> None:
    bed = DispatcherBed()
    attempt = bed.start_first_attempt()
    attempt.pages = [b"a\tb\tc\n", b"d\te\tf\n"]
    bed.now_us += 18_500
    bed.dispatcher.complete_attempt(attempt, AttemptOutcome.SUCCEEDED)
    bed.dispatcher.complete_attempt(attempt, AttemptOutcome.RESET)  # a second outcome is ignored
    bed.run()
    (answer,) = bed.client.answers()
    assert answer["id"] == 7
    assert base64.b64decode(answer["result"]["body"]) == b"a\tb\tc\nd\te\tf\n"
    (event,) = bed.scheduler.of(AttemptCompleted)
    assert (event.outcome, event.request_is_over, event.latency_us) == (
        AttemptOutcome.SUCCEEDED,
        True,
        18_500,
    )
    assert not bed.requests.by_id
    assert not bed.requests.open_count


def test_rejection_and_failure_are_answered_once() -> None:
    bed = DispatcherBed()
    bed.scheduler.script = lambda now, event: (
        [RejectRequest(event.request_id, 200_500), FailRequest(event.request_id)]
        if isinstance(event, RequestReceived)
        else []
    )
    bed.accept()
    bed.run()
    (answer,) = bed.client.answers()
    assert answer["error"]["code"] == -32050
    assert answer["error"]["data"] == {"later": 201}
    bed.scheduler.script = (
        lambda now, event: [FailRequest(event.request_id)] if isinstance(event, RequestReceived) else []
    )
    bed.accept("b" * 16)
    bed.run()
    assert bed.client.answers()[1]["error"]["code"] not in (0, -32050)


def test_disconnected_client_gets_no_answer() -> None:
    bed = DispatcherBed()
    attempt = bed.start_first_attempt()
    bed.dispatcher.client_disconnected(attempt.request)
    bed.dispatcher.client_disconnected(attempt.request)
    bed.run()
    assert len(bed.scheduler.of(ClientDisconnected)) == 1
    attempt.pages = [b"x\n"]
    bed.dispatcher.complete_attempt(attempt, AttemptOutcome.SUCCEEDED)
    bed.run()
    assert bed.outcomes() == [(0, AttemptOutcome.SUCCEEDED, True)]
    assert not bed.client.frames
    assert not bed.requests.by_id


def test_request_cancelled_in_its_first_batch_is_not_passed_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an exception for a request that is accepted and cancelled while input is drained."""
    warnings: list[tuple[Any, ...]] = []
    monkeypatch.setattr(
        "ashcross.dispatcher.core.rate_limited_log.warn", lambda *warning: warnings.append(warning)
    )
    bed = DispatcherBed()
    bed.sends("e1")
    first = bed.accept()
    bed.now_us += 30_000
    bed.client.on_drain_input = lambda: bed.dispatcher.client_disconnected(bed.accept("b" * 16, call_id=8))
    bed.engines.on_start = lambda attempt, engine: bed.dispatcher.may_begin_attempt(attempt, engine)
    bed.run()
    bed.run()
    assert bed.client.drain_count == 1
    assert not first.is_over
    assert not warnings
    assert [event.request_id for event in bed.scheduler.of(RequestReceived)] == [REQUEST_ID]
    assert [event.request_id for event in bed.scheduler.of(ClientDisconnected)] == ["b" * 16]


def test_remaining_requests_are_failed_once() -> None:
    bed = DispatcherBed()
    bed.accept()
    bed.run()
    bed.dispatcher.fail_remaining_requests()
    bed.dispatcher.fail_remaining_requests()
    (answer,) = bed.client.answers()
    assert answer["error"]["code"] not in (0, -32050)


def test_requests_are_counted_by_their_end() -> None:
    bed = DispatcherBed()
    bed.scheduler.script = lambda now, event: (
        [RejectRequest(event.request_id, 0)]
        if isinstance(event, RequestReceived) and event.request_id == REQUEST_ID
        else []
    )
    bed.accept()
    bed.dispatcher.client_disconnected(bed.accept("b" * 16))
    bed.accept("c" * 16)
    bed.run(1_020_000)
    assert dict(bed.dispatcher.counts.items()) == {
        "accepted": 3,
        "served": 0,
        "rejected": 1,
        "failed": 1,
        "disconnected": 1,
        "overdue": 1,
    }
