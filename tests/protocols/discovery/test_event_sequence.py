"""Tests of the order of endpoint list events across lost connections, gaps and renumbering."""

from __future__ import annotations

import pytest

from tests.harness.memory_transport import CONNECTION_DONE
from tests.harness.watch_bed import WatchBed, event_bytes


def test_events_are_delivered_once_and_in_order_across_connections() -> None:
    bed = WatchBed()
    connection, _, last_event = bed.connect()
    assert last_event == 3
    assert bed.watch.connected
    connection.dataReceived(event_bytes(4) + event_bytes(5) + event_bytes(5) + event_bytes(4))
    connection.connectionLost(CONNECTION_DONE)
    assert not bed.watch.connected
    bed.reactor.advance(0.1)
    connection, _, last_event = bed.connect()
    assert last_event == 5
    connection.dataReceived(event_bytes(5) + event_bytes(6))
    assert bed.event_numbers() == [4, 5, 6]


@pytest.mark.parametrize(
    ("invalid_event", "withheld"), [(b"data: {}\n\n", []), (b"data: x\n\n", []), (event_bytes(9), [4])]
)
def test_invalid_event_or_gap_requests_the_whole_list(invalid_event: bytes, withheld: list[int]) -> None:
    bed = WatchBed()
    connection, transport, _ = bed.connect()
    connection.dataReceived(event_bytes(4))
    connection.dataReceived(invalid_event)
    assert transport.aborted
    connection.connectionLost(CONNECTION_DONE)
    bed.reactor.advance(0.1)
    connection, _, last_event = bed.connect()
    assert last_event == 0
    connection.dataReceived(event_bytes(1, is_snapshot=True) + event_bytes(2) + event_bytes(3))
    assert bed.event_numbers() == [4, *withheld]
    connection.dataReceived(event_bytes(4) + event_bytes(5))
    assert bed.event_numbers() == [4, *withheld, 1, 2, 3, 4, 5]
    connection.dataReceived(event_bytes(6))
    assert bed.event_numbers()[-1] == 6


def test_event_that_is_invalid_in_the_whole_list_too_is_skipped() -> None:
    bed = WatchBed()
    for _ in range(2):
        connection, transport, _ = bed.connect()
        connection.dataReceived(b"data: {}\n\n")
        if transport.aborted:
            connection.connectionLost(CONNECTION_DONE)
            bed.reactor.advance(0.1)
    assert not transport.aborted
    connection.dataReceived(event_bytes(1, is_snapshot=True) + event_bytes(4))
    assert bed.event_numbers() == [1, 4]


def test_snapshot_restarts_the_event_numbers() -> None:
    bed = WatchBed(last_event_number=40)
    connection, _, _ = bed.connect()
    connection.dataReceived(event_bytes(1, is_snapshot=True, name="e7") + event_bytes(2) + event_bytes(2))
    assert bed.event_numbers() == [1, 2]


def test_replay_with_restarted_numbers_is_delivered_after_a_timeout() -> None:
    bed = WatchBed(last_event_number=40)
    connection, _, _ = bed.connect()
    connection.dataReceived(b"data: {}\n\n")
    connection.connectionLost(CONNECTION_DONE)
    bed.reactor.advance(0.1)
    connection, _, _ = bed.connect()
    connection.dataReceived(event_bytes(1, is_snapshot=True))
    bed.watch.poll()
    assert not bed.events
    bed.reactor.advance(1.1)
    bed.watch.poll()
    assert bed.event_numbers() == [1]


def test_interrupted_replay_starts_again_without_duplicates() -> None:
    bed = WatchBed()
    connection, _, _ = bed.connect()
    connection.dataReceived(event_bytes(4) + b"data: {}\n\n")
    for _ in range(2):
        connection.connectionLost(CONNECTION_DONE)
        bed.reactor.advance(0.1)
        connection, _, last_event = bed.connect()
        assert last_event == 0
        connection.dataReceived(event_bytes(1, is_snapshot=True) + event_bytes(2))
        assert bed.event_numbers() == [4]
    connection.dataReceived(event_bytes(3) + event_bytes(4) + event_bytes(5))
    assert bed.event_numbers() == [4, 1, 2, 3, 4, 5]


def test_held_or_dropped_events_deliver_drains_at_once() -> None:
    bed = WatchBed()
    connection, transport, _ = bed.connect()
    connection.dataReceived(event_bytes(4, name="e1") + event_bytes(9, name="e1", status="Terminating"))
    assert transport.aborted
    assert [(event.event_number, event.withheld_only) for event in bed.events] == [
        (4, False),
        (4, True),
    ]
    connection.connectionLost(CONNECTION_DONE)
    bed.reactor.advance(0.1)
    connection, _, last_event = bed.connect()
    assert last_event == 0
    connection.dataReceived(
        event_bytes(1, is_snapshot=True, name="e1") + event_bytes(2, name="e2", status="Gone")
    )
    assert [event.withheld_only for event in bed.events] == [False, True, True]


def test_event_behind_a_gap_delivers_new_processes_at_once() -> None:
    """Guards against sends to an address that another process has got while the whole list is requested."""
    bed = WatchBed()
    connection, _, _ = bed.connect()
    connection.dataReceived(event_bytes(4, name="e1") + event_bytes(9, name="e2"))
    assert [event.withheld_only for event in bed.events] == [False, True]
    assert [entry.endpoint.name for entry in bed.events[-1].endpoints] == ["e2"]
