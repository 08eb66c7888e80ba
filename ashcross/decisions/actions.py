"""Actions that the scheduler requests from its host: types without logic.

Times are integer microseconds of one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Command to start an attempt; with `timeout_us` 0 it may run until the client's deadline."""

    request_id: str
    engine_name: str
    timeout_us: int


@dataclass(frozen=True, slots=True)
class SetAttemptTerms:
    """Memory grant (MB, 0: the engine decides) and priority (0 to 3) for a request's next attempts."""

    request_id: str
    memory_grant_mb: float
    priority: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Command to cancel an attempt, whose answer is no longer needed."""

    request_id: str
    attempt_number: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: rejected, and a retry is harmless; with `retry_after_us` 0 no wait is suggested."""

    request_id: str
    retry_after_us: int
    # a constant of the module that decided, for logs and metrics
    reason: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed; nothing is known of whether a retry is harmless."""

    request_id: str
    reason: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Command to set a timer: a `TimerFired` with the same token is due at `at_us`."""

    at_us: int
    token: int


@dataclass(frozen=True, slots=True)
class StartHealthCheck:
    """Command to start a health check, which asks an engine for its load report."""

    engine_name: str


@dataclass(frozen=True, slots=True)
class WatchEndpointList:
    """Command to start (`enabled`) or stop the watch of the endpoint list."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class PollEndpointList:
    """Command to fetch the complete endpoint list once."""


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Command to close the idle connections to an engine."""

    engine_name: str


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Message to another dispatcher, or to all of them if `peer` is -1."""

    peer: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Line for the log."""

    text: str


Action = (
    StartAttempt
    | SetAttemptTerms
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | StartTimer
    | StartHealthCheck
    | WatchEndpointList
    | PollEndpointList
    | CloseIdleConnections
    | SendToPeer
    | LogMessage
)
