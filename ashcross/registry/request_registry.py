"""Records of requests, attempts and health checks, and the registry of open requests with its deadlines."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from ashcross.decisions.events import AttemptOutcome
from ashcross.decisions.send_rules import NOT_EXECUTED
from ashcross.decisions.settings import ClassSettings
from ashcross.errors import AshcrossError
from ashcross.registry.deadlines import Deadlines
from ashcross.registry.recent import RecentDict

MIN_REMEMBERED_IDS = 4_096  # ids of requests that are over and were sent to an engine


class ReplyChannel(Protocol):
    """The client connection of a request, which takes its one answer."""

    def reply(self, call_id: int, frame: bytes) -> None:
        """Write a complete answer."""

    def can_accept(self, size: int) -> bool:
        """Return whether an answer of `size` bytes stays within the limit on unsent answers."""

    def drain_input(self) -> bool:
        """Read what the client has sent so far, including its close; return False if it sends too much."""


class AttemptConnection(Protocol):
    """The interface of an engine connection to the attempts on it."""

    def release_attempt(self, attempt: AttemptRecord) -> None:
        """Remove a completed attempt; cancel it at the engine if the engine may still work on it."""

    def set_priority(self, attempt: AttemptRecord, priority: int) -> None:
        """Set the priority of an attempt in flight."""


class AttemptStage(Enum):
    """The progress of an attempt on the wire."""

    CONNECTING = "connecting"  # its query has not been written
    REQUESTED = "requested"  # its query has been written
    FETCHING_PAGES = "fetching pages"  # the engine has served it, and its other pages have been requested


STAGE_TRANSITIONS: dict[AttemptStage, frozenset[AttemptStage]] = {
    AttemptStage.CONNECTING: frozenset((AttemptStage.REQUESTED,)),
    AttemptStage.REQUESTED: frozenset((AttemptStage.FETCHING_PAGES,)),
    AttemptStage.FETCHING_PAGES: frozenset(),
}


class AttemptStageError(AshcrossError):
    """An attempt was to enter a stage to which there is no legal transition."""

    remedy = "a fault of the program: report it with the log lines before it"


@dataclass(eq=False, slots=True)
class RequestRecord:
    """One request of a client, kept while it has no final answer or has attempts in flight."""

    request_id: str
    client: ReplyChannel
    call_id: int
    class_name: str
    statement: bytes
    idempotency_key: str | None
    deadline_us: int
    arrived_us: int  # the earliest time at which its last byte can have arrived
    class_settings: ClassSettings | None = None  # None: its class is not in the settings
    priority: int | None = None
    is_over: bool = False
    connections_lost: int = 0  # how many of its attempts ended with the loss of their connection
    attempts: list[AttemptRecord] = field(default_factory=list)

    @property
    def attempts_in_flight(self) -> int:
        """The number of attempts that have no outcome yet."""
        return sum(not attempt.completed for attempt in self.attempts)

    def first_executed_us(self) -> int | None:
        """Return when the first attempt that may have executed began (us); None if none can have."""
        return next((attempt.first_byte_us for attempt in self.attempts if attempt.may_have_executed), None)


@dataclass(eq=False, slots=True)
class AttemptRecord:
    """One attempt, from the scheduler's action that starts it to its one outcome."""

    request: RequestRecord
    number: int
    engine_name: str
    started_us: int
    expires_us: int
    stage: AttemptStage = AttemptStage.CONNECTING
    stream_offset: int = 0  # the offset of its query in the bytes written to its connection
    completed: bool = False  # it has its outcome; possible in any stage, and no other stage follows
    connection: AttemptConnection | None = None
    pages: list[bytes | None] = field(default_factory=list)
    missing_pages: int = 0
    answer_bytes: int = 0
    engine_finished: bool = False  # the engine has sent its last answer for the attempt
    first_byte_us: int | None = None  # when its first byte was passed to the connection
    outcome: AttemptOutcome | None = None  # None until the attempt is completed
    load_report: dict[str, float] = field(default_factory=dict)

    def advance_to(self, stage: AttemptStage) -> None:
        """Enter a later stage. Raises `AttemptStageError` if the transition is not legal."""
        if self.completed or stage not in STAGE_TRANSITIONS[self.stage]:
            found = f"stage {self.stage.value}" + (", completed" if self.completed else "")
            raise AttemptStageError(
                f"attempt {self.number} of request {self.request.request_id}",
                f"a stage that {stage.value} may follow",
                found,
            )
        self.stage = stage

    @property
    def may_have_executed(self) -> bool:
        """Whether the attempt has begun and its outcome does not prove that it did not execute."""
        return self.first_byte_us is not None and self.outcome not in NOT_EXECUTED


@dataclass(eq=False, slots=True)
class HealthCheckRecord:
    """One health check, until it is answered or has timed out."""

    tag: str
    engine_name: str
    started_us: int
    completed: bool = False


def is_finished(record: object) -> bool:
    """Return whether a record is a finished request, attempt or health check, which needs no deadline."""
    if isinstance(record, AttemptRecord | HealthCheckRecord):
        return record.completed
    return isinstance(record, RequestRecord) and record.is_over


class RequestRegistry:
    """Requests by id: at most `max_open` open ones, and `max_statement_bytes` of statements in total."""

    def __init__(
        self, max_open: int, max_statement_bytes: int, remembered_ids: int = MIN_REMEMBERED_IDS
    ) -> None:
        self.max_open = max_open
        self.max_statement_bytes = max_statement_bytes
        self.by_id: dict[str, RequestRecord] = {}
        self.deadlines = Deadlines(is_finished)
        self.open_count = 0
        self.statement_bytes = 0
        self._finished: list[RequestRecord] = []
        # An engine may still send an answer for one of them, and a client may send one again. Without this a
        # request would run twice.
        self.recently_forwarded: RecentDict[str, None] = RecentDict(remembered_ids)

    def was_forwarded(self, request_id: str) -> bool:
        """Return whether a request of this id was recently forwarded, so that a late answer may name it."""
        return request_id in self.recently_forwarded

    def is_full(self, statement_bytes: int) -> bool:
        """Return whether one more request, with a statement of `statement_bytes`, would exceed the limits."""
        return (
            self.open_count >= self.max_open
            or self.statement_bytes + statement_bytes > self.max_statement_bytes
        )

    def add(self, request: RequestRecord) -> None:
        """Add an open request."""
        self.by_id[request.request_id] = request
        self.open_count += 1
        self.statement_bytes += len(request.statement)

    def finish(self, request: RequestRecord) -> None:
        """Mark a request as over: it has its final answer, or its client has disconnected."""
        if not request.is_over:
            request.is_over = True
            self.open_count -= 1
            self._finished.append(request)

    def sweep(self) -> None:
        """Remove finished requests without attempts in flight; the scheduler may name them until then."""
        still_in_flight = []
        for request in self._finished:
            if request.attempts_in_flight:
                still_in_flight.append(request)
            else:
                self._remove(request)
        self._finished = still_in_flight

    def _remove(self, request: RequestRecord) -> None:
        del self.by_id[request.request_id]
        if any(attempt.first_byte_us is not None for attempt in request.attempts):
            self.recently_forwarded.put(request.request_id, None)
        self.statement_bytes -= len(request.statement)
        # the heap of deadlines may refer to the record for longer, so it must not hold much memory
        request.statement = b""
        request.attempts.clear()
