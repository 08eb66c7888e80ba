"""The bulletin's events: JSON to rosters. Pure."""

from __future__ import annotations

import json
from typing import Any

from ashcross.gateway import interface as api
from ashcross.memory.fleet import Entry, Roster

MODES = {"Ready": api.Mode.READY, "Terminating": api.Mode.DRAINING, "Gone": api.Mode.GONE}
ENTRIES_MOST = 100_000


class RosterError(ValueError):
    """An event of the bulletin that cannot be used."""


def parse_event(text: str) -> Roster:
    """Read the data of one event."""
    try:
        content = json.loads(text)
    except (ValueError, RecursionError):
        raise RosterError("not JSON") from None
    return roster(content)


def roster(content: Any) -> Roster:
    """Check one event and make a roster of it."""
    try:
        body = content["roster"]
        entries = body["endpoints"]
        if not isinstance(entries, list) or len(entries) > ENTRIES_MOST:
            raise RosterError("endpoints is no list, or too long a one")
        return Roster(
            number=_whole(content["no"]),
            version=_whole(body.get("index", 0)),
            whole=bool(body.get("snapshot", False)),
            entries=tuple(_entry(item) for item in entries),
        )
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise RosterError(f"{type(error).__name__} {error}") from None


def _whole(value: Any) -> int:
    if isinstance(value, int) and not isinstance(value, bool) and value >= 0:
        return value
    raise RosterError(f"wanted a whole number, found {str(value)[:40]!r}")


def _text(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= 256:
        raise RosterError(f"wanted a name, found {str(value)[:40]!r}")
    return value


def _entry(item: Any) -> Entry:
    status = _text(item["status"])
    if status not in MODES:
        raise RosterError(f"unknown status {status[:40]!r}")
    mode = MODES[status]
    gone = mode is api.Mode.GONE  # what has gone needs no address
    host, port = address(item.get("address"), gone)
    weight = item.get("weight", 1)
    if isinstance(weight, bool) or not isinstance(weight, (int, float)):
        raise RosterError("weight is no number")
    told = api.EngineEntry(
        engine=_text(item["name"]),
        zone=str(item.get("zone", "")),
        kind=str(item.get("type", "")),
        cell=_whole(item.get("group", 0)),
        mode=mode,
        nominal=float(weight),
        boot_us=_whole(item.get("since_ms") or 0) * 1000,
    )
    return Entry(told, host, port)


def address(value: Any, may_miss: bool = False, least: int = 1) -> tuple[str, int]:
    """`host:port` in its parts."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if host and port.isdigit() and least <= int(port) < 65536:
        return host, int(port)
    if may_miss:
        return "", 0
    raise RosterError(f"wanted host:port, found {str(value)[:40]!r}")
