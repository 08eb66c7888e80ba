"""The endpoint list for the scheduler: polls, watch events, freshness."""

from __future__ import annotations

from ashcross.decisions.actions import CloseIdleConnections, PollEndpointList, WatchEndpointList
from ashcross.decisions.events import EndpointListKind, EndpointListUpdate, EndpointState, TimerFired
from tests.harness.dispatcher_bed import DispatcherBed, discovered_endpoint, endpoint_list_event


def test_poll_gives_the_list_only_while_discovery_is_connected() -> None:
    bed = DispatcherBed()
    bed.dispatcher.enqueue_event(TimerFired(0))
    bed.scheduler.script = lambda now, event: (
        [WatchEndpointList(True), PollEndpointList(), WatchEndpointList(False), CloseIdleConnections("e1")]
        if event == TimerFired(0)
        else []
    )
    bed.run()
    kinds = [event.kind for event in bed.scheduler.of(EndpointListUpdate)]
    assert kinds == [EndpointListKind.FULL, EndpointListKind.FULL, EndpointListKind.DELTA]
    assert bed.engines.closed == ["e1"]
    bed.dispatcher.discovery_is_connected = lambda: False
    bed.dispatcher.enqueue_event(TimerFired(0))
    bed.run()
    assert [event.kind for event in bed.scheduler.of(EndpointListUpdate)][3:5] == [
        EndpointListKind.FAILED
    ] * 2


def test_fresh_list_includes_events_of_the_same_batch() -> None:
    """Guards against undone drains: a list from before the backlog of events was sent after those events."""
    bed = DispatcherBed()
    bed.dispatcher.set_list_freshness(False)
    bed.run()
    bed.dispatcher.receive_endpoint_list_event(
        endpoint_list_event(
            discovered_endpoint("e1", state=EndpointState.DRAINING), discovered_endpoint("e3"), event_number=2
        )
    )
    bed.dispatcher.set_list_freshness(True)
    bed.run()
    stale, *lists = bed.scheduler.of(EndpointListUpdate)
    assert stale.kind is EndpointListKind.STALE
    states: dict[str, EndpointState] = {}
    for update in lists:
        states = {} if update.kind is EndpointListKind.FULL else states
        states |= {endpoint.name: endpoint.state for endpoint in update.endpoints}
    assert states == {"e1": EndpointState.DRAINING, "e2": EndpointState.READY, "e3": EndpointState.READY}


def test_events_are_held_back_while_the_list_is_stale() -> None:
    """Guards against wasted attempts: an event passed on at once ended the scheduler's pause of sending."""
    bed = DispatcherBed()
    bed.dispatcher.set_list_freshness(False)
    bed.dispatcher.receive_endpoint_list_event(endpoint_list_event(discovered_endpoint("e3"), event_number=2))
    bed.run()
    assert [update.kind for update in bed.scheduler.of(EndpointListUpdate)] == [EndpointListKind.STALE]
    assert "e3" in bed.endpoints.engines
    bed.dispatcher.set_list_freshness(True)
    bed.run()
    assert [endpoint.name for endpoint in bed.scheduler.of(EndpointListUpdate)[-1].endpoints] == [
        "e1",
        "e2",
        "e3",
    ]
