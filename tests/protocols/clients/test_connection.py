"""Tests of a client connection over an in-memory transport: reading, answering, closing."""

from __future__ import annotations

import pytest

from ashcross.decisions.events import (
    ClientDisconnected,
    RequestReceived,
)
from ashcross.protocols.clients import json_rpc
from ashcross.protocols.clients.close_reason import CloseReason
from tests.harness.client_bed import ClientBed, query_call, read_answers
from tests.harness.memory_transport import CONNECTION_DONE


def test_queries_are_parsed_when_split_or_joined_in_reads() -> None:
    bed = ClientBed()
    connection, _ = bed.connect()
    stream = query_call(1, "a" * 16) + query_call(2, "b" * 16) + query_call(3, "c" * 16)
    connection.dataReceived(stream[:100])
    connection.dataReceived(stream[100:])
    bed.run()
    assert [event.table_group for event in bed.scheduler.of(RequestReceived)] == [17, 17, 17]
    assert sorted(connection.open_requests) == [1, 2, 3]


def test_lost_connection_drops_its_requests() -> None:
    bed = ClientBed()
    connection, transport = bed.connect()
    connection.dataReceived(query_call(1, "a" * 16) + query_call(2, "b" * 16))
    bed.run()
    connection.connectionLost(CONNECTION_DONE)
    bed.run()
    assert len(bed.scheduler.of(ClientDisconnected)) == 2
    assert not bed.clients.connections
    connection.reply(1, b"late")
    assert not transport.take_written()


def test_invalid_calls_with_an_id_get_an_error_and_other_calls_proceed() -> None:
    bed = ClientBed()
    connection, transport = bed.connect()
    connection.dataReceived(
        query_call(1, method="dance")
        + query_call(2, request_id="zz")
        + json_rpc.call("lookup", 3, {})
        + query_call(4)
    )
    bed.run()
    assert [(a.call_id, a.code) for a in read_answers(transport)] == [
        (1, json_rpc.UNKNOWN_METHOD),
        (2, json_rpc.INVALID_PARAMS),
        (3, json_rpc.INVALID_PARAMS),
    ]
    assert len(bed.scheduler.of(RequestReceived)) == 1
    assert not transport.aborted


@pytest.mark.parametrize(
    "invalid_call",
    [
        b"Content-Length: 9999\r\n\r\n",
        b"nonsense\r\n\r\n",
        json_rpc.frame(b"{"),
        json_rpc.frame(b"[]"),
        json_rpc.call("lookup", None, {}),
        query_call(1, "b" * 16),  # the id is open, so an error under it would be a second answer
        json_rpc.frame(b"{") + query_call(2, "b" * 16),  # the second call came too late, and is rejected
    ],
)
def test_call_without_usable_id_closes_only_its_connection(invalid_call: bytes) -> None:
    bed = ClientBed()
    other, other_transport = bed.connect()
    connection, transport = bed.connect()
    connection.dataReceived(query_call(1))
    connection.dataReceived(invalid_call)
    bed.run()
    # the error has no id; the open request still gets its answer before the connection closes
    answers = [(answer.call_id, answer.code == json_rpc.REJECTED) for answer in read_answers(transport)]
    late_answers = (
        [(2, True)] if invalid_call.startswith(b"Content-Length: 1\r\n\r\n{C") else []
    )  # was read, so it is rejected
    assert answers == [(None, False), *late_answers]
    assert not transport.lost
    assert len(bed.scheduler.of(RequestReceived)) == 1
    assert not bed.scheduler.of(ClientDisconnected)
    connection.dataReceived(query_call(3, "d" * 16))  # no further call is accepted, but each is answered
    bed.run()
    is_framed = not invalid_call.startswith(
        (b"Content-Length: 9999", b"nonsense")
    )  # otherwise calls cannot be told apart
    assert [(answer.call_id, answer.code) for answer in read_answers(transport)] == [
        (3, json_rpc.REJECTED)
    ] * is_framed
    assert len(bed.scheduler.of(RequestReceived)) == 1
    connection.reply(1, json_rpc.failure(1))
    assert [answer.call_id for answer in read_answers(transport)] == [1]
    assert transport.lost
    other.dataReceived(json_rpc.call("ping", 1, {}))
    assert len(read_answers(other_transport)) == 1


def test_error_never_has_the_id_of_an_open_request() -> None:
    bed = ClientBed()
    connection, transport = bed.connect()
    connection.dataReceived(query_call(7))
    connection.dataReceived(json_rpc.frame(b'{"jsonrpc":"1.0","id":7,"method":"lookup"}'))
    assert [answer.call_id for answer in read_answers(transport)] == [None]
    assert 7 in connection.open_requests


def test_too_many_protocol_violations_close_the_connection() -> None:
    bed = ClientBed(max_protocol_violations=3)
    connection, transport = bed.connect()
    for call_id in range(1, 6):
        connection.dataReceived(query_call(call_id, method="dance"))
    assert [answer.call_id for answer in read_answers(transport)] == [1, 2, 3]
    assert transport.lost
    assert not bed.clients.connections
    assert transport.is_write_closed
    assert not transport.closed
    bed.reactor.advance(0.6)
    assert transport.closed
    assert not transport.aborted
    bed.reactor.advance(0.1)  # the client does not read the last bytes either
    assert transport.aborted


@pytest.mark.parametrize(
    "sent_bytes", [b"", b"Content-Le", query_call()[:-5], json_rpc.call("ping", 1, {})[:-1]]
)
def test_connection_with_no_or_an_incomplete_call_is_closed(sent_bytes: bytes) -> None:
    bed = ClientBed()
    connection, transport = bed.connect()
    connection.dataReceived(sent_bytes)
    for _ in range(3):
        assert not transport.lost
        bed.clients.sweep()
    assert transport.lost
    assert not bed.clients.connections
    assert not bed.clients.pool.lent


def test_idle_connection_is_closed_and_busy_connection_is_not() -> None:
    bed = ClientBed()
    idle, idle_transport = bed.connect()
    idle.dataReceived(query_call()[:50])
    busy, busy_transport = bed.connect()
    busy.dataReceived(query_call(1, "b" * 16) + query_call(2, "c" * 16)[:30])
    idle.dataReceived(query_call()[50:])
    bed.run()
    for _ in range(20):
        bed.now_us += 250_000
        bed.clients.sweep()
    assert not idle_transport.lost
    assert not busy_transport.lost
    idle.reply(7, b"")
    for _ in range(19):
        bed.now_us += 250_000
        bed.clients.sweep()
    assert not idle_transport.lost
    bed.now_us += 250_000
    bed.clients.sweep()
    assert idle_transport.lost
    assert not busy_transport.lost


@pytest.mark.parametrize("sent_bytes", [b"", query_call()[:-5]])
def test_connection_with_an_unread_call_is_not_closed(sent_bytes: bytes) -> None:
    """A connection is over its idle timeout or sent half a call, and bytes came during a standstill."""
    bed = ClientBed()
    connection, transport = bed.connect()
    connection.dataReceived(sent_bytes or json_rpc.call("ping", 1, {}))
    bed.now_us += 6_000_000
    transport.unread.append(query_call()[-5:] if sent_bytes else query_call())
    for _ in range(3):
        bed.clients.sweep()
    assert not transport.lost
    assert list(connection.open_requests) == [7]
    connection.reply(7, b"")
    bed.now_us += 6_000_000
    bed.clients.sweep()
    assert transport.is_write_closed
    assert not transport.closed


def test_bytes_after_a_half_close_are_read_and_discarded() -> None:
    bed = ClientBed()
    connection, transport = bed.connect()
    connection.dataReceived(json_rpc.call("ping", 1, {}))
    bed.now_us += 6_000_000
    bed.clients.sweep()
    assert transport.is_write_closed
    transport.unread.append(query_call())
    bed.reactor.advance(0.6)
    assert transport.closed
    assert not transport.unread
    assert not connection.open_requests
    assert not bed.scheduler.of(RequestReceived)


def test_evicted_connection_is_read_before_it_is_closed() -> None:
    """A close over unread bytes resets the connection, and the failures sent on it would be lost."""
    bed = ClientBed()
    connection, transport = bed.connect()
    connection.dataReceived(query_call(1))
    connection.evict(CloseReason.EVICTED)
    assert [answer.code for answer in read_answers(transport)] == [json_rpc.FAILED]
    assert transport.is_write_closed
    transport.unread.append(b"x" * 100)
    bed.reactor.advance(0.6)
    assert transport.closed
    assert not transport.unread


def test_bytes_after_a_half_close_are_read_up_to_a_limit() -> None:
    bed = ClientBed()
    connection, transport = bed.connect()
    connection.dataReceived(b"no call at all\r\n\r\n")
    assert transport.is_write_closed
    for _ in range(5):
        connection.dataReceived(b"x" * 1000)
    assert not transport.closed
    connection.dataReceived(b"x")
    assert transport.closed
    assert not bed.clients.lingering


def test_closing_connection_notices_a_disconnect_and_ends_a_flood() -> None:
    bed = ClientBed()
    disconnected, disconnected_transport = bed.connect()
    disconnected.dataReceived(query_call(1, "a" * 16) + b"no call at all\r\n\r\n")
    assert disconnected.is_closing
    assert not disconnected_transport.lost
    assert disconnected_transport.producerState == "producing"
    disconnected_transport.unread.append(b"")
    disconnected.drain_input()
    assert bed.dispatcher.counts.disconnected == 1
    assert not disconnected.open_requests
    flooding, flooding_transport = bed.connect()
    flooding.dataReceived(query_call(1, "b" * 16) + b"no call at all\r\n\r\n")
    read_answers(flooding_transport)
    flooding.dataReceived(b"x" * 5_001)
    assert [(a.call_id, a.code) for a in read_answers(flooding_transport)] == [(1, json_rpc.FAILED)]
    assert flooding_transport.is_write_closed


def test_request_sent_behind_an_unread_answer_is_read_at_once() -> None:
    """Seed 307: a request stayed unread for 150 ms behind a long answer, and was answered 37 ms too late."""
    bed = ClientBed()
    connection, transport = bed.connect()
    connection.pauseProducing()
    assert transport.producerState == "producing"
    connection.dataReceived(query_call(1, "a" * 16))
    bed.run()
    assert [request.deadline_us for request in connection.open_requests.values()] == [bed.now_us + 1_000_000]


def test_abort_or_close_behind_a_request_is_read_before_it_is_sent_to_an_engine() -> None:
    bed = ClientBed()
    connection, transport = bed.connect()
    connection.dataReceived(query_call())
    request = connection.open_requests[7]
    transport.unread += [json_rpc.call("ping", 1, {}), json_rpc.call("abort", None, {"id": 7})]
    request.client.drain_input()
    assert request.is_over
    assert bed.dispatcher.counts.disconnected == 1
    connection.dataReceived(query_call(8, "b" * 16))
    other = connection.open_requests[8]
    transport.unread += [query_call(9, "c" * 16), b""]
    other.client.drain_input()
    assert other.is_over
    assert not connection.open_requests
    assert bed.dispatcher.counts.disconnected == 3


def test_internal_error_in_a_call_closes_only_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    bed = ClientBed()
    connection, transport = bed.connect()
    monkeypatch.setattr(bed.dispatcher, "accept_request", lambda *args: 1 / 0)
    connection.dataReceived(query_call())
    assert transport.lost
    _, other_transport = bed.connect()
    assert not other_transport.lost


def test_requests_before_the_first_sweep_count_from_the_start_of_listening() -> None:
    """herd+mass, seed 1060235832712: 5 early requests were answered after their deadline.

    Their clients had waited since the program began to listen, and that time was not counted.
    """
    bed = ClientBed()
    bed.dispatcher.before_first_sweep, bed.dispatcher.listening_since_us = True, bed.now_us - 900_000
    connection, _ = bed.connect()
    connection.dataReceived(query_call(1, "a" * 16))
    bed.dispatcher.heartbeat(100_000)
    bed.dispatcher.first_sweep_done()
    later, _ = bed.connect()
    later.dataReceived(query_call(1, "b" * 16))
    deadlines = [
        next(iter(client.open_requests.values())).deadline_us - bed.now_us for client in (connection, later)
    ]
    assert deadlines == [100_000, 1_000_000]
