"""Limits of the connections to engines."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineConnectionLimits:
    """Limits of one engine connection, and of all of them together.

    A sweep is one call of `EngineConnectionPool.sweep`.
    """

    connect_timeout_us: int
    idle_timeout_us: int  # less than the engine's own idle timeout, so that this side closes first
    max_attempts_per_connection: int
    max_connections_per_engine: int
    max_connections: int
    max_pages: int  # of one result
    max_page_bytes: int
    max_answer_bytes: int
    max_bulk_bytes: int  # of one RESP bulk string
    # a connection is closed after this many consecutive sweeps in which it had an incomplete answer and got
    # no complete one, or was unresponsive while another connection to its engine got answers
    max_stalled_sweeps: int = 3
    max_retry_delay_us: int = 50_000  # a retry that waited longer than this for its connection is not sent
    write_blocked_us: int = 20_000  # unsent bytes older than this make a connection write-blocked
