"""Interfaces of the dispatcher core for the protocols, which must not import it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from ashcross.decisions.events import AttemptOutcome, ProgressKind
from ashcross.protocols.clients.json_rpc import Query
from ashcross.registry.endpoint_registry import EndpointRegistry, EngineRecord
from ashcross.registry.request_registry import (
    AttemptRecord,
    HealthCheckRecord,
    ReplyChannel,
    RequestRecord,
    RequestRegistry,
)


@dataclass(frozen=True, slots=True)
class ClassifiedQuery:
    """The class of a query, its table group, and its ordering key if its class is ordered."""

    class_index: int
    class_name: str
    table_group: int
    ordering_key: str | None = None


class AdmissionGate(Protocol):
    """Admission control by quotas: may hold back or reject a request before the scheduler receives it."""

    def request_received(self, request: RequestRecord, tenant: str | None) -> None:
        """Handle a request; one call of `DispatcherCore.admit` or `DispatcherCore.reject` must follow."""

    def attempt_started(self, request: RequestRecord) -> None:
        """Note that an attempt of the request begins at an engine."""

    def request_finished(self, request: RequestRecord) -> None:
        """Note that the request has its final answer, or that its client has disconnected."""


class Health(Protocol):
    """The health that a ping reports."""

    @property
    def is_ready(self) -> bool:
        """Return whether this dispatcher accepts further requests."""


class Clock(Protocol):
    """A monotonic clock in microseconds."""

    def __call__(self) -> int:
        """Return the current time."""


class ClientHost(Protocol):
    """The dispatcher core, as connections from clients use it."""

    clock: Clock
    requests: RequestRegistry
    gate: AdmissionGate | None
    listening_since_us: int  # when clients could first connect
    before_first_sweep: bool  # clients that connect now may have waited since `listening_since_us`

    def arrival_us(self) -> int:
        """Return the earliest time at which bytes read now can have arrived."""

    def accept_request(
        self,
        client: ReplyChannel,
        call_id: int,
        classified: ClassifiedQuery,
        query: Query,
        arrived_us: int,
    ) -> RequestRecord:
        """Accept a query and return its request record."""

    def client_disconnected(self, request: RequestRecord) -> None:
        """Drop a request whose client has disconnected or aborted it; no answer is owed."""

    def evict(self, request: RequestRecord) -> None:
        """Fail a request, as its connection is being evicted or no longer read."""


class EngineHost(Protocol):
    """The dispatcher core, as connections to engines use it."""

    clock: Clock
    requests: RequestRegistry
    endpoints: EndpointRegistry

    def complete_attempt(
        self, attempt: AttemptRecord, outcome: AttemptOutcome, blames_engine: bool = True
    ) -> None:
        """Complete an attempt with its one outcome, held against the engine if `blames_engine`."""

    def attempt_progressed(self, attempt: AttemptRecord, kind: ProgressKind, value: float) -> None:
        """Report the progress of an attempt in flight."""

    def health_check_completed(
        self, health_check: HealthCheckRecord, outcome: AttemptOutcome, report: dict[str, float]
    ) -> None:
        """Complete a health check with its one outcome."""

    def call_at(self, at_us: int, call: Callable[[Any], None], argument: Any) -> None:
        """Schedule `call(argument)` for a time in microseconds."""

    def may_begin_attempt(self, attempt: AttemptRecord, engine: EngineRecord) -> bool:
        """Return whether an attempt may be sent now; if it may, the caller must send it at once."""
