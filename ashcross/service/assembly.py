"""Assembly of a dispatcher: builds its components from a configuration and connects them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ashcross.decisions.scheduler import Scheduler
from ashcross.decisions.settings import RetrySafety, SchedulerSettings
from ashcross.dispatcher.core import DispatcherCore
from ashcross.dispatcher.interfaces import DispatcherLimits
from ashcross.protocols.clients.connection_manager import ClientConnectionManager
from ashcross.protocols.clients.json_rpc import KnownNames
from ashcross.protocols.clients.limits import ClientConnectionLimits
from ashcross.protocols.discovery.watch import EndpointListWatch, WatchLimits
from ashcross.protocols.engines.connection_pool import EngineConnectionPool
from ashcross.protocols.engines.limits import EngineConnectionLimits
from ashcross.registry.buffers import BufferPool
from ashcross.registry.endpoint_registry import EndpointRegistry
from ashcross.registry.request_registry import RequestRegistry
from ashcross.registry.start_times import StartTimes
from ashcross.service.clock import Clock, unix_us
from ashcross.service.config_schema import Config
from ashcross.service.phases import Phases

SWEEP_S = 0.25  # interval between two sweeps of all connections
MIN_TIMEOUT_SWEEPS = 2  # a timeout of one sweep could expire at once, as the next sweep may be due
NEVER_US = 1 << 62  # a time span that never ends
# A retry is decided within the first nine tenths of its repeat window. Its dial may take half of the last
# tenth, which is a twentieth of the window.
RETRY_DIAL_DIVISOR = 20


@dataclass(frozen=True, slots=True)
class Components:
    """The components of one dispatcher; each owns the state that its own module describes."""

    config: Config
    reactor: Any  # Twisted's reactor, whose interfaces have no type hints
    clock: Callable[[], int]  # returns microseconds of Unix time; never goes back
    phases: Phases
    buffers: BufferPool
    requests: RequestRegistry
    endpoints: EndpointRegistry
    core: DispatcherCore
    engines: EngineConnectionPool
    clients: ClientConnectionManager
    discovery: EndpointListWatch | None  # None: the only endpoints are those of the configuration


def build(config: Config, reactor: Any, clock: Callable[[], int] | None = None) -> Components:
    """Build and return all components of a dispatcher; nothing listens or connects yet.

    `clock` returns microseconds of Unix time and never goes back. Without it the system's clock is used.
    """
    wall_clock = unix_us if clock is None else clock
    clock = clock or Clock()
    phases = Phases()
    buffers = BufferPool(config.transport.buffer_bytes, config.limits.spare_buffers)
    limits = config.limits
    requests = RequestRegistry(limits.requests, limits.statements_bytes, limits.remembered_ids)
    endpoints = EndpointRegistry(StartTimes(clock, wall_clock).with_start_time)
    scheduler = Scheduler(config.settings, config.seed)
    core = DispatcherCore(
        clock, reactor.callLater, scheduler, requests, endpoints, _dispatcher_limits(config)
    )
    engines = EngineConnectionPool(reactor, core, buffers, _engine_limits(config))
    core.engines = engines
    names = KnownNames(
        config.host.class_names,
        config.host.classes_with_key,
        config.host.tenants,
        config.host.ordered_classes,
    )
    clients = ClientConnectionManager(reactor, core, phases, names, buffers, _client_limits(config))
    discovery = _discovery(config, reactor, core, phases, buffers)
    return Components(
        config=config,
        reactor=reactor,
        clock=clock,
        phases=phases,
        buffers=buffers,
        requests=requests,
        endpoints=endpoints,
        core=core,
        engines=engines,
        clients=clients,
        discovery=discovery,
    )


def _discovery(
    config: Config, reactor: Any, core: DispatcherCore, phases: Phases, buffers: BufferPool
) -> EndpointListWatch | None:
    """Return the watch of the endpoint list, connected to the core, or None without a discovery address."""
    if config.discovery is None:
        return None

    def freshness_changed(is_fresh: bool) -> None:
        core.set_list_freshness(is_fresh)
        if is_fresh:
            phases.start_serving()

    def list_is_current() -> bool:
        return watch.connected and watch.list_is_fresh

    watch = EndpointListWatch(
        reactor,
        config.discovery,
        config.last_event_number,
        core.receive_endpoint_list_event,
        buffers,
        _watch_limits(config),
        freshness_changed,
    )
    core.discovery_is_connected = list_is_current
    return watch


def _dispatcher_limits(config: Config) -> DispatcherLimits:
    transport = config.transport
    return DispatcherLimits(
        max_attempts=config.settings.max_attempts,
        answer_slack_us=config.host.answer_slack_us,
        health_check_timeout_us=transport.health_check_timeout_ms * 1000,
        lag_warn_us=transport.lag_warning_ms * 1000,
        cancel_grace_us=transport.cancel_wait_ms * 1000,
        hedging_allowed=config.settings.hedging_allowed,
        classes=config.settings.classes,
        max_request_us=config.host.longest_give_up_us,
    )


def _engine_limits(config: Config) -> EngineConnectionLimits:
    transport = config.transport
    idle_us = config.host.connection_idle_us
    max_retry_dial_us = transport.max_retry_dial_ms * 1000
    return EngineConnectionLimits(
        connect_timeout_us=config.host.connect_timeout_us,
        idle_timeout_us=int(idle_us * transport.engine_idle_fraction) if idle_us else NEVER_US,
        max_attempts_per_connection=config.host.max_attempts_per_connection,
        max_connections_per_engine=transport.max_connections_per_engine,
        max_connections=config.limits.engine_connections,
        max_pages=transport.max_pages,
        max_page_bytes=transport.max_page_bytes,
        max_answer_bytes=transport.max_answer_bytes,
        max_bulk_bytes=transport.max_bulk_string_bytes,
        max_stalled_sweeps=_sweeps(transport.answer_stall_timeout_ms),
        max_retry_delay_us=min(max_retry_dial_us, _window_dial_us(config.settings)),
    )


def _client_limits(config: Config) -> ClientConnectionLimits:
    transport = config.transport
    return ClientConnectionLimits(
        max_connections=config.limits.client_connections,
        max_open_requests=transport.max_open_requests_per_connection,
        max_body_bytes=transport.max_call_bytes,
        max_unsent_bytes=config.limits.unsent_bytes,
        buffer_bytes=transport.client_buffer_bytes,
        max_pooled_buffers=config.limits.waiting_buffers,
        max_protocol_violations=transport.max_protocol_violations,
        max_idle_sweeps=_sweeps(transport.incomplete_call_timeout_ms),
        idle_timeout_us=transport.client_idle_timeout_ms * 1000,
        accepts_per_round=transport.max_accepts_per_batch,
        linger_timeout_s=transport.linger_timeout_ms / 1000,
        max_discarded_bytes=transport.max_linger_bytes,
        max_lingering=transport.max_lingering_connections,
        unread_timeout_us=config.host.longest_give_up_us,
    )


def _watch_limits(config: Config) -> WatchLimits:
    transport = config.transport
    return WatchLimits(
        max_event_bytes=transport.max_event_bytes,
        silence_timeout_s=transport.discovery_silence_timeout_ms / 1000,
        connect_timeout_s=config.host.connect_timeout_us / 1e6,
        initial_backoff_s=transport.discovery_min_backoff_ms / 1000,
        max_backoff_s=transport.discovery_max_backoff_ms / 1000,
        replay_timeout_s=transport.replay_timeout_ms / 1000,
        max_list_age_s=transport.list_max_age_ms / 1000,
        max_list_age_after_move_s=transport.moved_list_max_age_ms / 1000,
    )


def _sweeps(timeout_ms: int) -> int:
    """Convert a timeout to a number of sweeps."""
    return max(MIN_TIMEOUT_SWEEPS, round(timeout_ms / 1000 / SWEEP_S))


def _window_dial_us(settings: SchedulerSettings) -> int:
    """Return the time in us that the dial of a retry may take, according to the shortest repeat window."""
    windows_us = [
        class_settings.repeat_window_us
        for class_settings in settings.classes
        if class_settings.retry_safety is RetrySafety.IDEMPOTENT_WITH_KEY
    ]
    return min(windows_us, default=NEVER_US) // RETRY_DIAL_DIVISOR
