"""Limits of the connections from clients."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientConnectionLimits:
    """Limits of one client connection, and of all of them together.

    A sweep is one call of `ClientConnectionManager.sweep`. A limit is a number of sweeps rather than a time
    where a standstill of this process could leave a complete call unread in the kernel.
    """

    max_connections: int
    max_open_requests: int  # on one connection; unread answers count as open
    max_body_bytes: int  # of the body of one call
    max_unsent_bytes: int  # answers not handed to the kernel yet, of all clients together
    buffer_bytes: int  # largest single read of a connection, and most unsent bytes until writing is blocked
    max_pooled_buffers: int  # holding incomplete messages of clients, engines and discovery together
    max_protocol_violations: int  # number at which a connection stops accepting calls
    max_idle_sweeps: int  # sweeps without a complete call after which a connection is closed
    idle_timeout_us: int  # time without an open request after which a connection is closed
    accepts_per_round: int  # connections accepted before the reactor serves other sockets
    linger_timeout_s: float  # longest lingering close
    max_discarded_bytes: int  # read and discarded on one connection after it stopped accepting calls
    max_lingering: int  # concurrent lingering closes
    unread_timeout_us: int = 5_000_000  # least idle timeout while the client leaves answers unread
