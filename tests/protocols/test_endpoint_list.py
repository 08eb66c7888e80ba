"""Tests of the parser of discovery events."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest

from ashcross.protocols.discovery.endpoint_list import EndpointListError, parse_event

EVENT: dict[str, Any] = {
    "no": 41,
    "roster": {
        "index": 7,
        "snapshot": False,
        "endpoints": [
            {
                "name": "s-1",
                "address": "10.1.0.9:8080",
                "zone": "east",
                "type": "std",
                "group": 2,
                "status": "Terminating",
                "weight": 4,
                "since_ms": 1500,
            }
        ],
    },
}


def test_event_is_parsed() -> None:
    event = parse_event(json.dumps(EVENT))
    (entry,) = event.endpoints
    assert (event.event_number, event.version, event.is_snapshot) == (41, 7, False)
    assert (entry.host, entry.port) == ("10.1.0.9", 8080)
    endpoint = entry.endpoint
    assert (endpoint.name, endpoint.zone, endpoint.engine_kind, endpoint.cell, endpoint.nominal) == (
        "s-1",
        "east",
        "std",
        2,
        4.0,
    )
    assert endpoint.boot_us == 1_500_000
    assert endpoint.state.name == "DRAINING"


def test_removed_endpoint_needs_no_address() -> None:
    event = copy.deepcopy(EVENT)
    event["roster"]["endpoints"][0] = {"name": "s-1", "status": "Gone"}
    assert parse_event(json.dumps(event)).endpoints[0].endpoint.state.name == "REMOVED"


@pytest.mark.parametrize(
    "invalid_entry",
    [
        {"name": "s-2", "status": "Odd", "address": "10.1.0.9:8081"},
        {"name": "s-2", "status": "Ready", "address": None},
        {"name": "s-2", "status": "Ready", "address": "10.1.0.9:8081", "group": "east"},
        {"name": "s-2", "status": "Ready", "address": "10.1.0.9:8081", "weight": "heavy"},
        {"name": "s-2"},
    ],
)
def test_invalid_entry_affects_only_its_engine(invalid_entry: Any) -> None:
    event = copy.deepcopy(EVENT)
    event["roster"]["endpoints"][0:0] = [invalid_entry, 5, {"status": "Ready"}, {"name": ["s-3"]}]
    unreadable, valid = parse_event(json.dumps(event)).endpoints
    assert (unreadable.endpoint.name, unreadable.unreadable) == ("s-2", True)
    assert (valid.endpoint.name, valid.unreadable) == ("s-1", False)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        "5",
        "{}",
        '{"no":1}',
        '{"no":"1","roster":{"endpoints":[]}}',
        '{"no":1,"roster":{"endpoints":5}}',
        "[" * 100_000,
    ],
)
def test_invalid_event_is_an_error(text: str) -> None:
    with pytest.raises(EndpointListError):
        parse_event(text)
