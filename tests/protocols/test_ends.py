"""Tests of ends that cross with other messages: closes, aborts, drains and shutdowns, on real sockets.

Each test forces one order of arrival by suspending the dispatcher. Docstrings name the row of the table in
architecture.md, 'Ends', that the test covers (T1, parting, eviction, ...). Ends on the side of engines and
discovery have further tests in engines/ and discovery/.
"""

from __future__ import annotations

import contextlib
import json
import select
import signal
import socket
import time
from collections.abc import Callable

import pytest

from ashcross.protocols.clients import json_rpc
from ashcross.simulation.processes import wait_for
from tests.harness.peers import (
    EXAMPLE,
    LONG_S,
    FakeClient,
    FakeDiscovery,
    FakeEngine,
    TestBed,
    fill_accept_queue,
)

MakeTestBed = Callable[..., TestBed]


def has_result(client: FakeClient) -> bool:
    """Return whether the next answer of a client is a result."""
    answer = client.next_answer()
    return answer is not None and answer.result is not None


def read_commands_until_next_request(test_bed: TestBed, engine: FakeEngine) -> list[list[bytes]]:
    """Return the commands that an engine gets before the request of another client, which it serves."""
    client, request_id = test_bed.connect_client(), test_bed.new_request_id()
    client.send(test_bed.query(1, request_id))
    commands = []
    while (words := engine.next_command()) and words[1] != request_id.encode():
        commands.append(words)
    assert words[0] == b"PULL"
    engine.serve(request_id)
    assert has_result(client)
    client.close()
    return commands


# A client disconnects or aborts


@pytest.mark.parametrize("reset", [False, True])
def test_close_behind_a_request_is_read_before_the_request_is_sent(serving_bed: TestBed, reset: bool) -> None:
    """T1, first attempt: a request and the close after it wait in the kernel for more than 0.1 s."""
    engine, client = serving_bed.serve_one(), serving_bed.connect_client()
    client.send(json_rpc.call("ping", 1, {}))
    assert client.next_answer() is not None
    serving_bed.suspend()
    client.send(serving_bed.query(2, serving_bed.new_request_id()))
    client.close(reset)
    serving_bed.resume()
    assert read_commands_until_next_request(serving_bed, engine) == []


def test_abort_behind_other_calls_is_read_before_the_request_is_sent(serving_bed: TestBed) -> None:
    """T1: the abort comes one read after its request."""
    engine, client, aborted_id, request_id = (
        serving_bed.serve_one(),
        serving_bed.connect_client(),
        serving_bed.new_request_id(),
        serving_bed.new_request_id(),
    )
    client.send(json_rpc.call("ping", 1, {}))
    assert client.next_answer() is not None
    serving_bed.suspend()
    client.send(
        serving_bed.query(2, aborted_id),
        serving_bed.query(3, request_id, pad=30_000),
        json_rpc.call("abort", None, {"id": 2}),
    )
    serving_bed.resume()
    assert engine.next_request_id() == request_id
    engine.serve(request_id)
    answer = client.next_answer()
    assert answer is not None
    assert (answer.call_id, answer.result is not None) == (3, True)
    assert read_commands_until_next_request(serving_bed, engine) == []


def test_no_further_attempt_starts_for_an_aborted_request(make_test_bed: MakeTestBed) -> None:
    """T1, further attempt: an engine reports a crash, and the abort comes one read after that.

    Both engines have open connections, so the further attempt needs no dial.
    """
    test_bed = make_test_bed(engines=2)
    test_bed.start_serving()
    engines, client, aborted_id, request_id = (
        test_bed.serve_one_on_each(),
        test_bed.connect_client(),
        test_bed.new_request_id(),
        test_bed.new_request_id(),
    )
    client.send(test_bed.query(1, aborted_id))
    ready = select.select([engine.socket for engine in engines.values()], [], [], LONG_S)[0]
    (first,) = (engine for engine in engines.values() if engine.socket in ready)
    (second,) = (engine for engine in engines.values() if engine is not first)
    assert first.next_request_id() == aborted_id
    test_bed.suspend()
    first.send(aborted_id.encode(), b"crashed", b"-", b"")
    client.send(test_bed.query(2, request_id, pad=30_000), json_rpc.call("abort", None, {"id": 1}))
    test_bed.resume()
    command_ids: list[bytes] = []
    while request_id.encode() not in command_ids:  # earlier commands have reached their engines by then
        for socket_ in select.select([engine.socket for engine in engines.values()], [], [], LONG_S)[0]:
            last_engine = first if socket_ is first.socket else second
            command_ids.append(last_engine.next_command()[1])
    for engine in (first, second):
        engine.socket.settimeout(0.0)
        with contextlib.suppress(BlockingIOError):
            while words := engine.next_command():
                command_ids.append(words[1])
    assert command_ids == [request_id.encode()]
    last_engine.socket.settimeout(LONG_S)
    last_engine.serve(request_id)
    assert has_result(client)


def test_waiting_request_is_not_sent_after_its_client_disconnects(make_test_bed: MakeTestBed) -> None:
    """T2: a request waits for the endpoint list, its client disconnects, and then the list comes."""
    test_bed = make_test_bed(known=False)
    call = test_bed.discovery.accept_request()
    leaving_client, staying_client, dropped_id, request_id = (
        test_bed.connect_client(),
        test_bed.connect_client(),
        test_bed.new_request_id(),
        test_bed.new_request_id(),
    )
    leaving_client.send(test_bed.query(1, dropped_id, "report", 9_000.0))
    staying_client.send(test_bed.query(1, request_id, "report", 9_000.0))
    test_bed.suspend()
    leaving_client.close()
    test_bed.resume()
    test_bed.discovery.start_stream(call, test_bed.snapshot)
    engine = test_bed.accept_engine()
    assert engine.next_request_id() == request_id
    engine.serve(request_id)
    assert has_result(staying_client)
    assert read_commands_until_next_request(test_bed, engine) == []


def test_late_dial_sends_no_request_of_a_client_that_disconnected(
    make_test_bed: MakeTestBed,
) -> None:
    """The dial takes about a second: the engine's accept queue is full, so its first packet is lost."""
    limits = EXAMPLE["settings"]["Limits"] | {"DialTimeout": 8_000_000, "Probes": False}
    test_bed = make_test_bed(settings={"Limits": limits}, backlog=0)
    test_bed.start_serving()
    listening_socket = test_bed.engines["e1"]
    filling_connections = fill_accept_queue(listening_socket.port)
    client = test_bed.connect_client()
    client.send(test_bed.query(1, test_bed.new_request_id(), "report", 60_000.0))
    ports = {connection.getsockname()[1] for connection in filling_connections}
    wait_for("the dial", lambda: test_bed.is_connecting("e1", ports))
    test_bed.suspend()
    for connection in filling_connections:
        connection.close()
    sock = listening_socket.accept()
    while sock.getpeername()[1] in ports:  # skips them until the dispatcher's retransmitted dial comes
        sock = listening_socket.accept()
    client.close()  # waits in the kernel after the completion of the dial
    test_bed.resume(0.2)
    later, request_id = test_bed.connect_client(), test_bed.new_request_id()
    later.send(test_bed.query(1, request_id, "report", 60_000.0))
    engine = FakeEngine(sock)
    assert engine.next_request_id() == request_id
    engine.serve(request_id)
    assert has_result(later)


def test_client_that_does_not_read_is_still_read_and_its_close_noticed(make_test_bed: MakeTestBed) -> None:
    """T1, T2: if reading were paused, neither the requests nor the close would be noticed."""
    test_bed = make_test_bed(client_idle_ms=60_000)
    test_bed.start_serving()
    engine, slow = test_bed.serve_one(), test_bed.connect_client(receive=4096)
    test_bed.fill_send_buffer(slow, engine)
    last_id = test_bed.new_request_id()
    slow.send(test_bed.query(999, last_id, "report", 60_000.0))
    assert engine.next_request_id() == last_id  # it was read, though the client has read no answer
    slow.close()
    assert engine.next_command()[:2] == [b"KILL", last_id.encode()]


# The dispatcher closes a connection


def test_framing_error_reaches_a_client_that_is_still_sending(serving_bed: TestBed) -> None:
    """Parting: a close over unread bytes would reset the connection, and the error could be lost."""
    client = serving_bed.connect_client()
    client.send(json_rpc.call("ping", 1, {}))
    assert client.next_answer() is not None
    serving_bed.suspend()
    client.send(b"nonsense\r\n\r\n" + b"y" * 60_000)
    serving_bed.resume(0.0)
    answer = client.next_answer()
    assert answer is not None
    assert answer.code == json_rpc.INVALID_REQUEST
    client.send(b"z" * 1_000)  # the client has not noticed the close yet
    assert client.next_answer() is None  # closed without a reset


def test_open_request_is_answered_before_a_framing_error_closes_its_connection(serving_bed: TestBed) -> None:
    engine, client, request_id = (
        serving_bed.serve_one(),
        serving_bed.connect_client(),
        serving_bed.new_request_id(),
    )
    client.send(serving_bed.query(1, request_id), b"nonsense\r\n\r\n" + b"y" * 40_000)
    assert engine.next_request_id() == request_id
    error = client.next_answer()
    assert error is not None
    assert error.call_id is None
    engine.serve(request_id)
    answer = client.next_answer()
    assert answer is not None
    assert (answer.call_id, answer.result is not None) == (1, True)
    assert client.next_answer() is None


def test_idle_connection_that_is_half_closed_accepts_no_call(make_test_bed: MakeTestBed) -> None:
    """Idle close: a request that comes after the half-close is not sent; its client will send it again."""
    test_bed = make_test_bed(client_idle_ms=300, linger_ms=4_000)
    test_bed.start_serving()
    engine, client = test_bed.serve_one(), test_bed.connect_client()
    client.send(json_rpc.call("ping", 1, {}))
    assert client.next_answer() is not None
    assert client.next_answer() is None  # the dispatcher has shut its side
    client.send(test_bed.query(2, test_bed.new_request_id()))
    assert read_commands_until_next_request(test_bed, engine) == []
    client.close()


def test_connection_with_an_unread_request_is_not_evicted(make_test_bed: MakeTestBed) -> None:
    """Eviction: idle connections get requests, and many clients connect, while the dispatcher is stopped."""
    test_bed = make_test_bed(sockets=64)
    test_bed.start_serving()
    engine = test_bed.serve_one()
    idle_clients = []
    for _ in range(16):
        client = test_bed.connect_client()
        client.send(json_rpc.call("ping", 1, {}))
        assert client.next_answer() is not None
        idle_clients.append(client)
    test_bed.suspend()
    request_ids = [test_bed.new_request_id() for _ in idle_clients[:8]]
    new_clients = [test_bed.connect_client() for _ in range(24)]
    for client, request_id in zip(idle_clients, request_ids, strict=False):  # those idle for longest
        client.send(test_bed.query(2, request_id))
    test_bed.resume()
    for _ in request_ids:
        engine.serve(engine.next_request_id())
    assert all(has_result(client) for client in idle_clients[:8])
    for client in new_clients:
        client.close()


# The process shuts down


def test_client_in_the_accept_queue_at_shutdown_is_served(make_test_bed: MakeTestBed) -> None:
    """SIGTERM, exit: the last read accepts the connections that wait and reads their calls."""
    test_bed = make_test_bed(stop_quiet_ms=600)
    test_bed.start_serving()
    engine = test_bed.serve_one()
    test_bed.process.send_signal(signal.SIGTERM)
    wait_for("the drain", lambda: "serving -> draining" in test_bed.log_text())
    test_bed.suspend()
    late_client, request_id = test_bed.connect_client(), test_bed.new_request_id()
    late_client.send(test_bed.query(1, request_id))
    test_bed.resume(1.0)  # longer than the quiet time, so the next read is the last
    assert engine.next_request_id() == request_id
    engine.serve(request_id)
    assert has_result(late_client)
    assert late_client.next_answer() is None
    assert test_bed.process.wait(LONG_S) == 0


def test_calls_after_the_half_close_at_shutdown_are_not_sent(
    make_test_bed: MakeTestBed,
) -> None:
    """Exit: an idle client neither closes nor stops sending, and the process must not wait for it."""
    test_bed = make_test_bed(stop_quiet_ms=200, linger_ms=1_000)
    test_bed.start_serving()
    engine, client = test_bed.serve_one(), test_bed.connect_client()
    client.send(json_rpc.call("ping", 1, {}))
    assert client.next_answer() is not None
    test_bed.process.send_signal(signal.SIGTERM)
    assert client.next_answer() is None  # half-closed
    client.send(test_bed.query(2, test_bed.new_request_id()))
    assert engine.next_command() == []  # the connection closed without a PULL
    assert test_bed.process.wait(LONG_S) == 0


def test_shutdown_waits_for_a_client_that_starts_to_read(make_test_bed: MakeTestBed) -> None:
    """Drain: answers wait in the process for a client that does not read; all must arrive complete."""
    test_bed = make_test_bed(stop_quiet_ms=200)
    test_bed.start_serving()
    engine, client = test_bed.serve_one(), test_bed.connect_client(receive=4096)
    test_bed.fill_send_buffer(client, engine)
    test_bed.process.send_signal(signal.SIGTERM)
    wait_for("the drain", lambda: "serving -> draining" in test_bed.log_text())
    time.sleep(1.0)  # longer than the quiet time and the longest wait for a close
    answers = []
    while (answer := client.next_answer()) is not None:
        answers.append(answer)
    assert answers[-1].call_id == 501
    assert all(answer.result is not None for answer in answers)
    assert test_bed.process.wait(LONG_S) == 0


def test_call_that_crosses_the_shutdown_does_not_lose_an_unread_answer(
    make_test_bed: MakeTestBed,
) -> None:
    """Exit: after a close at once the kernel would answer the call with a reset, and drop the answer."""
    test_bed = make_test_bed(stop_quiet_ms=200, linger_ms=2_000)
    test_bed.start_serving()
    engine, client, request_id = (
        test_bed.serve_one(),
        test_bed.connect_client(receive=4096),
        test_bed.new_request_id(),
    )
    client.send(test_bed.query(1, request_id))
    engine.serve_large_answers(1)
    test_bed.process.send_signal(signal.SIGTERM)
    wait_for("the end", lambda: "draining -> stopped" in test_bed.log_text())
    assert engine.next_command() == []  # engine connections are closed, so no more requests are sent
    client.send(test_bed.query(2, test_bed.new_request_id()))
    answer = client.next_answer()
    assert answer is not None
    assert (answer.call_id, answer.result is not None) == (1, True)
    assert client.next_answer() is None
    client.close()
    assert test_bed.process.wait(LONG_S) == 0


def test_client_that_never_reads_does_not_prevent_the_exit(serving_bed: TestBed) -> None:
    """SIGTERM: the process exits by itself, 3.6 s after the signal on an idle machine."""
    engine, client = serving_bed.serve_one(), serving_bed.connect_client(receive=4096)
    serving_bed.fill_send_buffer(client, engine)
    serving_bed.process.send_signal(signal.SIGTERM)
    assert serving_bed.process.wait(LONG_S) == 0
    client.close()


# The watch of the endpoint list


def test_start_without_the_watch_is_ready_in_time_but_sends_no_request(
    make_test_bed: MakeTestBed,
) -> None:
    """T5 and rule 3 (lab seed 7340958): a dispatcher may be ready before its endpoint list is fresh."""
    test_bed = make_test_bed(engines=2, start_wait_ms=1_500)
    call = test_bed.discovery.accept_request()  # accepted, and not answered
    wait_for("ready", test_bed.is_ready)
    assert time.monotonic() - test_bed.started_s < 10.0
    client, request_id = test_bed.connect_client(), test_bed.new_request_id()
    client.send(test_bed.query(1, request_id, limit_ms=2_000.0))
    answer = client.next_answer()
    assert answer is not None
    assert answer.code == json_rpc.REJECTED
    drain_event = test_bed.event(2, "e1", status="Terminating")
    test_bed.discovery.start_stream(call, drain_event)
    later, request_id = test_bed.connect_client(), test_bed.new_request_id()
    later.send(test_bed.query(1, request_id))
    engine = test_bed.accept_engine("e2")
    assert engine.next_request_id() == request_id
    engine.serve(request_id)
    assert has_result(later)
    test_bed.engines["e1"].socket.settimeout(0.0)
    with pytest.raises(BlockingIOError):  # the dispatcher never connected to the draining engine
        test_bed.engines["e1"].accept()


def test_incomplete_event_is_ignored_and_read_on_the_next_connection(
    make_test_bed: MakeTestBed,
) -> None:
    test_bed = make_test_bed(engines=2)
    call = test_bed.start_serving()
    drain_event = test_bed.event(2, "e1", status="Terminating")
    text = f"id: 2\ndata: {json.dumps(drain_event)}\n\n".encode()
    call.sendall(text[: len(text) // 2])
    call.close()
    next_call = test_bed.discovery.accept_request()  # requested at once, after the last complete event
    client, request_id = test_bed.connect_client(), test_bed.new_request_id()
    test_bed.suspend()
    client.send(test_bed.query(1, request_id))
    # endpoint list events are handled first, in whatever order the sockets are read
    test_bed.discovery.start_stream(next_call, drain_event)
    test_bed.resume(0.0)
    engine = test_bed.accept_engine("e2")
    assert engine.next_request_id() == request_id
    engine.serve(request_id)
    assert has_result(client)


def test_reload_moves_the_watch_and_ignores_the_old_address(
    make_test_bed: MakeTestBed,
) -> None:
    test_bed = make_test_bed(engines=2)
    call = test_bed.start_serving()
    new_discovery, drain_event = FakeDiscovery(), test_bed.event(2, "e1", status="Terminating")
    test_bed.suspend()
    test_bed.config_path.write_text(
        json.dumps(test_bed.config | {"bulletin": new_discovery.address}), encoding="utf-8"
    )
    test_bed.process.send_signal(signal.SIGHUP)
    test_bed.discovery.send_events(call, drain_event)  # waits in the kernel together with the signal
    test_bed.resume()
    new_call = new_discovery.accept_request()
    with contextlib.suppress(OSError):  # the dispatcher has closed this old connection
        test_bed.discovery.send_events(call, test_bed.event(3, "e2", status="Terminating"))
    client, request_id = test_bed.connect_client(), test_bed.new_request_id()
    new_discovery.start_stream(new_call, drain_event, test_bed.event(3, "e2"))
    wait_for("the reload", lambda: "configuration reloaded" in test_bed.log_text())
    client.send(test_bed.query(1, request_id, "report", 60_000.0))
    engine = test_bed.accept_engine("e2")
    assert engine.next_request_id() == request_id
    engine.serve(request_id)
    assert has_result(client)
    new_discovery.close()
    new_discovery.listening_socket.socket.close()


# Descriptors


@pytest.mark.parametrize("has_reserve", [True, False])
def test_silent_clients_leave_descriptors_for_the_watch_and_dials(
    make_test_bed: MakeTestBed, has_reserve: bool
) -> None:
    """T4: silent clients use up their share of descriptors while discovery is down.

    Without a reserve the dispatcher cannot connect to discovery again, and serves no request.
    """
    shares = {} if has_reserve else {"spare_descriptors": 1, "clients_share": 0.89, "links_share": 0.05}
    test_bed = make_test_bed(sockets=64, start_wait_ms=500, silent_ms=60_000, known=False, **shares)
    test_bed.discovery.listening_socket.socket.close()  # discovery is down
    wait_for("ready", test_bed.is_ready)
    idle_sockets = [socket.create_connection(test_bed.address, LONG_S) for _ in range(90)]
    wait_for("the accepted clients", lambda: test_bed.descriptor_count() >= (24 if has_reserve else 60))
    assert test_bed.descriptor_count() <= 64
    new_socket = socket.socket()
    new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    new_socket.bind(("127.0.0.1", test_bed.discovery.listening_socket.port))
    new_socket.listen(8)
    new_socket.settimeout(LONG_S if has_reserve else 2.0)
    test_bed.discovery.listening_socket.socket = new_socket
    if not has_reserve:
        with pytest.raises((TimeoutError, AssertionError)):
            test_bed.discovery.accept_request()
        return
    test_bed.discovery.start_stream(test_bed.discovery.accept_request(), test_bed.snapshot)
    client, request_id = test_bed.connect_client(), test_bed.new_request_id()
    client.send(test_bed.query(1, request_id))
    engine = test_bed.accept_engine()
    assert engine.next_request_id() == request_id
    engine.serve(request_id)
    assert has_result(client)
    assert test_bed.descriptor_count() <= 64
    for client_socket in idle_sockets:
        client_socket.close()
