"""Codec of the discovery service's events: turns JSON into endpoint list events. No I/O, no state.

The member names of the wire (`roster`, `group`, `since_ms`, ...) are used in this module only;
`parse_content` and `_parse_entry` map them to fields.
"""

from __future__ import annotations

import json
from typing import Any

from ashcross.decisions.events import Endpoint, EndpointState
from ashcross.errors import AshcrossError, shown
from ashcross.logs import rate_limited_log
from ashcross.registry.endpoint_registry import DiscoveredEndpoint, EndpointListEvent

# status on the wire -> state of the endpoint
STATES = {"Ready": EndpointState.READY, "Terminating": EndpointState.DRAINING, "Gone": EndpointState.REMOVED}
MAX_ENTRIES = 100_000  # in one event
MAX_NAME_LENGTH = 256  # characters
MAX_PORT = 65_535
# the remedy of an error that concerns an event as a whole, not one entry of its list
EVENT_REMEDY = (
    "the event is ignored and the whole list is awaited; "
    "if this repeats, check what the discovery service sends"
)


class EndpointListError(AshcrossError):
    """An invalid event of the discovery service, or an invalid address."""

    remedy = "correct the entry in the discovery service; until then its engine gets no new attempts"


def parse_event(text: str) -> EndpointListEvent:
    """Parse the data of one event; raises `EndpointListError` if it is invalid."""
    try:
        content = json.loads(text)
    except (ValueError, RecursionError):
        raise EndpointListError(
            "an event of the discovery service", "JSON", shown(text), EVENT_REMEDY
        ) from None
    return parse_content(content)


def parse_content(content: Any) -> EndpointListEvent:
    """Convert one event from decoded JSON; raises `EndpointListError` if it is invalid."""
    try:
        body = content["roster"]
        entries = body["endpoints"]
        if not isinstance(entries, list) or len(entries) > MAX_ENTRIES:
            raise EndpointListError(
                "roster.endpoints",
                f"a list of {MAX_ENTRIES} entries at most",
                shown(entries),
                EVENT_REMEDY,
            )
        return EndpointListEvent(
            event_number=_whole_number(content["no"], EVENT_REMEDY),
            version=_whole_number(body.get("index", 0), EVENT_REMEDY),
            is_snapshot=bool(body.get("snapshot", False)),
            endpoints=tuple(entry for item in entries if (entry := _entry_or_unreadable(item)) is not None),
        )
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        wanted = "an object with no and roster"
        raise EndpointListError("event", wanted, _reason(error), EVENT_REMEDY) from None


def _whole_number(value: Any, remedy: str = "") -> int:
    if isinstance(value, int) and not isinstance(value, bool) and value >= 0:
        return value
    raise EndpointListError("number", "a whole number from 0 up", shown(value), remedy)


def _name(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
        raise EndpointListError(
            "name or status", f"a text of 1 to {MAX_NAME_LENGTH} characters", shown(value)
        )
    return value


def _entry_or_unreadable(item: Any) -> DiscoveredEndpoint | None:
    """Return one entry of a list; None if it has no name.

    An invalid entry with a name is marked unreadable: its engine gets no new attempts, others are unaffected.
    """
    try:
        return _parse_entry(item)
    except (EndpointListError, KeyError, TypeError, AttributeError, OverflowError, ValueError) as error:
        name = item.get("name") if isinstance(item, dict) else None
        if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_LENGTH:
            rate_limited_log.warn("roster", f"entry without a name ignored: reason={_reason(error)}")
            return None
        rate_limited_log.warn(
            "roster", f"invalid entry, engine gets no new attempts: engine={name!r} reason={_reason(error)}"
        )
        unreadable = Endpoint(name, "", "", 0, EndpointState.REMOVED, 1.0, 0)
        return DiscoveredEndpoint(unreadable, "", 0, unreadable=True)


def _reason(error: Exception) -> str:
    return str(error) if isinstance(error, EndpointListError) else f"{type(error).__name__} {error}"


def _parse_entry(item: Any) -> DiscoveredEndpoint:
    status = _name(item["status"])
    if status not in STATES:
        raise EndpointListError("status", f"one of {', '.join(STATES)}", shown(status))
    state = STATES[status]
    host, port = address(item.get("address"), may_be_missing=state is EndpointState.REMOVED)
    weight = item.get("weight", 1)
    if isinstance(weight, bool) or not isinstance(weight, (int, float)):
        raise EndpointListError("weight", "a number", shown(weight))
    endpoint = Endpoint(
        name=_name(item["name"]),
        zone=str(item.get("zone", "")),
        engine_kind=str(item.get("type", "")),
        cell=_whole_number(item.get("group", 0)),
        state=state,
        nominal=float(weight),
        boot_us=_whole_number(item.get("since_ms") or 0) * 1000,
        address=f"{host}:{port}",
    )
    return DiscoveredEndpoint(endpoint, host, port)


def address(value: Any, may_be_missing: bool = False, min_port: int = 1) -> tuple[str, int]:
    """Split `host:port`; raises `EndpointListError` for any other form.

    If the address may be missing, the result for any other form is an empty host and port 0.
    """
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if host and port.isdigit() and min_port <= int(port) <= MAX_PORT:
        return host, int(port)
    if may_be_missing:
        return "", 0
    raise EndpointListError("address", "host:port", shown(value))
