"""The connections to all engines: chooses one for each attempt or health check, and limits their number."""

from __future__ import annotations

from typing import Any

from ashcross.audit import AuditEvent, audit
from ashcross.decisions.events import AttemptOutcome
from ashcross.logs import rate_limited_log
from ashcross.protocols.dialing import dial
from ashcross.protocols.engines.connection import EngineConnection
from ashcross.protocols.engines.faults import CloseReason, ProtocolErrorCounts
from ashcross.protocols.engines.limits import EngineConnectionLimits
from ashcross.protocols.host_interfaces import EngineHost
from ashcross.registry.buffers import BufferPool
from ashcross.registry.endpoint_registry import EngineRecord, PooledConnection
from ashcross.registry.request_registry import AttemptRecord, HealthCheckRecord


class EngineConnectionPool:
    """The connections to all engines; dials new ones within the limits."""

    def __init__(
        self,
        reactor: Any,  # Twisted's reactor, or a test double
        host: EngineHost,
        pool: BufferPool,
        limits: EngineConnectionLimits,
    ) -> None:
        self._reactor = reactor
        self._host = host
        self._pool = pool
        self.limits = limits
        self._error_counts = ProtocolErrorCounts()

    @property
    def protocol_errors(self) -> int:
        """The number of connections closed for invalid, incomplete or missing answers, or blocked writes."""
        return self._error_counts.closed_connections

    @property
    def unexpected_answers(self) -> int:
        """The number of answers to nothing in flight, and of duplicate answers."""
        return self._error_counts.unexpected_answers

    def start_attempt(self, attempt: AttemptRecord, engine: EngineRecord) -> None:
        """Start an attempt on a connection that no earlier attempt of its request has used."""
        connection = self._connection_for(attempt, engine)
        if connection is None:
            self._host.complete_attempt(attempt, AttemptOutcome.CONNECT_FAILED)
        else:
            connection.start_attempt(attempt)

    def _connection_for(self, attempt: AttemptRecord, engine: EngineRecord) -> PooledConnection | None:
        # an engine may still answer an earlier attempt there, under the same request id
        used = {id(earlier.connection) for earlier in attempt.request.attempts if earlier is not attempt}
        free: list[PooledConnection] = [
            connection
            for connection in engine.connections
            if id(connection) not in used and connection.can_take_attempt(exclusive=False)
        ]
        free.sort(key=lambda connection: not connection.is_connected)
        # a query that may have made an engine drop a connection must not take other attempts down with it
        exclusive = attempt.request.connections_lost > 0
        suitable = next((connection for connection in free if connection.can_take_attempt(exclusive)), None)
        if suitable is not None:
            return suitable
        dialed = self._dial(engine)
        if dialed is None and free:
            return free[0]  # at the limit, an attempt that should be exclusive shares a connection
        return dialed

    def start_health_check(self, health_check: HealthCheckRecord, engine: EngineRecord) -> None:
        """Request an engine's load report, on an open connection if there is one.

        Connections that carry attempts come first, and of these the one that was silent for longest: an
        answer shows that it still works.
        """
        connections: list[PooledConnection] = sorted(
            engine.connections,
            key=lambda connection: (
                not connection.is_connected,
                not connection.attempts,
                connection.last_heard_us,
            ),
        )
        connection = connections[0] if connections else self._dial(engine)
        if connection is None:
            self._host.health_check_completed(health_check, AttemptOutcome.CONNECT_FAILED, {})
        else:
            connection.start_health_check(health_check)

    def _dial(self, engine: EngineRecord) -> PooledConnection | None:
        """Return a new connection that is being dialed; None if the limits allow none."""
        if not self._has_room_for(engine):
            rate_limited_log.warn("engine", f"no connection available: engine={engine.name}")
            return None
        connection = EngineConnection(engine, self._host, self._pool, self.limits, self._error_counts)
        engine.connections.append(connection)
        timeout_s = self.limits.connect_timeout_us / 1e6
        dialing = dial(self._reactor, (engine.host, engine.port), timeout_s, connection)
        dialing.addErrback(connection.connection_failed)
        return connection

    def _has_room_for(self, engine: EngineRecord) -> bool:
        if len(engine.connections) >= self.limits.max_connections_per_engine:
            return False
        is_full = self._host.endpoints.connection_count() >= self.limits.max_connections
        return not is_full or self._evict_least_recently_used()

    def _evict_least_recently_used(self) -> bool:
        """Close the idle connection that was used longest ago; return False if none is idle."""
        idle = (connection for connection in self._connections() if connection.is_idle())
        oldest = min(idle, key=lambda connection: connection.last_used_us, default=None)
        if oldest is None:
            return False
        audit.note(AuditEvent.CLOSE_ENGINE, CloseReason.EVICTED, engine=oldest.record.name)
        oldest.close()
        return True

    def _connections(self) -> list[PooledConnection]:
        records = self._host.endpoints.records()
        return [connection for record in records for connection in record.connections]

    def endpoint_list_changed(self, close_all: bool = False) -> None:
        """Close connections with unsent bytes to engines that are not ready, or to all engines.

        Bytes that are still in this process must not be sent to a draining engine.
        """
        for record in self._host.endpoints.records():
            if close_all or not record.ready:
                for connection in list(record.connections):
                    if connection.is_connected and connection.has_unsent_bytes():
                        connection.close()

    def close_idle_connections(self, engine: EngineRecord) -> None:
        """Close the idle connections to an engine."""
        for connection in list(engine.connections):
            if connection.is_idle():
                connection.close()

    def sweep(self) -> None:
        """Close faulty connections, idle ones before the engine does, and idle ones to removed engines."""
        now_us = self._host.clock()
        for record in self._host.endpoints.records():
            for connection in list(record.connections):
                is_removed = self._host.endpoints.engines.get(record.name) is not record
                connection.sweep()
                is_unused = now_us - connection.last_used_us >= self.limits.idle_timeout_us
                if connection.is_idle() and (is_removed or connection.is_unresponsive or is_unused):
                    audit.note(AuditEvent.CLOSE_ENGINE, CloseReason.IDLE, engine=record.name)
                    connection.close()

    def close(self) -> None:
        """Close every connection."""
        for connection in self._connections():
            connection.close()
