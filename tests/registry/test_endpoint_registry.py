"""The endpoint registry: how it applies watch events, and the updates for the scheduler."""

from __future__ import annotations

from dataclasses import replace
from typing import cast

import pytest

from ashcross.decisions.events import EndpointListKind, EndpointListUpdate, EndpointState
from ashcross.registry.endpoint_registry import EndpointListEvent, EndpointRegistry, PooledConnection
from tests.harness.dispatcher_bed import discovered_endpoint, endpoint_list_event


def test_events_of_one_batch_give_one_update() -> None:
    registry = EndpointRegistry()
    update = registry.apply_events(
        [endpoint_list_event(discovered_endpoint("a"), discovered_endpoint("b"), is_snapshot=True)],
        EndpointListKind.CACHED,
    )
    assert update.kind is EndpointListKind.CACHED
    assert len(update.endpoints) == 2
    update = registry.apply_events(
        [
            endpoint_list_event(discovered_endpoint("b", state=EndpointState.DRAINING), event_number=2),
            endpoint_list_event(discovered_endpoint("b", state=EndpointState.REMOVED), event_number=3),
        ]
    )
    assert update.kind is EndpointListKind.DELTA
    assert update.version == 3
    assert [(endpoint.name, endpoint.state) for endpoint in update.endpoints] == [
        ("b", EndpointState.REMOVED)
    ]
    assert list(registry.engines) == ["a"]


def test_snapshot_removes_unlisted_engines() -> None:
    registry = EndpointRegistry()
    registry.apply_events(
        [endpoint_list_event(discovered_endpoint("a"), discovered_endpoint("b"), is_snapshot=True)]
    )
    update = registry.apply_events(
        [
            endpoint_list_event(discovered_endpoint("c"), is_snapshot=True),
            endpoint_list_event(discovered_endpoint("d")),
        ]
    )
    assert update.kind is EndpointListKind.FULL
    assert [endpoint.name for endpoint in update.endpoints] == ["c", "d"]
    assert sorted(registry.engines) == ["c", "d"]


def test_new_address_or_process_gets_a_new_record() -> None:
    registry = EndpointRegistry()
    registry.apply_events([endpoint_list_event(discovered_endpoint("a", 1))])
    first = registry.engines["a"]
    registry.apply_events([endpoint_list_event(discovered_endpoint("a", 1, EndpointState.DRAINING))])
    assert registry.engines["a"] is first
    assert not first.ready
    registry.apply_events([endpoint_list_event(discovered_endpoint("a", 2))])
    second = registry.engines["a"]
    assert second is not first
    assert first.state is EndpointState.REMOVED
    registry.apply_events([endpoint_list_event(discovered_endpoint("a", 2, boot_us=5))])
    assert registry.engines["a"] is not second


def test_removed_engine_is_kept_while_it_has_connections() -> None:
    registry = EndpointRegistry()
    registry.apply_events([endpoint_list_event(discovered_endpoint("a", 1))])
    old = registry.engines["a"]
    old.connections.append(cast(PooledConnection, object()))  # the registry only counts it
    registry.apply_events([endpoint_list_event(discovered_endpoint("a", 2))])
    assert old in registry.records()
    assert registry.connection_count() == 1
    old.connections.clear()
    assert old not in registry.records()
    assert not registry.departed


def test_withheld_engine_is_draining_until_its_next_event() -> None:
    registry = EndpointRegistry()
    registry.apply_events(
        [endpoint_list_event(discovered_endpoint("a", 1), discovered_endpoint("b"), is_snapshot=True)]
    )
    withholding_event = EndpointListEvent(
        9,
        9,
        False,
        (
            discovered_endpoint("a", 7, EndpointState.REMOVED),
            discovered_endpoint("z", state=EndpointState.REMOVED),
        ),
        withheld_only=True,
    )
    update = registry.apply_events([withholding_event])
    assert [(endpoint.name, endpoint.state) for endpoint in update.endpoints] == [
        ("a", EndpointState.DRAINING)
    ]
    assert not registry.engines["a"].ready
    assert registry.engines["a"].port != 7
    assert registry.version == 9
    assert "z" not in registry.engines
    registry.apply_events([endpoint_list_event(discovered_endpoint("a", 1))])
    assert registry.engines["a"].ready


def test_unreadable_engine_in_a_snapshot_is_withheld() -> None:
    registry = EndpointRegistry()
    registry.apply_events(
        [endpoint_list_event(discovered_endpoint("a"), discovered_endpoint("b"), is_snapshot=True)]
    )
    unreadable = replace(discovered_endpoint("a"), unreadable=True)
    update = registry.apply_events(
        [endpoint_list_event(unreadable, discovered_endpoint("b"), is_snapshot=True)]
    )
    assert {endpoint.name: endpoint.state for endpoint in update.endpoints} == {
        "a": EndpointState.DRAINING,
        "b": EndpointState.READY,
    }


def states(update: EndpointListUpdate) -> dict[str, EndpointState]:
    return {endpoint.name: endpoint.state for endpoint in update.endpoints}


def test_process_at_the_address_of_another_withholds_that_one() -> None:
    """Guards against a request that runs twice: its retry for a gone process reached the next one there."""
    registry = EndpointRegistry()
    registry.apply_events([endpoint_list_event(discovered_endpoint("old", 7), is_snapshot=True)])
    old = registry.engines["old"]
    update = registry.apply_events([endpoint_list_event(discovered_endpoint("new", 7, boot_us=5))])
    assert states(update) == {"old": EndpointState.DRAINING, "new": EndpointState.READY}
    assert not old.ready
    assert registry.engines["new"].ready
    assert states(registry.snapshot()) == states(update)


@pytest.mark.parametrize("names", [("old", "new"), ("new", "old")])
def test_start_times_decide_which_process_of_one_list_is_at_the_address(names: tuple[str, str]) -> None:
    start_us = {"old": 3, "new": 5}
    registry = EndpointRegistry()
    entries = [discovered_endpoint(name, 7, boot_us=start_us[name]) for name in names]
    update = registry.apply_events([endpoint_list_event(*entries, is_snapshot=True)])
    assert states(update) == {"old": EndpointState.DRAINING, "new": EndpointState.READY}


@pytest.mark.parametrize("start_us", [1, 9])
def test_later_event_decides_over_start_times(start_us: int) -> None:
    """Guards against a wrong start time, which is by the clock of another machine."""
    registry = EndpointRegistry()
    registry.apply_events([endpoint_list_event(discovered_endpoint("old", 7, boot_us=5))])
    update = registry.apply_events([endpoint_list_event(discovered_endpoint("new", 7, boot_us=start_us))])
    assert states(update) == {"old": EndpointState.DRAINING, "new": EndpointState.READY}


def test_withheld_process_stays_withheld_while_another_is_at_its_address() -> None:
    registry = EndpointRegistry()
    old, new = discovered_endpoint("old", 7), discovered_endpoint("new", 7)
    registry.apply_events([endpoint_list_event(old), endpoint_list_event(new)])
    new_record = registry.engines["new"]
    for is_snapshot in (False, True):
        for entries in ((old,), (old, new), (new, old)):
            if is_snapshot and len(entries) == 1:
                continue
            registry.apply_events([endpoint_list_event(*entries, is_snapshot=is_snapshot)])
            assert not registry.engines["old"].ready
            assert registry.engines["new"] is new_record
            assert new_record.ready
    gone = discovered_endpoint("new", 7, EndpointState.REMOVED)
    registry.apply_events([endpoint_list_event(gone)])
    assert not registry.engines["old"].ready  # nothing shows that it is there again
    registry.apply_events([endpoint_list_event(old)])
    assert registry.engines["old"].ready


def test_engine_that_moves_away_frees_its_address() -> None:
    registry = EndpointRegistry()
    registry.apply_events([endpoint_list_event(discovered_endpoint("a", 7))])
    registry.apply_events([endpoint_list_event(discovered_endpoint("a", 8))])
    registry.apply_events([endpoint_list_event(discovered_endpoint("b", 7))])
    assert registry.engines["a"].ready
    assert registry.engines["b"].ready


@pytest.mark.parametrize(
    "entry", [("a", 8, 0), ("a", 7, 5), ("b", 7, 0)], ids=["moved", "restarted", "other"]
)
def test_event_behind_a_gap_withholds_a_process_that_it_replaces(entry: tuple[str, int, int]) -> None:
    """Guards against sends to a new process by the old one's entry while the whole list is requested."""
    name, port, start_us = entry
    registry = EndpointRegistry()
    registry.apply_events([endpoint_list_event(discovered_endpoint("a", 7), discovered_endpoint("c", 9))])
    listed = discovered_endpoint(name, port, boot_us=start_us)
    update = registry.apply_events([EndpointListEvent(9, 9, False, (listed,), withheld_only=True)])
    assert states(update) == {"a": EndpointState.DRAINING}
    assert sorted(registry.engines) == ["a", "c"]
    same = EndpointListEvent(9, 9, False, (discovered_endpoint("c", 9),), withheld_only=True)
    assert states(registry.apply_events([same])) == {}
    assert registry.engines["c"].ready
