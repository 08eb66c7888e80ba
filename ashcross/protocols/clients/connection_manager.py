"""All connections from clients: accepting, evicting to make room, lingering closes, sweeps, shared limits."""

from __future__ import annotations

import sys
from itertools import chain, islice
from typing import Any

from twisted.internet.protocol import Factory

from ashcross.audit import AuditEvent, audit
from ashcross.logs import rate_limited_log
from ashcross.protocols.clients.close_reason import CloseReason
from ashcross.protocols.clients.connection import ClientConnection
from ashcross.protocols.clients.flood_control import MAX_READS, HoldOffCount
from ashcross.protocols.clients.json_rpc import KnownNames
from ashcross.protocols.clients.limits import ClientConnectionLimits
from ashcross.protocols.host_interfaces import ClientHost, Health
from ashcross.registry.buffers import BufferPool

IDLE_SWEEPS_TO_EVICT = 2  # without a call yet; such a connection is evicted before those that sent calls
MAX_EVICTION_CANDIDATES = 16  # connections read in search of one that may be evicted


class ClientConnectionManager(Factory):
    """The factory and owner of all connections from clients."""

    noisy = False

    def __init__(  # noqa: PLR0913 (assembled once, of its collaborators)
        self,
        reactor: Any,  # Twisted's reactor, or a test double
        host: ClientHost,
        phases: Health,
        known: KnownNames,
        pool: BufferPool,
        limits: ClientConnectionLimits,
    ) -> None:
        self.call_later = reactor.callLater
        self.host = host
        self.phases = phases
        self.known = known
        self.pool = pool
        self.limits = limits
        self.hold_offs = HoldOffCount()
        self.unsent_bytes = 0
        self.connections: dict[ClientConnection, None] = {}  # least recently used first
        # half-closed connections, which still hold a descriptor, and Twisted's delayed calls that end them
        self.lingering: dict[ClientConnection, Any] = {}
        self._without_call: dict[ClientConnection, None] = {}  # have sent no valid call; oldest first
        self.violating: dict[ClientConnection, None] = {}  # have sent an invalid call
        self._max_lingering = limits.max_lingering
        self._port: Any = None  # Twisted's listening port
        self._is_accepting = False
        self._is_checking_buffers = False
        self._accepted_count = 0

    def accept_from(self, port: Any) -> None:
        """Accept connections from a Twisted `IListeningPort`, at most `accepts_per_round` in each round.

        Twisted starts with 100 a round and raises that number in a flood, faster than evicted connections
        can be closed: the process would run out of descriptors.
        """
        self._port = port
        port.numberAccepts = self.limits.accepts_per_round

    def buildProtocol(self, addr: Any) -> ClientConnection | None:
        """Accept a connection, evicting another at the limit; None if none may be evicted."""
        self._accepted_count += 1
        if not self._is_accepting:
            self._is_accepting = True
            self.call_later(0, self._end_accept_round)
        if len(self.connections) >= self.limits.max_connections:
            evicted = self._choose_evicted()
            if evicted is None:
                rate_limited_log.warn("client", "connection rejected: reason=too many connections")
                return None
            evicted.evict(CloseReason.EVICTED)
        return ClientConnection(self)

    def _end_accept_round(self) -> None:
        """Set the accepts per round again, as Twisted changes that number after each round."""
        self._is_accepting = False
        if self._port is not None:
            self._port.numberAccepts = self.limits.accepts_per_round

    def _choose_evicted(self) -> ClientConnection | None:
        """Return the connection to evict; None if none may be evicted.

        Violating clients come first, then idle connections without a call, then idle ones that sent calls;
        a new connection comes last, as nothing is known of it. Waiting bytes are read before a connection is
        chosen, as a call among them would be lost with the connection.
        """
        for violator in tuple(islice(self.violating, MAX_EVICTION_CANDIDATES)):
            violator.drain_input()  # unread calls of violating clients are owed an answer too
            if violator in self.violating:
                return violator
        idle_without_call = (
            connection for connection in self._without_call if connection.idle_sweeps >= IDLE_SWEEPS_TO_EVICT
        )
        idle_after_calls = (
            connection
            for connection in self.connections
            if connection.call_count and not connection.open_requests
        )
        by_preference = chain(idle_without_call, idle_after_calls, self._without_call)
        candidates = tuple(islice(by_preference, MAX_EVICTION_CANDIDATES))
        return next((candidate for candidate in candidates if not candidate.has_pending_call()), None)

    # Called by the connections

    def connection_made(self, connection: ClientConnection) -> None:
        """Register a new connection."""
        self.connections[connection] = None
        self._without_call[connection] = None

    def connection_used(self, connection: ClientConnection) -> None:
        """Mark a connection as the most recently used, after a call or an answer."""
        connection.last_used_us = self.host.clock()
        if connection in self.connections:
            del self.connections[connection]
            self.connections[connection] = None

    def connection_closed(self, connection: ClientConnection) -> None:
        """Unregister a connection that takes no more calls and writes no more answers."""
        for group in (self.connections, self._without_call, self.violating):
            group.pop(connection, None)
        self.unsent_bytes -= connection.unsent_bytes
        connection.unsent_bytes = 0

    def call_completed(self, connection: ClientConnection) -> None:
        """Note that a connection sent a complete, valid call."""
        self._without_call.pop(connection, None)

    def protocol_violated(self, connection: ClientConnection) -> None:
        """Note that a connection sent an invalid call."""
        if connection in self.connections:
            self.violating[connection] = None

    def start_lingering(self, connection: ClientConnection) -> None:
        """Let a half-closed connection linger up to `linger_timeout_s`; over the maximum the oldest ends."""
        self.lingering[connection] = self.call_later(
            self.limits.linger_timeout_s, self._end_lingering, connection
        )
        if len(self.lingering) > self._max_lingering:
            self._end_lingering(next(iter(self.lingering)))

    def _end_lingering(self, connection: ClientConnection) -> None:
        if connection in self.lingering:
            connection.drain_input()
        if connection in self.lingering:
            connection.close()

    def stop_lingering(self, connection: ClientConnection) -> None:
        """Forget a lingering connection that is closed, or whose linger timeout has passed."""
        timeout = self.lingering.pop(connection, None)
        if timeout is not None and timeout.active():
            timeout.cancel()  # it would keep the closed connection in memory until the linger timeout

    def check_unsent_bytes(self) -> None:
        """Abort the connection with the most unsent bytes if all together exceed their limit."""
        if self.unsent_bytes <= self.limits.max_unsent_bytes:
            return
        slowest = max(self.connections, key=lambda connection: connection.unsent_bytes)
        requests = slowest.open_request_ids()
        audit.note(AuditEvent.CLOSE_CLIENT, CloseReason.UNREAD_ANSWERS, requests=requests)
        rate_limited_log.warn(
            "client",
            f"connection closed: reason={CloseReason.UNREAD_ANSWERS} unsent_bytes={slowest.unsent_bytes} "
            f"requests={requests or 'none'}",
        )
        slowest.abort()

    def check_pooled_buffers(self) -> None:
        """Close connections with an incomplete call while the pooled buffers exceed their limit.

        The rest of a call is read before its connection is closed: a call that is complete is owed an answer.
        """
        if self._is_checking_buffers:  # reading the rest of a call leads here again
            return
        self._is_checking_buffers = True
        try:
            self._close_incomplete()
        finally:
            self._is_checking_buffers = False

    def _close_incomplete(self) -> None:
        already_read: set[ClientConnection] = set()
        while self.pool.lent > self.limits.max_pooled_buffers:
            connection = self._choose_incomplete()
            if connection is None:
                return  # the buffers hold incomplete messages of engines or of discovery
            if connection not in already_read:
                already_read.add(connection)
                if connection.completes_call():
                    continue
            rate_limited_log.warn(
                "client",
                f"connection closed: reason={CloseReason.INCOMPLETE_CALLS} "
                f"incomplete_bytes={connection.reader.waiting} "
                f"failed={connection.open_request_ids() or 'none'}",
            )
            # at once: while the connection is open, a call that becomes complete is owed an answer
            connection.evict(CloseReason.INCOMPLETE_CALLS)

    def _choose_incomplete(self) -> ClientConnection | None:
        """Return the connection whose incomplete call is given up; None if no call is incomplete.

        Its open requests would fail, so one without any comes first; then one that never sent a complete
        call; then the one that holds the most buffers; then the one that was used longest ago.
        """
        incomplete = (
            connection
            for connection in self.connections
            if connection.reader.waiting and not connection.is_draining
        )
        return min(
            incomplete,
            key=lambda connection: (
                len(connection.open_requests),
                connection.call_count > 0,
                -connection.reader.buffer_count,
            ),
            default=None,
        )

    # Called by the service

    def sweep(self) -> None:
        """Close the connections that are idle or send no call."""
        now_us = self.host.clock()
        for connection in list(self.connections):
            connection.sweep(now_us)

    def read_pending_input(self) -> None:
        """Accept the connections and read the calls that wait in the kernel."""
        if self._port is not None:
            for _ in range(MAX_READS):
                accepted_before = self._accepted_count
                self._port.numberAccepts = self.limits.accepts_per_round
                self._port.doRead()
                if self._accepted_count == accepted_before:
                    break
        for connection in list(self.connections):
            connection.drain_input(until_empty=True)

    def half_close_all(self) -> None:
        """Half-close every connection at shutdown; all of them may linger at once."""
        self._max_lingering = sys.maxsize  # no new connection needs their descriptors
        for connection in list(self.connections):
            connection.half_close(CloseReason.SHUTDOWN)

    def all_answers_sent(self) -> bool:
        """Return whether every client that still reads has been sent its answers."""
        return not self.unsent_bytes
