"""What the protocols need of the dispatcher core, as interfaces below it."""

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
    """What a query is: its class, its group of tables, and its ordering key if its class is ordered."""

    class_index: int
    class_name: str
    table_group: int
    ordering_key: str | None = None


class AdmissionGate(Protocol):
    """Admission control by quotas: may hold a request back before the scheduler hears of it, or reject it."""

    def request_received(self, request: RequestRecord, tenant: str | None) -> None:
        """A request was accepted; one call of `DispatcherCore.admit` or `DispatcherCore.reject` follows."""

    def attempt_started(self, request: RequestRecord) -> None:
        """An attempt of it begins at an engine."""

    def request_finished(self, request: RequestRecord) -> None:
        """It has its final answer, or its client has disconnected."""


class Health(Protocol):
    """What answers a ping."""

    @property
    def is_ready(self) -> bool:
        """Whether this dispatcher takes further requests."""


class Clock(Protocol):
    """A monotonic clock in microseconds."""

    def __call__(self) -> int:
        """Now."""


class ClientHost(Protocol):
    """The dispatcher core, as connections from clients use it."""

    clock: Clock
    requests: RequestRegistry
    gate: AdmissionGate | None
    listening_since_us: int  # since when clients can connect
    before_first_sweep: bool  # who connects may have waited since `listening_since_us`

    def arrival_us(self) -> int:
        """When bytes that are read now came at the earliest."""

    def accept_request(
        self,
        client: ReplyChannel,
        call_id: int,
        classified: ClassifiedQuery,
        query: Query,
        arrived_us: int,
    ) -> RequestRecord:
        """Accept a query."""

    def client_disconnected(self, request: RequestRecord) -> None:
        """The client has disconnected or aborted the request; no answer is owed."""

    def evict(self, request: RequestRecord) -> None:
        """Its connection is evicted: fail it."""


class EngineHost(Protocol):
    """The dispatcher core, as connections to engines use it."""

    clock: Clock
    requests: RequestRegistry
    endpoints: EndpointRegistry

    def complete_attempt(
        self, attempt: AttemptRecord, outcome: AttemptOutcome, blames_engine: bool = True
    ) -> None:
        """Complete an attempt with its one outcome; `blames_engine` if it counts against the engine."""

    def attempt_progressed(self, attempt: AttemptRecord, kind: ProgressKind, value: float) -> None:
        """Progress of an attempt in flight."""

    def health_check_completed(
        self, health_check: HealthCheckRecord, outcome: AttemptOutcome, report: dict[str, float]
    ) -> None:
        """Complete a health check with its one outcome."""

    def call_at(self, at_us: int, call: Callable[[Any], None], argument: Any) -> None:
        """Have `call(argument)` made at a time."""

    def may_begin_attempt(self, attempt: AttemptRecord, engine: EngineRecord) -> bool:
        """Whether the first byte of an attempt may go out, now that nothing is waited for; if so it must."""
