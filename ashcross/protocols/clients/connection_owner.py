"""Interfaces of the manager of client connections, as a connection uses them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol, TypeVar

from ashcross.protocols.clients.flood_control import HoldOffCount
from ashcross.protocols.clients.json_rpc import KnownNames
from ashcross.protocols.clients.limits import ClientConnectionLimits
from ashcross.protocols.host_interfaces import ClientHost, Health
from ashcross.registry.buffers import BufferPool

Connection = TypeVar("Connection", contravariant=True)


class CallContext(Protocol):
    """The settings and collaborators with which calls are handled."""

    host: ClientHost
    phases: Health
    known: KnownNames
    limits: ClientConnectionLimits


class ConnectionOwner(CallContext, Protocol[Connection]):
    """The manager of all client connections, as each connection uses it."""

    pool: BufferPool
    hold_offs: HoldOffCount
    unsent_bytes: int  # written and not handed to the kernel yet, of all clients together
    call_later: Callable[..., Any]  # Twisted's `reactor.callLater`

    def connection_made(self, connection: Connection) -> None:
        """Register a new connection."""

    def connection_used(self, connection: Connection) -> None:
        """Mark a connection as the most recently used, after a call or an answer."""

    def connection_closed(self, connection: Connection) -> None:
        """Unregister a connection that takes no more calls and writes no more answers."""

    def call_completed(self, connection: Connection) -> None:
        """Note that a connection sent a complete, valid call."""

    def protocol_violated(self, connection: Connection) -> None:
        """Note that a connection sent an invalid call."""

    def start_lingering(self, connection: Connection) -> None:
        """Let a half-closed connection linger until its client has closed, up to the linger timeout."""

    def stop_lingering(self, connection: Connection) -> None:
        """Forget a lingering connection that is closed, or whose linger timeout has passed."""

    def check_unsent_bytes(self) -> None:
        """Keep unsent answers within their limit, after they have grown."""

    def check_pooled_buffers(self) -> None:
        """Keep pooled buffers within their limit, as incomplete calls may have grown."""
