"""Events that the host passes to the scheduler: types without logic.

Times are integer microseconds of one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """State of an engine in the endpoint list; the values are the numbers of the bench protocol."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(Enum):
    """Kind of an endpoint list update; the values are the numbers of the bench protocol."""

    DELTA = 0  # changes of the list before
    FULL = 1  # the complete list
    CACHED = 2  # the complete list as known earlier, not from a watch
    FAILED = 3  # the list could not be read
    STALE = 4  # the list is unconfirmed for so long that no attempt may be sent on its basis


class AttemptOutcome(Enum):
    """Outcome of an attempt or of a health check."""

    SUCCEEDED = "succeeded"
    ERROR = "error"
    OVERLOADED = "overloaded"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


class ProgressKind(Enum):
    """Kind of an engine's report on an attempt; the values are the numbers of the bench protocol."""

    PROGRESS = 1
    SPILLING = 2
    QUEUED = 3


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One engine in the endpoint list."""

    name: str
    zone: str
    engine_kind: str
    cell: int
    state: EndpointState
    nominal: float  # weight as listed; the scheduler does not use it
    # start time as listed, 0: long ago; with `name` it identifies the process, for all instances alike
    boot_us: int
    # `boot_us` converted by the host to the clock of the events; None: not converted, `boot_us` is used
    started_us: int | None = None
    start_is_certain: bool = True  # False: the listed start time contradicts what the host observed
    address: str = ""  # where the process listens, for comparison alone; empty if the host does not know it

    @property
    def start_us(self) -> int:
        """Return the start time of the process by the clock of the events; 0 if it started long ago."""
        return self.boot_us if self.started_us is None else self.started_us


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """Update of the endpoint list: the complete list, changes of it, or a failure (see `kind`)."""

    kind: EndpointListKind
    version: int
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """Arrival of a client's request, which must get one final answer within `time_left_us`."""

    request_id: str
    class_index: int  # index into `SchedulerSettings.classes`
    table_group: int
    ordering_key: str | None
    memory_mb: float
    work_estimate_us: int  # 0: no estimate
    time_left_us: int
    tenant: str | None
    is_retry: bool


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """End of an attempt; `request_is_over`: its request has its final answer or needs none."""

    request_id: str
    attempt_number: int
    engine_name: str
    outcome: AttemptOutcome
    latency_us: int
    request_is_over: bool
    work_us: int
    memory_used_mb: float
    load_report: dict[str, float]
    blames_engine: bool = True  # False: it ended with a connection whose fault another attempt reports


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """Start of a streamed answer; the client gets the answer of this attempt."""

    request_id: str
    attempt_number: int
    engine_name: str
    latency_us: int


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """Report of an engine on an attempt in flight; for PROGRESS `value` is the share done, 0 to 1."""

    request_id: str
    attempt_number: int
    engine_name: str
    kind: ProgressKind
    value: float


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """Disconnection of a request's client; the request needs no answer any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Expiry of a timer that was set by `StartTimer`."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckCompleted:
    """Result of a health check."""

    engine_name: str
    outcome: AttemptOutcome
    latency_us: int
    load_report: dict[str, float]


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Message from another dispatcher."""

    peer: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """Start of the dispatcher's shutdown; each open request needs its final answer now."""


Event = (
    EndpointListUpdate
    | RequestReceived
    | AttemptCompleted
    | AnswerStarted
    | AttemptProgress
    | ClientDisconnected
    | TimerFired
    | HealthCheckCompleted
    | PeerMessageReceived
    | ShutdownStarted
)
