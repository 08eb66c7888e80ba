"""Tests of the watch of the endpoint list: connecting, backoff, silence and moves."""

from __future__ import annotations

from tests.harness.memory_transport import CONNECTION_DONE
from tests.harness.watch_bed import WatchBed, event_bytes


def test_backoff_doubles_up_to_its_maximum_and_resets_at_the_first_byte() -> None:
    bed, waits = WatchBed(), list[float]()
    for _ in range(7):
        bed.refuse_connection()
        (call,) = bed.reactor.getDelayedCalls()
        waits.append(round(call.getTime() - bed.reactor.seconds(), 3))
        bed.reactor.advance(waits[-1])
    assert waits == [0.1, 0.2, 0.4, 0.8, 1.6, 2.0, 2.0]
    connection, _, _ = bed.connect()
    connection.connectionLost(CONNECTION_DONE)
    (call,) = bed.reactor.getDelayedCalls()
    assert round(call.getTime() - bed.reactor.seconds(), 3) == 0.1


def test_silence_over_the_timeout_closes_the_connection() -> None:
    bed = WatchBed()
    connection, transport, _ = bed.connect()
    for _ in range(10):
        bed.reactor.advance(1.0)
        connection.dataReceived(b": here\n\n")
        bed.watch.poll()
    assert not transport.aborted
    bed.reactor.advance(3.6)
    bed.watch.poll()
    assert transport.aborted


def test_every_second_silent_connection_has_a_longer_timeout() -> None:
    """Either the service is slow and needs more time, or the connection is dead and the next one works."""
    bed, waits = WatchBed(), list[float]()
    for _ in range(6):
        _, transport, _ = bed.connect(b"")
        waited_s = 0.0
        while not transport.aborted:
            bed.reactor.advance(0.25)
            waited_s += 0.25
            bed.watch.poll()
        waits.append(waited_s)
        bed.watch._connection.connectionLost(CONNECTION_DONE)  # type: ignore[union-attr]
        bed.reactor.advance(2.0)
    assert waits == [3.75, 7.25, 3.75, 14.25, 3.75, 14.25]


def test_invalid_response_closes_the_connection() -> None:
    bed = WatchBed()
    connection, transport, _ = bed.connect()
    connection.dataReceived(b"data: " + b"x" * 5000)
    assert transport.aborted


def test_move_reconnects_at_once_and_drops_the_old_connection() -> None:
    bed = WatchBed()
    connection, transport, _ = bed.connect()
    connection.dataReceived(event_bytes(4))
    bed.watch.change_address(("127.0.0.1", 8501))
    assert transport.aborted
    assert bed.reactor.tcpClients[1][:2] == ("127.0.0.1", 8501)
    connection.dataReceived(event_bytes(5, name="stale"))
    connection.connectionLost(CONNECTION_DONE)  # must not start a second dial
    assert not bed.reactor.getDelayedCalls()
    connection, _, last_event = bed.connect()
    assert last_event == 4
    assert bed.watch.connected
    connection.dataReceived(event_bytes(5))
    assert bed.event_numbers() == [4, 5]
    bed.watch.change_address(("127.0.0.1", 8501))  # an unchanged address has no effect
    assert len(bed.reactor.tcpClients) == 2


def test_move_during_a_backoff_or_a_dial_reconnects_at_once() -> None:
    bed = WatchBed()
    bed.refuse_connection()
    bed.watch.change_address(("127.0.0.1", 8501))  # during the wait for the next dial
    assert not bed.reactor.getDelayedCalls()
    assert len(bed.reactor.tcpClients) == 2
    bed.watch.change_address(("127.0.0.1", 8502))  # during that dial
    assert bed.reactor.tcpClients[2][:2] == ("127.0.0.1", 8502)
    assert not bed.reactor.getDelayedCalls()
    bed.dial_count = 2
    _, _, last_event = bed.connect()
    assert last_event == 3
    assert bed.watch.connected


def test_stopped_watch_does_not_dial() -> None:
    bed = WatchBed()
    connection, transport, _ = bed.connect()
    bed.watch.stop()
    assert transport.aborted
    connection.connectionLost(CONNECTION_DONE)
    assert not bed.reactor.getDelayedCalls()
