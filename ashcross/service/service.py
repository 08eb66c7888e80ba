"""The running dispatcher: its heartbeat, its sweeps, its statistics line and its optional subsystems."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from loguru import logger
from twisted.internet.task import LoopingCall

from ashcross.audit import audit
from ashcross.logs import rate_limited_log
from ashcross.service.assembly import SWEEP_S, build
from ashcross.service.config_schema import Config
from ashcross.service.listener import EarlyListener
from ashcross.service.reload import ConfigReload
from ashcross.service.shutdown import Shutdown
from ashcross.service.startup import Startup

STATISTICS_SWEEPS = 120  # sweeps between two statistics lines
# A late heartbeat reveals a standstill of the process. A standstill shorter than the period goes unnoticed:
# bytes that arrived during it count as arrived at its end. The period therefore stays below 0.15 s, the
# amount by which the deadline that is passed to an engine may be late.
HEARTBEAT_S = 0.1


class Subsystem(Protocol):
    """A part of the process that the operator's file enables in addition to the dispatcher."""

    def start(self) -> None:
        """Start; called once the dispatcher listens."""

    def stop(self) -> None:
        """Stop; called once every request is answered, shortly before the process exits."""


class Service:
    """One dispatcher, run by `reactor`; `clock` returns microseconds of Unix time."""

    def __init__(self, config: Config, reactor: Any, clock: Callable[[], int] | None = None) -> None:
        self.config = config
        self.components = build(config, reactor, clock)
        self.startup = Startup(self.components)
        self.config_reload = ConfigReload(self.components)
        self.shutdown = Shutdown(self.components, self._before_exit)
        self._subsystems: list[Subsystem] = []
        self._sweep_count = 0
        self._sweep_call = LoopingCall(self._sweep)
        self._heartbeat_call = LoopingCall(self._heartbeat)

    def add_subsystem(self, subsystem: Subsystem) -> None:
        """Start and stop `subsystem` together with the dispatcher."""
        self._subsystems.append(subsystem)

    def start(self, listener: EarlyListener | None = None) -> None:
        """Listen, on the socket of `listener` if there is one, and connect to service discovery.

        Raises `CannotListenError` if the address cannot be bound.
        """
        self.startup.load_known_endpoints()
        port = self.startup.listen(listener)
        self.shutdown.listening_port = port
        for subsystem in self._subsystems:
            subsystem.start()
        self._repeat("heartbeat", self._heartbeat_call, HEARTBEAT_S)
        self._repeat("sweep", self._sweep_call, SWEEP_S)
        logger.info(
            "listening: address={}:{} name={} engines={}",
            self.config.listen[0],
            port.getHost().port,
            self.config.name,
            len(self.components.endpoints.engines),
        )
        self.startup.wait_for_discovery()

    def reload(self, read_config: Callable[[], Config]) -> None:
        """Read and apply the configuration again, as SIGHUP requests."""
        self.config_reload.start(read_config)

    def drain(self) -> None:
        """Answer every request and end the process, as SIGTERM requests."""
        self.shutdown.start()

    def _repeat(self, name: str, call: LoopingCall, period_s: float) -> None:
        call.clock = self.components.reactor
        call.start(period_s, now=False).addErrback(
            lambda failure: logger.error(
                "periodic {} failed and does not run again: {}", name, failure.getErrorMessage()
            )
        )

    def _heartbeat(self) -> None:
        self.components.core.heartbeat(int(HEARTBEAT_S * 1e6))

    def _sweep(self) -> None:
        try:
            self.components.core.first_sweep_done()
            self.components.engines.sweep()
            self.components.clients.sweep()
            if self.components.discovery is not None:
                self.components.discovery.poll()
            self._sweep_count += 1
            if self._sweep_count % STATISTICS_SWEEPS == 0:
                self.log_statistics()
        except Exception as error:  # an exception that left this method would end the periodic call
            open_count = self.components.requests.open_count
            client_count = len(self.components.clients.connections)
            rate_limited_log.warn(
                "sweep",
                f"periodic sweep failed, it runs again after {SWEEP_S} s; report this: "
                f"open={open_count} clients={client_count}",
                error,
            )

    def _before_exit(self) -> None:
        for subsystem in self._subsystems:
            subsystem.stop()
        self.log_statistics()

    def log_statistics(self) -> None:
        """Log the counts since the start and the worst times since the previous statistics line."""
        core = self.components.core
        discovery = self.components.discovery
        is_connected = discovery is not None and discovery.connected
        last_event = self.config.last_event_number if discovery is None else discovery.last_event_number
        logger.info(
            "statistics: {} open={} clients={} engine_connections={} protocol_errors={} "
            "unexpected_answers={} discovery={} last_event={} "
            "worst_lag_ms={:.1f} longest_batch_ms={:.1f} reasons: {}",
            " ".join(f"{name}={count}" for name, count in core.counts.items()),
            self.components.requests.open_count,
            len(self.components.clients.connections),
            self.components.endpoints.connection_count(),
            self.components.engines.protocol_errors,
            self.components.engines.unexpected_answers,
            "up" if is_connected else "down",
            last_event,
            core.worst_lag_us / 1000,
            core.longest_batch_us / 1000,
            audit.summary(),
        )
        core.worst_lag_us = 0
        core.longest_batch_us = 0
