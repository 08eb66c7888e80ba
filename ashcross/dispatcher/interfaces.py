"""Interfaces between the dispatcher and its scheduler, engine connections and event loop, and its limits."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from ashcross.decisions.actions import Action
from ashcross.decisions.events import Event
from ashcross.decisions.settings import ClassSettings
from ashcross.protocols.host_interfaces import AdmissionGate, Clock
from ashcross.registry.endpoint_registry import EndpointRegistry, EngineRecord
from ashcross.registry.request_registry import AttemptRecord, HealthCheckRecord, RequestRegistry

NEVER_US = 1 << 62  # later than any time that a clock of this process returns


class Scheduler(Protocol):
    """The scheduler, which decides on every request."""

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle one event at `now` (us) and return the actions to execute."""


class EngineConnections(Protocol):
    """The connections to engines."""

    def start_attempt(self, attempt: AttemptRecord, engine: EngineRecord) -> None:
        """Put an attempt on a connection; `complete_attempt` is called for it in every case."""

    def start_health_check(self, health_check: HealthCheckRecord, engine: EngineRecord) -> None:
        """Ask an engine for its load report."""

    def close_idle_connections(self, engine: EngineRecord) -> None:
        """Close the engine's connections without attempts in flight."""

    def endpoint_list_changed(self, close_all: bool = False) -> None:
        """Close connections with unsent bytes to engines that are no longer ready, or to all engines."""


class DelayedCall(Protocol):
    """A call that the event loop will make."""

    def cancel(self) -> None:
        """Cancel the call."""


# The event loop's `callLater`: a delay in seconds, a function and its arguments, of any type.
CallLater = Callable[..., DelayedCall]


class CallAt(Protocol):
    """Schedules a call for a time of the dispatcher's clock."""

    def __call__(self, at_us: int, call: Callable[[Any], None], argument: Any) -> None:
        """Schedule `call(argument)` for `at_us`; `call` determines the type of its argument."""


@dataclass(frozen=True, slots=True)
class DispatcherLimits:
    """Limits from the settings and the configuration; times in microseconds."""

    max_attempts: int
    answer_slack_us: int  # from a request's deadline until the dispatcher fails it without the scheduler
    health_check_timeout_us: int
    lag_warn_us: int  # a batch that begins later than this after it was due is logged
    # wait after an attempt ends by a cancel, timeout or reset before the scheduler is notified of it: the
    # KILL command, or the close of the connection, must reach the engine before a retry can
    cancel_grace_us: int = 0
    max_request_us: int = NEVER_US  # the longest time that a client of any class waits for its answer
    hedging_allowed: bool = False
    classes: tuple[ClassSettings, ...] = ()  # by class index


@dataclass(slots=True)
class DispatcherContext:
    """The objects that the modules of one dispatcher share."""

    clock: Clock
    requests: RequestRegistry
    endpoints: EndpointRegistry
    limits: DispatcherLimits
    enqueue_event: Callable[[Event], None]
    schedule_batch: Callable[[], None]
    call_at: CallAt
    engines: EngineConnections | None = None  # None until the connection pool is set
    gate: AdmissionGate | None = None  # None: every request is admitted at once
