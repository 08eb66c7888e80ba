"""The reasons for closing connections to engines, and counts of protocol errors."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class CloseReason(StrEnum):
    """Why this side closes a connection to an engine."""

    EVICTED = "evicted for a new connection"
    IDLE = "idle"
    INCOMPLETE_ANSWER = "incomplete answer"
    PROTOCOL_ERROR = "protocol error"
    UNRESPONSIVE = "unresponsive while the engine's other connections answer"
    WRITE_BLOCKED = "write-blocked"


@dataclass(slots=True)
class ProtocolErrorCounts:
    """Counts of protocol errors on the connections to all engines together."""

    closed_connections: int = 0
    unexpected_answers: int = 0  # answers to nothing in flight, and duplicates
