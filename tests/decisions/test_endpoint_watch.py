"""Endpoint watch: requested until a list arrives, and again after a failure."""

from __future__ import annotations

from ashcross.decisions.actions import WatchEndpointList
from ashcross.decisions.events import EndpointListKind, EndpointListUpdate
from tests.harness.decision_model import LOOKUP, SchedulerTestBed, endpoint, make_settings, started


def test_watch_is_requested_again_after_a_failure() -> None:
    bed = SchedulerTestBed(make_settings(LOOKUP, must_watch_endpoint_list=True))
    requests = [action for action in bed.advance(1_000_000) if isinstance(action, WatchEndpointList)]
    assert requests == [WatchEndpointList(True)]
    bed.handle(EndpointListUpdate(EndpointListKind.FAILED, 0, ()))
    requests = [action for action in bed.advance(5_200_000) if isinstance(action, WatchEndpointList)]
    assert len(requests) == 2  # one every quarter of `endpoint_list_max_age_us`, which is 10 s
    bed.update_list([endpoint("e0")])
    assert not [action for action in bed.advance(20_000_000) if isinstance(action, WatchEndpointList)]
    assert started(bed.receive())
