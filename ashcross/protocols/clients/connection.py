"""A client connection: reads calls, writes answers in any order, and closes without losing an answer.

A connection closes in steps. `stop_accepting` rejects every further call while open requests get their
answers; `half_close` sends what was written and shuts our side; the lingering close then reads and discards
until the client has closed its side too, or the linger timeout has passed.

The module is longer than others, as reading, writing and closing share the state of one connection.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from ashcross.audit import AuditEvent, audit
from ashcross.logs import rate_limited_log
from ashcross.protocols.clients import json_rpc
from ashcross.protocols.clients.call_handler import CallHandler
from ashcross.protocols.clients.close_reason import CloseReason
from ashcross.protocols.clients.connection_owner import ConnectionOwner
from ashcross.protocols.clients.flood_control import FloodControl
from ashcross.protocols.clients.input_reader import InputReader
from ashcross.protocols.closed_transport import drop_unsent_bytes
from ashcross.protocols.framing import FramingError
from ashcross.registry.request_registry import RequestRecord

LAST_WRITE_S = 0.05  # time to send the last bytes of a connection whose linger timeout has passed
RESULTS_SHARE = 0.75  # share of `max_unsent_bytes` open to results; rejections and failures need the rest


class ClientConnection(Protocol):
    """A client connection and the state of its reading, writing and closing."""

    transport: Any  # Twisted's TCP connection, whose declared type lacks `doRead` and the producer methods

    def __init__(self, owner: ConnectionOwner[ClientConnection]) -> None:
        self._owner = owner
        self._host = owner.host
        self.reader = json_rpc.BodyReader(owner.pool, owner.limits.max_body_bytes)
        self.flood_control = FloodControl(owner.limits, owner.host.clock, owner.call_later, owner.hold_offs)
        self._input = InputReader(self.flood_control, owner.host, self._client_disconnected)
        self._calls = CallHandler(self, owner, self.flood_control)
        self.call_count = 0  # valid calls
        self.handled_count = 0  # calls, valid or not
        self.last_used_us = owner.host.clock()
        self.idle_sweeps = 0  # consecutive sweeps without a call and without an open request
        self._calls_at_sweep = 0
        self._is_closed = False  # our side is shut
        self._is_framed = True  # the byte at which the next call begins is known
        self._discarded_bytes = 0
        self.unsent_bytes = 0
        self._send_blocked = False  # the client does not read, and the kernel's send buffer is full
        self._send_blocked_since_us = 0

    @property
    def open_requests(self) -> dict[int, RequestRecord]:
        """The requests that have no answer yet, by call id."""
        return self._calls.open_requests

    @property
    def is_closing(self) -> bool:
        """Return whether the connection rejects further calls and closes once no request is open."""
        return self._calls.is_closing

    @property
    def is_draining(self) -> bool:
        """Return whether the bytes that wait in the kernel are being read now."""
        return self._input.is_draining

    def connectionMade(self) -> None:
        """Set up the transport of a client that has connected."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = self._owner.limits.buffer_bytes
        # Twisted calls the producer methods when the buffer of unsent bytes fills, and when it is empty again
        self.transport.registerProducer(self, True)
        self.flood_control.attach(self.transport)
        self._input.attach(self.transport)
        self.flood_control.on_resumed = self._reading_resumed
        self._owner.connection_made(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Drop the requests of a client that has disconnected."""
        drop_unsent_bytes(self.transport)
        self._client_disconnected()

    def _client_disconnected(self) -> None:
        self._stop_reading_calls()
        self._owner.connection_closed(self)
        self._owner.stop_lingering(self)
        for request in list(self.open_requests.values()):
            self._host.client_disconnected(request)
        self.open_requests.clear()

    def _stop_reading_calls(self) -> None:
        self._is_closed = True
        self.flood_control.close()
        self.reader.close()

    def abort(self) -> None:
        """Close the connection at once; bytes written and not sent yet are lost."""
        self._stop_reading_calls()
        # the manager is told now: until the reactor reports the close, the connection could be evicted again
        self._owner.connection_closed(self)
        self.transport.abortConnection()

    def half_close(self, reason: CloseReason) -> None:
        """Send what was written and shut our side; the lingering close follows.

        Closing a socket that holds unread bytes resets the connection, and written answers may be lost with
        it. So bytes are read and discarded until the client closes; none of them counts as a call any more.
        """
        if self._is_closed:
            return
        audit.note(AuditEvent.CLOSE_CLIENT, reason, client_port=self._peer_port())
        if self.open_requests:
            audit.violation(
                "a connection is closed with requests open", reason=reason, requests=self.open_request_ids()
            )
        was_paused = self.flood_control.is_paused
        self._stop_reading_calls()
        self._owner.connection_closed(self)
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        if was_paused:
            self.transport.resumeProducing()  # only reading reveals the client's close
        self._owner.start_lingering(self)

    def _peer_port(self) -> str:
        return str(getattr(self.transport.getPeer(), "port", "")) if audit.detailed else ""

    def open_request_ids(self) -> list[str]:
        """Return the ids of the open requests."""
        return [request.request_id for request in self.open_requests.values()]

    def close(self) -> None:
        """End the lingering close: close both sides, even if the client still sends."""
        self._owner.stop_lingering(self)
        if self.transport.connected:
            self.transport.loseConnection()
            # bytes that the client does not read would keep the connection open for ever
            self._owner.call_later(LAST_WRITE_S, self._abort_transport)

    def _abort_transport(self) -> None:
        if self.transport.connected:
            self.transport.abortConnection()

    def stop_accepting(self, reason: CloseReason, is_framed: bool = True) -> None:
        """Reject every further call; open requests get their answers, and then the connection closes.

        Reading goes on, as only reading reveals that the client has disconnected, and every call that was
        read is owed an answer. `is_framed` is False if the byte at which the next call begins is not known.
        """
        if not self.is_closing:
            requests = self.open_request_ids() or "none"
            rate_limited_log.warn("client", f"no further calls accepted: reason={reason} requests={requests}")
        self._calls.is_closing = True
        if not is_framed:
            self._is_framed = False
            self.reader.close()
        self._half_close_if_done(reason)

    def _half_close_if_done(self, reason: CloseReason) -> None:
        """Close once no request is open and the calls that wait in the kernel have their answers too."""
        if not self.is_closing or self._input.is_parsing or self._input.is_draining:
            return
        if self._is_framed and not self.open_requests:
            self._input.drain(until_empty=False, is_done=lambda: self.flood_control.is_held_off)
            if self.flood_control.is_held_off:
                return  # all that a flooding client has sent, read at once, would keep others waiting
        if not self.open_requests:
            self.half_close(reason)

    def _reading_resumed(self) -> None:
        self._input.read_after_pause()
        self._half_close_if_done(CloseReason.ALL_ANSWERED)

    def evict(self, reason: CloseReason) -> None:
        """Close the connection now; its open requests fail, as none may end without an answer."""
        self._calls.is_closing = True
        # Nothing is drained here. The flag only suppresses reading: the answers to the open requests would
        # otherwise lead to a read of further calls.
        self._input.is_draining = True
        for request in list(self.open_requests.values()):
            self._host.evict(request)
        self.half_close(reason)
        self._input.is_draining = False  # bytes read from now on are discarded

    def dataReceived(self, data: bytes) -> None:
        """Handle received calls; bytes that cannot be parsed close only this connection."""
        self._input.read_count += 1
        if self._is_closed or self.is_closing:
            self._count_discarded_bytes(len(data))
        if self._is_closed or not self._is_framed:
            return
        arrived_us = self._input.earliest_arrival_us()
        began_us = self._host.clock()
        over_limit_before = self.flood_control.calls_over_limit
        self._input.is_parsing = True
        try:
            self._handle_calls(data, arrived_us)
        except FramingError as error:  # the byte at which the next call begins cannot be known any more
            self._answer_invalid_call(
                json_rpc.CallError(json_rpc.INVALID_REQUEST, None, error.place, error.wanted, error.found)
            )
            self.stop_accepting(CloseReason.FRAMING_ERROR, is_framed=False)
        finally:
            self._input.is_parsing = False
        if self.flood_control.calls_over_limit != over_limit_before:
            self.flood_control.count_handling(self._host.clock() - began_us)
        if not self._is_closed:
            self._control_flood()
        self._half_close_if_done(CloseReason.PROTOCOL_VIOLATION)
        if not self._is_closed:
            self._owner.check_pooled_buffers()

    def _control_flood(self) -> None:
        if self.flood_control.hold_off_if_due():
            return
        if self.flood_control.not_read_since_us is not None and not self._input.is_draining:
            self._owner.call_later(0, self._input.read_after_pause)

    def _count_discarded_bytes(self, size: int) -> None:
        """Count bytes read after a close or a protocol violation; end the connection over the limit."""
        self._discarded_bytes += size
        if self._discarded_bytes <= self._owner.limits.max_discarded_bytes:
            return
        if self._is_closed:  # otherwise a client that keeps sending would be read without end
            self.close()
        else:
            self.evict(CloseReason.FLOOD)

    def drain_input(self, until_empty: bool = False) -> bool:
        """Read the bytes that wait in the kernel, and the client's close after them.

        Return False if there are too many to read now. Called before a decision on the connection, so that
        it is not closed over an unread call and no work begins for a client that has disconnected.
        """
        return self._input.drain(until_empty)

    def completes_call(self) -> bool:
        """Read waiting bytes until a call is complete; return whether no call is incomplete any more.

        True also if the incomplete call is complete now and another one has begun.
        """
        handled_before = self.handled_count
        self._input.drain(until_empty=False, is_done=lambda: self.handled_count != handled_before)
        return self.handled_count != handled_before or not self.reader.waiting

    def pauseProducing(self) -> None:
        """Note that the client does not read; reading from it goes on, as only that reveals its close.

        Its calls are limited all the same, as unread answers count as open requests.
        """
        self._send_blocked = True
        self._send_blocked_since_us = self._host.clock()

    def resumeProducing(self) -> None:
        """Note that all written bytes have been sent."""
        self._send_blocked = False
        self._calls.unread_answers = 0
        self._owner.unsent_bytes -= self.unsent_bytes
        self.unsent_bytes = 0
        self.flood_control.end_suspension()

    def stopProducing(self) -> None:
        """Do nothing when the connection ends: `connectionLost` handles that."""

    def can_accept(self, size: int) -> bool:
        """Return whether an answer of `size` bytes fits the limit on unsent answers."""
        limit = RESULTS_SHARE * self._owner.limits.max_unsent_bytes
        return not self._send_blocked or self._owner.unsent_bytes + size <= limit

    def reply(self, call_id: int, frame: bytes) -> None:
        """Write the answer to an open request."""
        self.open_requests.pop(call_id, None)
        self._write(frame)
        self._half_close_if_done(CloseReason.ALL_ANSWERED)

    def _write(self, frame: bytes) -> None:
        if self._is_closed:
            return
        self._owner.connection_used(self)
        self.transport.write(frame)
        if self._send_blocked:
            self._calls.unread_answers += 1
            self.unsent_bytes += len(frame)
            self._owner.unsent_bytes += len(frame)
            if self.flood_control.leaves_too_many_unread(
                self._calls.unread_answers, self._send_blocked_since_us
            ):
                self._suspend_reading()
            self._owner.check_unsent_bytes()

    def _suspend_reading(self) -> None:
        """Leave the client's calls in the kernel until it reads its answers.

        Its close goes unnoticed meanwhile, so its open requests fail: none may still be sent to an engine.
        """
        if not self.flood_control.suspend():
            return
        requests = self.open_request_ids() or "none"
        rate_limited_log.warn(
            "client",
            "a client's calls are not read until it reads its answers, its open requests fail: "
            f"reason={CloseReason.UNREAD_ANSWERS} failed={requests}",
        )
        for request in list(self.open_requests.values()):
            self._host.evict(request)

    def _handle_calls(self, data: bytes, arrived_us: int) -> None:
        for count, body in enumerate(self.reader.feed(data), start=1):
            self._owner.connection_used(self)
            self._handle_body(body, arrived_us)
            if count > self._owner.limits.max_open_requests:  # calls of any kind in one read, pings included
                self.flood_control.count_call_over_limit()
            if self._is_closed or not self._is_framed:
                return

    def _handle_body(self, body: bytes, arrived_us: int) -> None:
        self.handled_count += 1
        try:
            answer = self._calls.handle(json_rpc.parse_call(body), arrived_us)
            if answer is not None:
                self._write(answer)
            self.call_count += 1
            self._owner.call_completed(self)
        except json_rpc.CallError as error:
            self._answer_invalid_call(error)
            if error.call_id is None:
                self.stop_accepting(CloseReason.UNUSABLE_CALL_ID)
            elif self.flood_control.protocol_violations >= self._owner.limits.max_protocol_violations:
                self.stop_accepting(CloseReason.TOO_MANY_VIOLATIONS)
        except Exception as error:  # a fault in handling one call must not affect other clients
            rate_limited_log.warn("client", "internal error while handling a call", error)
            self.stop_accepting(CloseReason.INTERNAL_ERROR)

    def _answer_invalid_call(self, error: json_rpc.CallError) -> None:
        """Send the error at once, without an id if the id would be ambiguous."""
        rate_limited_log.warn("client", f"invalid call: reason={error}")
        self.flood_control.protocol_violations += 1
        self._owner.protocol_violated(self)
        if self.is_closing:
            self.flood_control.count_call_over_limit()
        # the client would take an error under the id of an open request for the answer to that request
        call_id = None if error.call_id in self.open_requests else error.call_id
        self._write(json_rpc.error(call_id, error.code, error.description()))

    def sweep(self, now_us: int) -> None:
        """Close the connection if it sends no call, stops in the middle of one, or has been idle too long."""
        if self.open_requests or self._is_closed or self.is_closing:
            self.idle_sweeps = 0
            return
        self.idle_sweeps = self.idle_sweeps + 1 if self.call_count == self._calls_at_sweep else 0
        self._calls_at_sweep = self.call_count
        reason = self._idle_reason(now_us)
        if reason is not None and not self.has_pending_call():
            self.half_close(reason)

    def _idle_reason(self, now_us: int) -> CloseReason | None:
        limits = self._owner.limits
        is_incomplete = not self.call_count or self.reader.waiting
        if self.idle_sweeps >= limits.max_idle_sweeps and is_incomplete:
            return CloseReason.NO_REQUEST
        timeout_us = limits.idle_timeout_us
        if self._send_blocked:
            timeout_us = max(timeout_us, limits.unread_timeout_us)
        return CloseReason.IDLE if now_us - self.last_used_us >= timeout_us else None

    def has_pending_call(self) -> bool:
        """Read waiting bytes; return whether a new call or an open request prevents an idle close.

        Reading ends with the first valid call. All that a flooding client has sent, read at once, would keep
        others from their answers.
        """
        calls_before = self.call_count

        def is_in_use() -> bool:
            is_ending = self._is_closed or self.is_closing
            return bool(self.open_requests) or self.call_count != calls_before or is_ending

        self._input.drain(until_empty=False, is_done=is_in_use)
        return is_in_use()
