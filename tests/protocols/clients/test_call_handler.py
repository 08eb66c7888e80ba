"""Tests of the handling of calls: pings, aborts, queries, and checks before the scheduler gets them."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from ashcross.decisions.events import (
    AttemptOutcome,
    ClientDisconnected,
    RequestReceived,
)
from ashcross.protocols.clients import json_rpc
from ashcross.service.phases import Phase
from tests.harness.client_bed import KNOWN, ClientBed, query_call, read_answers
from tests.harness.dispatcher_bed import REQUEST_ID


def test_request_id_that_engines_may_still_answer_is_not_accepted_again() -> None:
    """Engines name attempts by the request id alone: a late answer would be matched to the new request."""
    bed = ClientBed()
    connection, transport = bed.connect()
    bed.sends("e1")
    connection.dataReceived(query_call(1))
    bed.run()
    request = connection.open_requests[1]
    request.attempts[0].first_byte_us = bed.now_us
    bed.dispatcher.complete_attempt(request.attempts[0], AttemptOutcome.SUCCEEDED)
    bed.run()
    assert [answer.code for answer in read_answers(transport)] == [0]
    assert REQUEST_ID not in bed.requests.by_id
    connection.dataReceived(query_call(2))
    connection.dataReceived(query_call(3, "b" * 16))
    bed.run()
    assert [(answer.call_id, answer.code) for answer in read_answers(transport)] == [
        (2, json_rpc.INVALID_PARAMS)
    ]
    assert sorted(connection.open_requests) == [3]


def test_ordered_class_uses_its_table_as_ordering_key() -> None:
    """Every request reached the scheduler without an ordering key, so ordered classes were never ordered."""
    bed = ClientBed()
    bed.clients.known = replace(KNOWN, ordered=frozenset(("load",)))
    connection, _ = bed.connect()
    connection.dataReceived(query_call(1, "a" * 16, "load", unique="5c0f") + query_call(2, "b" * 16))
    bed.run()
    assert [event.ordering_key for event in bed.scheduler.of(RequestReceived)] == ["sales_17.orders", None]


def test_ping_reports_whether_the_phase_is_healthy() -> None:
    bed = ClientBed()
    connection, transport = bed.connect()
    connection.dataReceived(json_rpc.call("ping", 1, {}))
    bed.phases.enter(Phase.DRAINING)
    connection.dataReceived(json_rpc.call("ping", 2, {}))
    assert [answer.result for answer in read_answers(transport)] == [{"well": True}, {"well": False}]


@pytest.mark.parametrize("params", [{"id": 7}, {"txn": REQUEST_ID}, [7]])
@pytest.mark.parametrize("call_id", [None, 99])
def test_abort_drops_the_request_without_an_answer(params: Any, call_id: int | None) -> None:
    bed = ClientBed()
    connection, transport = bed.connect()
    connection.dataReceived(query_call())
    bed.run()
    connection.dataReceived(json_rpc.call("abort", call_id, params) * 2)
    bed.run()
    assert [event.request_id for event in bed.scheduler.of(ClientDisconnected)] == [REQUEST_ID]
    assert not connection.open_requests
    assert not transport.take_written()
    assert not transport.aborted


def test_abort_under_the_call_id_of_the_request() -> None:
    bed = ClientBed()
    connection, _ = bed.connect()
    connection.dataReceived(query_call() + json_rpc.call("abort", 7, {}))
    bed.run()
    assert len(bed.scheduler.of(ClientDisconnected)) == 1


def test_open_request_id_is_rejected_as_invalid() -> None:
    bed = ClientBed()
    connection, transport = bed.connect()
    connection.dataReceived(query_call(1) + query_call(2))
    assert [(a.call_id, a.code) for a in read_answers(transport)] == [(2, json_rpc.INVALID_PARAMS)]


def test_queries_over_the_limits_are_rejected_before_the_scheduler() -> None:
    bed = ClientBed()
    connection, transport = bed.connect()
    for number in range(6):
        connection.dataReceived(query_call(number + 1, f"{number:016x}"))
    bed.run()
    assert [(a.call_id, a.code) for a in read_answers(transport)] == [(5, -32050), (6, -32050)]
    assert len(bed.scheduler.of(RequestReceived)) == 4
    bed.requests.max_open = 4
    other, other_transport = bed.connect()
    other.dataReceived(query_call(1, "f" * 16))
    assert read_answers(other_transport)[0].code == -32050


def test_unread_answers_count_as_open_requests() -> None:
    bed = ClientBed(max_unsent_bytes=100_000)
    connection, transport = bed.connect()
    connection.dataReceived(b"".join(query_call(call_id, f"{call_id:016x}") for call_id in (1, 2, 3)))
    connection.pauseProducing()
    connection.reply(1, b"")
    connection.reply(2, b"")
    transport.take_written()
    connection.dataReceived(b"".join(query_call(call_id, f"{call_id:016x}") for call_id in (4, 5)))
    assert sorted(connection.open_requests) == [3, 4]
    assert [(answer.call_id, answer.code) for answer in read_answers(transport)] == [(5, json_rpc.REJECTED)]
    connection.resumeProducing()
    connection.dataReceived(query_call(6, f"{6:016x}"))
    assert sorted(connection.open_requests) == [3, 4, 6]
