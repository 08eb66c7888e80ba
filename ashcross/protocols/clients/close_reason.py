"""The reasons for closing a client connection from this side."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """Why this side closes a client connection."""

    ALL_ANSWERED = "all answered"
    EVICTED = "evicted for a new connection"
    FLOOD = "flood after protocol violations"
    FRAMING_ERROR = "framing error"
    IDLE = "idle"
    INCOMPLETE_CALLS = "incomplete calls over their limit"
    INTERNAL_ERROR = "internal error"
    NO_REQUEST = "no request"
    PROTOCOL_VIOLATION = "protocol violation"
    SHUTDOWN = "shutdown"
    TOO_MANY_VIOLATIONS = "too many protocol violations"
    UNREAD_ANSWERS = "unread answers"
    UNUSABLE_CALL_ID = "unusable call id"
