"""Records of what a soak run observed: requests, attempts, drain notices and incarnations of dispatchers.

All times are seconds on the machine's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

MIN_RECORDED_LAG_S = 0.002  # shorter delays of the rig are not kept one by one


class AnswerKind(Enum):
    """Outcome that an answer reports to its client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class AttemptEnd(Enum):
    """Way an attempt ended, as far as its dispatcher can know it."""

    SERVED = "served"
    CRASHED = "crashed"
    OVERLOAD = "overload"  # the engine rejected the request without running it
    KILLED = "killed"
    CLOSED = "closed"


@dataclass(slots=True)
class Answer:
    """One final answer, as its client read it."""

    at_s: float
    kind: AnswerKind
    body: bytes = b""


@dataclass(slots=True)
class Request:
    """One request of a client."""

    request_id: str
    dispatcher: int
    class_name: str
    limit_s: float
    cpu_s: float
    sent_s: float  # taken before the last byte was written
    client_left_s: float | None = None  # when the client closed its connection or aborted the request
    connection_closed_s: float | None = None  # when the dispatcher closed the client's connection
    first_on_connection: bool = False
    well_behaved: bool = True  # the client follows the protocol and reads its answers
    answers: list[Answer] = field(default_factory=list)


@dataclass(slots=True)
class Attempt:
    """One PULL command, timed where it leaves its dispatcher."""

    request_id: str
    engine: str
    connection: int
    first_byte_s: float
    last_byte_s: float
    patience_s: float
    end_s: float | None = None
    end: AttemptEnd | None = None


@dataclass(slots=True)
class Incarnation:
    """One process of a dispatcher, from its start to its exit."""

    dispatcher: int
    start_s: float
    ready_s: float | None = None
    sigterm_s: float | None = None
    sigkill_s: float | None = None
    exit_s: float | None = None
    exit_code: int | None = None
    pauses: list[tuple[float, float]] = field(default_factory=list)  # each from SIGSTOP to SIGCONT

    def paused_s(self, begin_s: float, end_s: float) -> float:
        """Return how many seconds of an interval the process spent paused."""
        return sum(
            max(0.0, min(end_s, pause_end_s) - max(begin_s, pause_begin_s))
            for pause_begin_s, pause_end_s in self.pauses
        )


@dataclass(slots=True)
class DrainNotice:
    """An event of service discovery that takes an engine out of use, until the engine is ready again."""

    engine: str
    published_s: float  # when service discovery published the event
    ready_again_s: float | None = None
    delivered_s: dict[int, float] = field(default_factory=dict)  # by dispatcher: when the event was written


@dataclass(slots=True)
class ColdStart:
    """The interval in which a newly started engine process counts as cold."""

    engine: str
    start_s: float
    warm_s: float


@dataclass(slots=True)
class Ledger:
    """All records of one run."""

    requests: dict[str, Request] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    incarnations: list[Incarnation] = field(default_factory=list)
    drain_notices: list[DrainNotice] = field(default_factory=list)
    cold_starts: list[ColdStart] = field(default_factory=list)
    produced_rows: dict[tuple[str, str], bytes] = field(default_factory=dict)  # by request id and engine
    unexpected_answers: list[str] = field(default_factory=list)  # answers under ids that are not open
    log_errors: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)  # descriptions of injected faults, for the report
    worst_lag_s: float = 0.0  # longest delay of the rig's own event loop
    lags: list[tuple[float, float]] = field(default_factory=list)  # end and duration of each recorded delay
    end_s: float = 0.0

    def record_lag(self, at_s: float, lag_s: float) -> None:
        """Record that the rig ran late, so that events read just before may be out of order."""
        self.worst_lag_s = max(self.worst_lag_s, lag_s)
        if lag_s > MIN_RECORDED_LAG_S:
            self.lags.append((at_s, lag_s))

    def worst_lag_between(self, begin_s: float, end_s: float) -> float:
        """Return the longest recorded delay in seconds that overlaps an interval, or 0."""
        return max(
            (lag_s for at_s, lag_s in self.lags if at_s >= begin_s and at_s - lag_s <= end_s), default=0.0
        )

    def attempts_of(self, request_id: str) -> list[Attempt]:
        """Return the attempts of a request in the order of their last bytes."""
        return sorted(
            (attempt for attempt in self.attempts if attempt.request_id == request_id),
            key=lambda attempt: attempt.last_byte_s,
        )

    def incarnations_of(self, dispatcher: int) -> Iterator[Incarnation]:
        """Return the incarnations of a dispatcher, the oldest first."""
        return (incarnation for incarnation in self.incarnations if incarnation.dispatcher == dispatcher)

    def incarnation_at(self, dispatcher: int, at_s: float) -> Incarnation | None:
        """Return the incarnation of a dispatcher that ran at a given time, if there was one."""
        for incarnation in self.incarnations_of(dispatcher):
            if incarnation.start_s <= at_s and (incarnation.exit_s is None or at_s <= incarnation.exit_s):
                return incarnation
        return None
