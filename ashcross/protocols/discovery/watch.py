"""Watch of the endpoint list: keeps a connection to the discovery service across failures and moves."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from loguru import logger
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from ashcross.logs import rate_limited_log
from ashcross.protocols.dialing import dial
from ashcross.protocols.discovery import event_stream
from ashcross.protocols.discovery.endpoint_list import EndpointListError, parse_event
from ashcross.protocols.discovery.event_sequence import EventSequence
from ashcross.protocols.discovery.freshness import ListFreshness
from ashcross.protocols.framing import FramingError
from ashcross.registry.buffers import BufferPool
from ashcross.registry.endpoint_registry import EndpointListEvent

PATH = "/bulletins"
MAX_SILENCE_FACTOR = 4  # largest multiple of `silence_timeout_s`, for a response that has not begun
# multiple of `max_list_age_s`; a connection on which no event or comment was completed for longer is closed
MAX_EVENT_FACTOR = 4


@dataclass(frozen=True, slots=True)
class WatchLimits:
    """Limits and timeouts of the watch."""

    max_event_bytes: int
    silence_timeout_s: float  # time without a byte after which the connection is closed
    connect_timeout_s: float
    initial_backoff_s: float  # wait before the next connection; doubles with each failure
    max_backoff_s: float  # upper bound of that wait
    replay_timeout_s: float  # time after which the held events of a replay are delivered
    max_list_age_s: float = 6.5  # time without a confirmation after which the list is stale
    max_list_age_after_move_s: float = 3.5  # the same, from a move to an address that does not answer


class CloseReason(StrEnum):
    """Why this side closes a connection to the discovery service."""

    SILENCE = "silence"
    INCOMPLETE_EVENT = "incomplete event"


class WatchConnection(Protocol):
    """A connection to the discovery service, with one request and its response."""

    transport: Any  # Twisted's TCP connection, None before the connection is made

    def __init__(self, watch: EndpointListWatch, pool: BufferPool, max_event_bytes: int) -> None:
        self._watch = watch
        self._reader = event_stream.EventReader(pool, max_event_bytes)

    def connectionMade(self) -> None:
        """Request all events after the last one that was read."""
        self.transport.setTcpNoDelay(True)
        self.transport.write(self._watch.start_request())

    def dataReceived(self, data: bytes) -> None:
        """Parse and handle received events."""
        if not self._watch.data_received(self):
            return  # another connection has replaced this one
        comments_before = self._reader.comments
        has_event = False
        try:
            for event in self._reader.feed(data):
                has_event = True
                if not self._watch.event_received(event):
                    self.close()
                    return
        except FramingError as error:
            rate_limited_log.warn(
                "bulletin", f"connection to service discovery closed, connecting again: reason={error}"
            )
            self.close()
            return
        if self._reader.is_open:
            has_comment = self._reader.comments > comments_before
            self._watch.data_handled(has_comment, has_event)

    def close(self) -> None:
        """Close the connection if it is made; the watch cancels a dial in progress."""
        if self.transport is not None:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Have the watch connect again after the response has ended."""
        self._reader.close()
        self._watch.connection_lost(self)


class EndpointListWatch:
    """The watch of the endpoint list: delivers each event once, and each change of freshness.

    `on_event` gets the events in order; `on_freshness` gets True when the list becomes fresh, False when it
    becomes stale. The backlog of a connection is complete at the first comment. Silence proves nothing: a
    crowded service begins its response at once and sends what it has much later.
    """

    def __init__(  # noqa: PLR0913 (assembled once, of its collaborators)
        self,
        reactor: Any,  # Twisted's reactor, or a test double
        address: tuple[str, int],
        last_event_number: int,
        on_event: Callable[[EndpointListEvent], None],
        pool: BufferPool,
        limits: WatchLimits,
        on_freshness: Callable[[bool], None] = lambda _: None,
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._pool = pool
        self._limits = limits
        self._on_freshness = on_freshness
        self._sequence = EventSequence(last_event_number, on_event)
        self._freshness = ListFreshness(
            reactor.seconds(), limits.max_list_age_s, limits.max_list_age_after_move_s
        )
        self._connection: WatchConnection | None = None
        self._dialing: Any = None  # Twisted's Deferred
        self._reconnect_call: Any = None  # Twisted's delayed call
        self._is_connected = False
        self._is_stopped = False
        self._connect_started_s = 0.0
        self._last_byte_s = 0.0
        self._last_complete_s = reactor.seconds()  # when a complete event or comment was last read
        self._backoff_s = limits.initial_backoff_s
        self._silent_connections = 0  # consecutive connections closed without a byte

    @property
    def connected(self) -> bool:
        """Return whether a connection to the discovery service is open."""
        return self._is_connected

    @property
    def list_is_fresh(self) -> bool:
        """Return whether attempts may be sent by the list."""
        return self._freshness.is_fresh

    @property
    def last_event_number(self) -> int:
        """Return the number of the last event that was read."""
        return self._sequence.last_event_number

    def start(self) -> None:
        """Connect, and stay connected until `stop`."""
        self._reconnect_call = None
        if self._is_stopped:
            return
        connection = WatchConnection(self, self._pool, self._limits.max_event_bytes)
        self._connection = connection
        self._connect_started_s = self._reactor.seconds()
        self._last_byte_s = self._connect_started_s
        self._dialing = dial(self._reactor, self._address, self._limits.connect_timeout_s, connection)
        self._dialing.addErrback(lambda _: self.connection_lost(connection))

    def change_address(self, address: tuple[str, int]) -> None:
        """Reconnect at once to a new address of the discovery service, after the last event read."""
        if address == self._address or self._is_stopped:
            return
        self._address = address
        self._backoff_s = self._limits.initial_backoff_s
        self._silent_connections = 0
        self._freshness.address_changed(self._reactor.seconds())
        self._disconnect()
        self.start()

    def stop(self) -> None:
        """Disconnect for good."""
        self._is_stopped = True
        self._disconnect()

    def _disconnect(self) -> None:
        """Drop the current connection, dial or backoff; bytes that still arrive on it are ignored."""
        connection = self._connection
        self._end_connection()
        if self._reconnect_call is not None:
            self._reconnect_call.cancel()
            self._reconnect_call = None
        if self._dialing is not None:
            self._dialing.cancel()  # has no effect on a finished dial
        if connection is not None:
            connection.close()

    def _end_connection(self) -> None:
        self._connection = None
        self._is_connected = False
        self._freshness.connection_changed()
        self._sequence.drop_pending()

    def connection_lost(self, connection: WatchConnection) -> None:
        """Connect again after a backoff, as a dial failed or a connection ended."""
        if connection is not self._connection:
            return  # another connection has replaced it
        self._end_connection()
        if self._is_stopped or self._reconnect_call is not None:
            return
        self._reconnect_call = self._reactor.callLater(self._backoff_s, self.start)
        self._backoff_s = min(2 * self._backoff_s, self._limits.max_backoff_s)

    # Called by the connection

    def start_request(self) -> bytes:
        """Note that a connection is made; return the request to write."""
        self._is_connected = True
        self._freshness.connection_changed()
        self._last_byte_s = self._reactor.seconds()
        self._last_complete_s = self._last_byte_s
        host, port = self._address
        return event_stream.request(f"{host}:{port}", PATH, self._sequence.start_request())

    def data_received(self, connection: WatchConnection) -> bool:
        """Note received bytes; return False if their connection was dropped."""
        if connection is not self._connection:
            return False
        self._last_byte_s = self._reactor.seconds()
        self._backoff_s = self._limits.initial_backoff_s
        self._silent_connections = 0
        return True

    def event_received(self, event: event_stream.ServerEvent) -> bool:
        """Handle one event; return False if the whole list must be requested."""
        try:
            parsed = parse_event(event.data)
        except EndpointListError as error:
            rate_limited_log.warn(
                "bulletin",
                f"invalid event, requesting the whole list: event={event.event_id[:20]!r} reason={error}",
            )
            return self._sequence.skip_unreadable()
        return self._sequence.add(parsed, self._freshness.unconfirmed_us(self._reactor.seconds()))

    def data_handled(self, has_comment: bool, has_event: bool) -> None:
        """Update the freshness after received bytes were handled.

        The arguments say whether a comment and a complete event were among them.
        """
        if has_comment or has_event:
            self._last_complete_s = self._reactor.seconds()
        if has_comment or has_event and self._freshness.is_backlog_read:
            self._backlog_read()

    def _backlog_read(self) -> None:
        """Handle a complete backlog: the list is fresh unless a replay still holds events back."""
        if not self._sequence.has_pending:
            self.mark_list_fresh()

    def mark_list_fresh(self) -> None:
        """Confirm that the known list is up to date."""
        if self._freshness.confirm(self._reactor.seconds()):
            self._on_freshness(True)

    def poll(self) -> None:
        """Check the timeouts; called about once a second."""
        now_s = self._reactor.seconds()
        if self._freshness.expire(now_s):
            logger.warning("endpoint list is stale: age_s={:.1f}", self._freshness.age_s(now_s))
            self._on_freshness(False)
        if self._is_connected and self._connection is not None:
            reason = self._timeout_reason(now_s)
            if reason is not None:
                self._close_timed_out(self._connection, reason)
                return
        if self._sequence.has_pending and now_s - self._connect_started_s > self._limits.replay_timeout_s:
            # the replay never reached the delivered events, so the event numbers have restarted; the next
            # comment confirms the list, as the replay may not be over
            self._sequence.release()

    def _timeout_reason(self, now_s: float) -> CloseReason | None:
        if now_s - self._last_byte_s > self._silence_timeout_s():
            return CloseReason.SILENCE
        if now_s - self._last_complete_s > MAX_EVENT_FACTOR * self._limits.max_list_age_s:
            return CloseReason.INCOMPLETE_EVENT
        return None

    def _close_timed_out(self, connection: WatchConnection, reason: CloseReason) -> None:
        if reason is CloseReason.SILENCE:
            logger.info("discovery connection timed out: reason={}", reason)
            self._silent_connections += 1
        else:
            logger.warning("discovery connection timed out: reason={}", reason)
        connection.close()

    def _silence_timeout_s(self) -> float:
        """Return how long the current connection may be silent, in seconds.

        A silent connection is dead, and must be replaced soon, or the discovery service is slow to answer,
        and needs more time. So every second of consecutive silent connections gets a longer timeout.
        """
        if self._silent_connections % 2 == 0:
            return self._limits.silence_timeout_s
        factor = min(MAX_SILENCE_FACTOR, self._silent_connections + 1)
        return factor * self._limits.silence_timeout_s
