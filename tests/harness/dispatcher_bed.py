"""A dispatcher core with a manual clock, a scripted scheduler and engines that the test controls."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ashcross.decisions.actions import Action, StartAttempt
from ashcross.decisions.events import (
    AttemptCompleted,
    AttemptOutcome,
    Endpoint,
    EndpointState,
    Event,
    RequestReceived,
)
from ashcross.dispatcher.core import DispatcherCore
from ashcross.dispatcher.interfaces import DispatcherLimits
from ashcross.protocols.clients import json_rpc
from ashcross.protocols.host_interfaces import ClassifiedQuery
from ashcross.registry.endpoint_registry import (
    DiscoveredEndpoint,
    EndpointListEvent,
    EndpointRegistry,
    EngineRecord,
)
from ashcross.registry.request_registry import (
    AttemptRecord,
    AttemptStage,
    HealthCheckRecord,
    RequestRecord,
    RequestRegistry,
)

START_US = 1_700_000_000_000_000
REQUEST_ID = "9b1f03aa5c7e2d41"


def discovered_endpoint(
    name: str, port: int = 0, state: EndpointState = EndpointState.READY, boot_us: int = 0
) -> DiscoveredEndpoint:
    """Return one entry of an endpoint list; without a port it has one of its own, 1 for e1."""
    port = port or (int(name[1:]) if name[1:].isdigit() else ord(name[0]))
    return DiscoveredEndpoint(Endpoint(name, "z", "k", 0, state, 1.0, boot_us), "127.0.0.1", port)


def endpoint_list_event(
    *endpoints: DiscoveredEndpoint, is_snapshot: bool = False, event_number: int = 1
) -> EndpointListEvent:
    """Return a watch event whose number is also its version."""
    return EndpointListEvent(event_number, event_number, is_snapshot, endpoints)


class ScriptedScheduler:
    """Records the events that it gets and returns the actions of a script."""

    def __init__(self) -> None:
        self.received: list[tuple[int, Event]] = []
        self.script: Callable[[int, Any], list[Action]] = lambda now, event: []

    def handle(self, now: int, event: Event) -> list[Action]:
        self.received.append((now, event))
        return self.script(now, event)

    def of(self, event_type: type) -> list[Any]:
        """Return the events of a type that were received, in order."""
        return [event for _, event in self.received if isinstance(event, event_type)]


class FakeClient:
    """Records replies; `on_drain_input` simulates input of the client that is not read yet."""

    def __init__(self) -> None:
        self.frames: list[tuple[int, bytes]] = []
        self.drain_count = 0
        self.accepts_replies = True
        self.on_drain_input: Callable[[], None] = lambda: None

    def reply(self, call_id: int, frame: bytes) -> None:
        self.frames.append((call_id, frame))

    def answers(self) -> list[dict[str, Any]]:
        return [json.loads(frame.split(b"\r\n\r\n", 1)[1]) for _, frame in self.frames]

    def can_accept(self, size: int) -> bool:
        return self.accepts_replies

    def drain_input(self) -> bool:
        self.drain_count += 1
        self.on_drain_input()
        return self.accepts_replies


@dataclass(frozen=True)
class Released:
    """A call of `release_attempt`, with the attempt's stage at that time."""

    attempt_number: int
    stage: AttemptStage


@dataclass(frozen=True)
class PrioritySet:
    """A call of `set_priority` for an attempt in flight."""

    attempt_number: int
    priority: int


class FakeAttemptConnection:
    def __init__(self) -> None:
        self.calls: list[Released | PrioritySet] = []

    def release_attempt(self, attempt: AttemptRecord) -> None:
        self.calls.append(Released(attempt.number, attempt.stage))

    def set_priority(self, attempt: AttemptRecord, priority: int) -> None:
        self.calls.append(PrioritySet(attempt.number, priority))


class FakeEngineConnections:
    """Records attempts and health checks; the test decides how they proceed."""

    def __init__(self) -> None:
        self.connection = FakeAttemptConnection()
        self.started: list[AttemptRecord] = []
        self.health_checks: list[HealthCheckRecord] = []
        self.closed: list[str] = []
        self.on_start: Callable[[AttemptRecord, EngineRecord], Any] = lambda attempt, engine: None

    def start_attempt(self, attempt: AttemptRecord, engine: EngineRecord) -> None:
        attempt.connection = self.connection
        attempt.stage = AttemptStage.REQUESTED
        self.started.append(attempt)
        self.on_start(attempt, engine)

    def start_health_check(self, health_check: HealthCheckRecord, engine: EngineRecord) -> None:
        self.health_checks.append(health_check)

    def close_idle_connections(self, engine: EngineRecord) -> None:
        self.closed.append(engine.name)

    def endpoint_list_changed(self, close_all: bool = False) -> None:
        pass


class DelayedCall:
    """A scheduled call, as returned by Twisted's `callLater`."""

    def __init__(self, due_us: int, serial: int, call: Callable[[], None]) -> None:
        self.due_us = due_us
        self.serial = serial
        self.call = call
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class DispatcherBed:
    """A dispatcher core with the engines e1 and e2, whose clock and delayed calls the test controls."""

    def __init__(self, **limits: Any) -> None:
        self.now_us = START_US
        self._delayed: list[DelayedCall] = []
        self._delayed_count = 0
        self.scheduler = ScriptedScheduler()
        self.engines = FakeEngineConnections()
        self.client = FakeClient()
        self.requests = RequestRegistry(100, 10_000)
        self.endpoints = EndpointRegistry()
        snapshot = endpoint_list_event(discovered_endpoint("e1"), discovered_endpoint("e2"), is_snapshot=True)
        self.endpoints.apply_events([snapshot])
        limit_values = {
            "max_attempts": 3,
            "answer_slack_us": 20_000,
            "health_check_timeout_us": 250_000,
            "lag_warn_us": 1 << 60,
            "cancel_grace_us": 10_000,
        } | limits
        self.dispatcher = DispatcherCore(
            lambda: self.now_us,
            self._call_later,
            self.scheduler,
            self.requests,
            self.endpoints,
            DispatcherLimits(**limit_values),
        )
        self.dispatcher.engines = self.engines

    def _call_later(self, delay_s: float, call: Callable[[], None]) -> DelayedCall:
        delayed = DelayedCall(self.now_us + round(delay_s * 1e6), self._delayed_count, call)
        self._delayed_count += 1
        self._delayed.append(delayed)
        return delayed

    def run(self, for_us: int = 0) -> None:
        """Advance the clock by `for_us` and make the delayed calls that become due, in order."""
        until_us = self.now_us + for_us
        while due := [call for call in self._delayed if call.due_us <= until_us and not call.cancelled]:
            first = min(due, key=lambda call: (call.due_us, call.serial))
            self._delayed.remove(first)
            self.now_us = max(self.now_us, first.due_us)
            first.call()
        self.now_us = until_us

    def accept(
        self, request_id: str = REQUEST_ID, limit_ms: float = 1000.0, call_id: int = 7
    ) -> RequestRecord:
        """Accept a request of class `lookup` that arrives now."""
        query = json_rpc.Query(request_id, limit_ms, "acme", False, None, 10.0, 5.0, b"select")
        return self.dispatcher.accept_request(
            self.client, call_id, ClassifiedQuery(0, "lookup", 17), query, self.now_us
        )

    def sends(self, *engines: str) -> None:
        """Let the scheduler start an attempt on the first engine, then on the next each time one ends."""
        remaining_engines = list(engines)

        def script(now: int, event: Any) -> list[Action]:
            needs_retry = isinstance(event, AttemptCompleted) and not event.request_is_over
            if remaining_engines and (needs_retry or isinstance(event, RequestReceived)):
                return [StartAttempt(event.request_id, remaining_engines.pop(0), 0)]
            return []

        self.scheduler.script = script

    def start_first_attempt(self) -> AttemptRecord:
        """Accept a request and start its first attempt, on e1; a retry would go to e2."""
        self.sends("e1", "e2")
        self.accept()
        self.run()
        (attempt,) = self.engines.started
        return attempt

    def outcomes(self) -> list[tuple[int, AttemptOutcome, bool]]:
        """Return the number, outcome and `request_is_over` of each completed attempt."""
        return [
            (event.attempt_number, event.outcome, event.request_is_over)
            for event in self.scheduler.of(AttemptCompleted)
        ]
