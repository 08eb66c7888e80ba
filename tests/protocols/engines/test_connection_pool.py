"""Tests of all connections to engines: their choice, number, idle closes and health checks."""

from __future__ import annotations

import base64
from typing import Any

from ashcross.decisions.actions import Action, CancelAttempt, StartAttempt, StartHealthCheck
from ashcross.decisions.events import (
    AttemptCompleted,
    AttemptOutcome,
    EndpointState,
    HealthCheckCompleted,
    RequestReceived,
    TimerFired,
)
from tests.harness.dispatcher_bed import REQUEST_ID, DispatcherBed, discovered_endpoint, endpoint_list_event
from tests.harness.engine_bed import REQUEST_ID_BYTES, EngineBed, read_commands
from tests.harness.memory_transport import CONNECTION_DONE


def cancel_attempt(bed: DispatcherBed, number: int = 0) -> None:
    original_script = bed.scheduler.script
    bed.scheduler.script = lambda now, event: (
        [CancelAttempt(REQUEST_ID, number)] if event == TimerFired(99) else original_script(now, event)
    )
    bed.dispatcher.enqueue_event(TimerFired(99))
    bed.run(10_000)


def test_unsent_bytes_are_not_sent_after_a_drain() -> None:
    bed = EngineBed()
    connection, transport = bed.start_attempt()
    transport.accepts_writes = False
    connection.set_priority(next(iter(connection.attempts.values())), 3)
    bed.dispatcher.receive_endpoint_list_event(endpoint_list_event(discovered_endpoint("e2")))
    bed.run()
    assert not transport.aborted  # the event was about another engine
    bed.dispatcher.receive_endpoint_list_event(
        endpoint_list_event(discovered_endpoint("e1", state=EndpointState.DRAINING))
    )
    bed.run()
    assert transport.aborted


def test_idle_connection_is_evicted_at_the_limit_and_busy_one_is_not() -> None:
    """With 1,280 engines a quarter of all requests found no free connection, and was rejected."""
    bed = EngineBed(max_connections=2)
    connections = []
    for name, request_id in (("e1", "a" * 16), ("e2", "b" * 16)):
        bed.sends(name)
        bed.accept(request_id)
        bed.run()
        connections.append(bed.connections(name)[0])
        bed.connect(connections[-1])
    bed.endpoints.apply_events([endpoint_list_event(discovered_endpoint("e3"))])
    bed.sends("e3")
    bed.accept("c" * 16)
    bed.run()
    assert not bed.connections("e3")  # both are in use
    bed.dispatcher.complete_attempt(bed.requests.by_id["a" * 16].attempts[0], AttemptOutcome.SUCCEEDED)
    bed.run()
    bed.sends("e3")
    bed.accept("d" * 16)
    bed.run()
    assert connections[0].is_closed
    assert not connections[1].is_closed
    assert len(bed.connections("e3")) == 1


def test_unresponsive_connection_is_closed_while_its_engine_answers_elsewhere() -> None:
    bed = EngineBed(max_attempts_per_connection=1)
    bed.scheduler.script = lambda now, event: (
        [StartAttempt(event.request_id, "e1", 0)]
        if isinstance(event, RequestReceived)
        else [StartHealthCheck("e1")]
        if event == TimerFired(1)
        else []
    )
    for number in range(2):
        bed.accept(f"{number:016x}", limit_ms=60_000.0, call_id=number)
    bed.run()
    silent, responsive = bed.connections()
    silent_transport, responsive_transport = bed.connect(silent), bed.connect(responsive)
    bed.run(1_000)
    bed.dispatcher.enqueue_event(
        TimerFired(1)
    )  # the health check goes to the connection that was silent for longest
    bed.run(300_000)
    assert [command[0] for command in read_commands(silent_transport)] == [b"PULL", b"METER"]
    bed.pool.sweep()
    assert silent.is_unresponsive
    assert not silent.can_take_attempt(exclusive=False)
    assert not silent_transport.aborted
    for _ in range(3):
        bed.now_us += 250_000
        bed.send(responsive, b"%016x" % 1, b"update", b"-", b"")
        bed.pool.sweep()
    bed.run(10_000)
    assert silent_transport.aborted
    assert not responsive_transport.aborted
    assert bed.outcomes() == [(0, AttemptOutcome.RESET, False)]


def test_query_that_lost_a_connection_gets_an_exclusive_one() -> None:
    bed = EngineBed(max_attempts_per_connection=5)
    remaining_attempts = {REQUEST_ID: 2}

    def script(now: int, event: Any) -> list[Action]:
        is_retry = isinstance(event, AttemptCompleted) and remaining_attempts.get(event.request_id, 0) > 1
        if is_retry:
            remaining_attempts[event.request_id] -= 1
        is_started = isinstance(event, RequestReceived) or is_retry
        return [StartAttempt(event.request_id, "e1", 0)] if is_started else []

    bed.scheduler.script = script
    bed.accept()
    bed.run()
    (first,) = bed.connections()
    bed.connect(first)
    first.connectionLost(CONNECTION_DONE)
    bed.accept("b" * 16, call_id=8)
    bed.run()
    (shared,) = bed.connections()
    bed.connect(shared)
    bed.run(10_000)  # the first query is sent again, on a connection of its own
    assert [list(connection.attempts) for connection in bed.connections()] == [["b" * 16], [REQUEST_ID]]
    bed.accept("c" * 16, call_id=9)
    bed.run()
    assert [list(connection.attempts) for connection in bed.connections()] == [
        ["b" * 16, "c" * 16],
        [REQUEST_ID],
    ]


def test_second_attempt_at_the_same_engine_uses_another_connection() -> None:
    bed = EngineBed()
    connection, transport = bed.start_attempt("e1", "e1")
    read_commands(transport)
    cancel_attempt(bed)
    assert read_commands(transport) == [[b"KILL", REQUEST_ID_BYTES]]
    first, second = bed.connections()
    assert first is connection
    second_transport = bed.connect(second)
    assert read_commands(second_transport)[0][0] == b"PULL"
    # the answer to the first attempt crosses the KILL
    bed.send(connection, REQUEST_ID_BYTES, b"served", b"total=1", b"late\t\t\n")
    assert not bed.client.frames
    assert bed.pool.unexpected_answers == 1
    bed.send(second, REQUEST_ID_BYTES, b"served", b"total=1", b"right\t\t\n")
    assert base64.b64decode(bed.client.answers()[0]["result"]["body"]) == b"right\t\t\n"


def test_attempts_per_connection_and_connections_per_engine_are_limited() -> None:
    bed = EngineBed()
    bed.scheduler.script = lambda now, event: (
        [StartAttempt(event.request_id, "e1", 0)] if isinstance(event, RequestReceived) else []
    )
    for number in range(7):
        bed.accept(f"{number:016x}", call_id=number)
    bed.run()
    assert [len(connection.attempts) for connection in bed.connections()] == [2, 2, 2]
    assert bed.outcomes() == [(0, AttemptOutcome.CONNECT_FAILED, False)]


def test_connections_to_all_engines_together_are_limited() -> None:
    bed = EngineBed(max_attempts_per_connection=1)
    bed.scheduler.script = lambda now, event: (
        [StartAttempt(event.request_id, "e2" if event.request_id > "f" else "e1", 0)]
        if isinstance(event, RequestReceived)
        else []
    )
    for number, first in enumerate("aaaff"):
        bed.accept(f"{first}{number:015x}", call_id=number)
    bed.run()
    assert (len(bed.connections("e1")), len(bed.connections("e2"))) == (3, 1)
    assert [o for _, o, _ in bed.outcomes()] == [AttemptOutcome.CONNECT_FAILED]


def test_health_checks_share_connections_and_end_with_them() -> None:
    bed = EngineBed()
    connection, transport = bed.start_attempt("e1")
    read_commands(transport)
    bed.scheduler.script = lambda now, event: [StartHealthCheck("e1")] * 3 if event == TimerFired(1) else []
    bed.dispatcher.enqueue_event(TimerFired(1))
    bed.run()
    commands = read_commands(transport)
    assert [command[0] for command in commands] == [b"METER"] * 3
    assert bed.connections() == [connection]
    tags = [command[1] for command in commands]
    bed.send(connection, tags[1], b"green", b"l=active:3;cpu:0.4", b"")
    bed.send(connection, tags[0], b"red", b"-", b"")
    bed.send(connection, tags[1], b"green", b"-", b"")  # a duplicate answer
    connection.connectionLost(CONNECTION_DONE)
    bed.run()
    results = [(e.outcome, e.load_report) for e in bed.scheduler.of(HealthCheckCompleted)]
    assert results == [
        (AttemptOutcome.SUCCEEDED, {"active": 3.0, "cpu": 0.4}),
        (AttemptOutcome.ERROR, {}),
        (AttemptOutcome.RESET, {}),
    ]


def test_idle_connection_is_closed_after_its_timeout() -> None:
    bed = EngineBed()
    connection, transport = bed.start_attempt("e1")
    bed.send(connection, REQUEST_ID_BYTES, b"served", b"total=1", b"a\t\t\n")
    bed.now_us += 9_999_999
    bed.pool.sweep()
    assert not transport.aborted
    bed.now_us += 1
    bed.pool.sweep()
    assert transport.aborted


def test_silent_connection_with_an_open_attempt_is_kept() -> None:
    bed = EngineBed()
    _, transport = bed.start_attempt("e1")
    bed.now_us += 20_000_000
    bed.pool.sweep()
    assert not transport.aborted


def test_address_reused_by_another_engine_gets_new_connections() -> None:
    bed = EngineBed()
    connection, transport = bed.start_attempt("e1")
    read_commands(transport)
    bed.dispatcher.receive_endpoint_list_event(
        endpoint_list_event(
            discovered_endpoint("e1", state=EndpointState.REMOVED), discovered_endpoint("e9", 1)
        )
    )
    bed.run()
    bed.scheduler.script = lambda now, event: (
        [StartAttempt(event.request_id, "e9", 0)] if isinstance(event, RequestReceived) else []
    )
    bed.accept("b" * 16, call_id=8)
    bed.run()
    (new_connection,) = bed.connections("e9")
    assert new_connection is not connection
    assert not transport.take_written()
    # the attempt in flight at the removed engine may still succeed
    bed.send(connection, REQUEST_ID_BYTES, b"served", b"total=1", b"a\t\t\n")
    assert len(bed.client.frames) == 1
    bed.pool.sweep()
    assert transport.aborted
    connection.connectionLost(CONNECTION_DONE)
    assert connection.record not in bed.endpoints.records()
