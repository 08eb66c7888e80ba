"""A connection to an engine: carries many attempts and health checks, answered in any order."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from ashcross.audit import AuditEvent, audit
from ashcross.decisions.events import AttemptOutcome
from ashcross.errors import AshcrossError, shown
from ashcross.logs import rate_limited_log
from ashcross.protocols.closed_transport import drop_unsent_bytes
from ashcross.protocols.engines import messages, resp
from ashcross.protocols.engines.faults import CloseReason, ProtocolErrorCounts
from ashcross.protocols.engines.limits import EngineConnectionLimits
from ashcross.protocols.engines.messages import AnswerKind, EngineAnswer, EngineProtocolError
from ashcross.protocols.host_interfaces import EngineHost
from ashcross.registry.buffers import BufferPool
from ashcross.registry.endpoint_registry import EngineRecord
from ashcross.registry.request_registry import AttemptRecord, AttemptStage, HealthCheckRecord

# a query must leave this process within this time, as the time limit that it carries keeps running
MAX_UNSENT_QUERY_US = 100_000


class EngineConnection(Protocol):
    """A connection to an engine, from the dial to its end."""

    transport: Any  # Twisted's TCP connection, whose declared type lacks the producer methods

    def __init__(
        self,
        record: EngineRecord,
        host: EngineHost,
        pool: BufferPool,
        limits: EngineConnectionLimits,
        error_counts: ProtocolErrorCounts,
    ) -> None:
        self.record = record
        self._host = host
        self._limits = limits
        self._error_counts = error_counts
        self._reader = resp.WordsReader(pool, limits.max_bulk_bytes)
        self.is_connected = False
        self.is_closed = False
        # silent since a health check began on this connection: takes nothing new until it answers
        self.is_unresponsive = False
        # carries only one attempt, whose request has lost connections before
        self.is_exclusive = False
        self.attempts: dict[str, AttemptRecord] = {}  # by request id
        self.health_checks: dict[str, HealthCheckRecord] = {}  # by tag
        self.last_heard_us = host.clock()
        self.last_used_us = host.clock()
        self.answer_count = 0
        self._answers_at_sweep = 0
        self._stalled_sweeps = 0
        self._unresponsive_sweeps = 0
        self._written_bytes = 0  # handed to the transport
        self._sent_bytes = 0  # known to be handed to the kernel
        self._unsent_since_us = 0

    def connectionMade(self) -> None:
        """Send the attempts and health checks that waited for the connection and are still wanted."""
        self.transport.setTcpNoDelay(True)
        # Twisted calls `resumeProducing` whenever the kernel has taken all written bytes
        self.transport.registerProducer(self, False)
        self.is_connected = True
        self.last_used_us = self._host.clock()
        self.last_heard_us = self.last_used_us
        for attempt in list(self.attempts.values()):
            if self._is_outdated_retry(attempt):
                self._host.complete_attempt(attempt, AttemptOutcome.NOT_SENT)
            else:
                self._send_query(attempt)
        for health_check in self.health_checks.values():
            self._write(messages.request_load_report(health_check.tag))

    def _is_outdated_retry(self, attempt: AttemptRecord) -> bool:
        """Return whether a retry has waited too long, for a slow dial or a standstill, to be sent still."""
        waited_us = self.last_used_us - attempt.started_us
        return attempt.number > 0 and waited_us > self._limits.max_retry_delay_us

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End the attempts in flight as reset: they may have been executed."""
        drop_unsent_bytes(self.transport)
        self._end(AttemptOutcome.RESET)

    def connection_failed(self, reason: Failure) -> None:
        """End the attempts that waited for a failed dial: they were not executed."""
        self._end(AttemptOutcome.CONNECT_FAILED)

    def _end(self, outcome: AttemptOutcome) -> None:
        if self.is_closed:
            return
        self.is_connected = False
        self.is_closed = True
        self._reader.close()
        if self in self.record.connections:
            self.record.connections.remove(self)
        blames_engine = True  # a lost connection counts once against its engine, not once per attempt
        for attempt in list(self.attempts.values()):
            self._host.complete_attempt(
                attempt, outcome, blames_engine or outcome is not AttemptOutcome.RESET
            )
            blames_engine = False
        for health_check in list(self.health_checks.values()):
            self._host.health_check_completed(health_check, outcome, {})
        self.attempts.clear()
        self.health_checks.clear()

    def close(self) -> None:
        """Close the connection; attempts in flight end as reset."""
        if self.is_connected:
            self.transport.abortConnection()
            self._end(
                AttemptOutcome.RESET
            )  # now: no attempt may start here until the reactor reports the close

    def _close_faulty(self, reason: CloseReason, detail: str = "") -> None:
        requests = list(self.attempts) or "none"
        rate_limited_log.warn(
            "engine",
            f"connection closed: engine={self.record.name} reason={detail or reason} requests={requests}",
        )
        audit.note(AuditEvent.CLOSE_ENGINE, reason, engine=self.record.name, requests=list(self.attempts))
        self._error_counts.closed_connections += 1
        self.close()

    def is_idle(self) -> bool:
        """Return whether it is connected and carries no attempt and no health check."""
        return self.is_connected and not self.attempts and not self.health_checks

    def can_take_attempt(self, exclusive: bool) -> bool:
        """Return whether it can carry one more attempt; an exclusive one needs the connection to itself."""
        if self.is_unresponsive or self.is_exclusive or self.is_write_blocked():
            return False
        return len(self.attempts) < (1 if exclusive else self._limits.max_attempts_per_connection)

    def has_unsent_bytes(self) -> bool:
        """Return whether written bytes are still in this process."""
        return self._sent_bytes < self._written_bytes

    def is_write_blocked(self) -> bool:
        """Return whether bytes are unsent for `write_blocked_us`: the engine does not read, or is cut off."""
        if not self.has_unsent_bytes():
            return False
        return self._host.clock() - self._unsent_since_us > self._limits.write_blocked_us

    def sweep(self) -> None:
        """Close the connection if an answer stays incomplete, or if it alone of its engine's is silent.

        Sweeps are counted rather than time, as bytes wait unread during a standstill of this process.
        """
        self._count_stalled_sweep()
        self._count_unresponsive_sweep()
        if self._stalled_sweeps >= self._limits.max_stalled_sweeps:
            self._close_faulty(CloseReason.INCOMPLETE_ANSWER)
        elif self._unresponsive_sweeps >= self._limits.max_stalled_sweeps:
            self._close_faulty(CloseReason.UNRESPONSIVE)

    def _count_stalled_sweep(self) -> None:
        is_stalled = self._reader.waiting > 0 and self.answer_count == self._answers_at_sweep
        self._answers_at_sweep = self.answer_count
        self._stalled_sweeps = self._stalled_sweeps + 1 if is_stalled else 0

    def _count_unresponsive_sweep(self) -> None:
        overdue = [check for check in self.health_checks.values() if check.completed]
        self.health_checks = {tag: check for tag, check in self.health_checks.items() if not check.completed}
        if any(self.last_heard_us < check.started_us for check in overdue):
            self.is_unresponsive = True
        # an engine that answers on other connections is up, so this connection is broken
        others_answer = any(
            other.answer_count and other.last_heard_us > self.last_heard_us
            for other in self.record.connections
        )
        is_silent = self.is_unresponsive and others_answer
        self._unresponsive_sweeps = self._unresponsive_sweeps + 1 if is_silent else 0

    def resumeProducing(self) -> None:
        """Note that the kernel has taken all written bytes."""
        self._sent_bytes = self._written_bytes
        self._unsent_since_us = 0

    def stopProducing(self) -> None:
        """Do nothing when the connection ends: `connectionLost` handles that."""

    def _write(self, data: bytes) -> None:
        self.last_used_us = self._host.clock()
        if not self.has_unsent_bytes():
            self._unsent_since_us = self.last_used_us
        self._written_bytes += len(data)
        self.transport.write(data)
        # The reactor sends only after it has handled every readable socket. In a flood of calls that takes
        # long: a query would leave after its client has gone, and with too much time on it.
        self.transport.doWrite()

    def start_attempt(self, attempt: AttemptRecord) -> None:
        """Send the query of an attempt, now or as soon as the connection is made."""
        attempt.connection = self
        self.is_exclusive = attempt.request.connections_lost > 0
        self.attempts[attempt.request.request_id] = attempt
        if self.is_connected:
            self._send_query(attempt)

    def _send_query(self, attempt: AttemptRecord) -> None:
        request = attempt.request
        if not self._host.may_begin_attempt(attempt, self.record):
            self._host.complete_attempt(attempt, AttemptOutcome.NOT_SENT)
            return
        time_limit_ms = max(1, (attempt.expires_us - self._host.clock()) // 1000)
        attempt.advance_to(AttemptStage.REQUESTED)
        attempt.stream_offset = self._written_bytes
        self._write(messages.start_query(request, time_limit_ms))
        self._host.call_at(
            self.last_used_us + MAX_UNSENT_QUERY_US, self._close_if_unsent, self._written_bytes
        )

    def release_attempt(self, attempt: AttemptRecord) -> None:
        """Drop an attempt that is completed on this side; have its query cancelled or its pages discarded."""
        request_id = attempt.request.request_id
        if self.attempts.get(request_id) is not attempt:
            return
        del self.attempts[request_id]
        if not self.attempts:
            self.is_exclusive = False
        if not self.is_connected or attempt.stage is AttemptStage.CONNECTING or attempt.engine_finished:
            return
        if self.is_write_blocked() or attempt.stream_offset >= self._sent_bytes:
            # the unsent query could reach the engine after the client has its answer, and a cancel would be
            # as late as the query
            self._close_faulty(CloseReason.WRITE_BLOCKED)
            return
        is_fetching = attempt.stage is AttemptStage.FETCHING_PAGES
        self._write(messages.discard_pages(request_id) if is_fetching else messages.cancel_query(request_id))
        # the cancel must leave before another attempt is sent, or both would run at the same time
        self._host.call_at(
            self.last_used_us + self._limits.write_blocked_us, self._close_if_unsent, self._written_bytes
        )

    def _close_if_unsent(self, written_bytes: int) -> None:
        """Close the connection unless the first `written_bytes` bytes of the stream have been sent."""
        if not self.is_closed and self._sent_bytes < written_bytes:
            self._close_faulty(CloseReason.WRITE_BLOCKED)

    def set_priority(self, attempt: AttemptRecord, priority: int) -> None:
        """Change the priority of an attempt in flight."""
        if self.is_connected and attempt.stage is AttemptStage.REQUESTED:
            self._write(messages.set_priority(attempt.request.request_id, priority))

    def start_health_check(self, health_check: HealthCheckRecord) -> None:
        """Check the engine's health on this connection, now or as soon as the connection is made."""
        self.health_checks[health_check.tag] = health_check
        if self.is_connected:
            self._write(messages.request_load_report(health_check.tag))

    def dataReceived(self, data: bytes) -> None:
        """Handle received answers; the first that breaks the protocol closes this connection."""
        if self.is_closed:
            return
        self.last_used_us = self._host.clock()
        self.last_heard_us = self.last_used_us
        self.is_unresponsive = False
        try:
            for words in self._reader.feed(data):
                self.answer_count += 1
                self._handle_answer(messages.parse_answer(words))
                if self.is_closed:
                    return
        except AshcrossError as error:  # from the framing or from the content of an answer
            self._close_faulty(CloseReason.PROTOCOL_ERROR, error.description())
        except Exception as error:
            rate_limited_log.warn(
                "engine", f"internal error while handling an answer: engine={self.record.name}", error
            )
            self.close()

    def _handle_answer(self, answer: EngineAnswer) -> None:
        health_check = self.health_checks.pop(answer.tag, None)
        if health_check is not None:
            self._host.health_check_completed(health_check, answer.health_check_outcome, answer.load_report())
            return
        attempt = self.attempts.get(answer.tag)
        if attempt is None:  # a cancel crossed it, or the engine sent more than was asked for
            self._error_counts.unexpected_answers += 1
            return
        if answer.has_load_report:
            attempt.load_report = answer.load_report()
        self._handle_attempt_answer(attempt, answer)

    def _handle_attempt_answer(self, attempt: AttemptRecord, answer: EngineAnswer) -> None:
        kind = answer.kind
        if kind is AnswerKind.FIRST_PAGE and attempt.stage is AttemptStage.REQUESTED:
            self._start_result(attempt, answer)
        elif kind is AnswerKind.FIRST_PAGE:  # a duplicate of the page that started the result
            self._error_counts.unexpected_answers += 1
        elif kind is AnswerKind.PAGE and attempt.stage is AttemptStage.FETCHING_PAGES:
            self._add_page(attempt, answer.page_index(), answer.body)
        elif kind is AnswerKind.PROGRESS:
            progress = answer.progress_kind()
            if progress is not None:
                self._host.attempt_progressed(attempt, progress, answer.progress_value())
        elif kind is AnswerKind.END:
            attempt.engine_finished = True
            self._host.complete_attempt(attempt, answer.outcome)
        else:
            raise EngineProtocolError(
                "answer", f"a word allowed at stage {attempt.stage.value!r}", shown(answer.word)
            )

    def _start_result(self, attempt: AttemptRecord, answer: EngineAnswer) -> None:
        page_count = answer.page_count()
        max_pages = self._limits.max_pages
        if not 1 <= page_count <= max_pages:
            raise EngineProtocolError("page count", f"1 to {max_pages}", str(page_count))
        attempt.advance_to(AttemptStage.FETCHING_PAGES)
        attempt.missing_pages = page_count
        attempt.pages = [None] * page_count
        self._add_page(attempt, 0, answer.body)
        if page_count > 1:  # requested together: a round trip for each page would add up
            request_id = attempt.request.request_id
            self._write(b"".join(messages.fetch_page(request_id, index) for index in range(1, page_count)))

    def _add_page(self, attempt: AttemptRecord, index: int, body: bytes) -> None:
        if not 0 <= index < len(attempt.pages):
            raise EngineProtocolError("page index", f"0 to {len(attempt.pages) - 1}", str(index))
        if attempt.pages[index] is not None:
            self._error_counts.unexpected_answers += 1
            return
        if not self._is_valid_page(body):
            max_page_bytes = self._limits.max_page_bytes
            wanted = f"rows of three text columns in UTF-8, {max_page_bytes} bytes at most"
            raise EngineProtocolError(f"page {index}", wanted, f"{len(body)} bytes, not in that form")
        attempt.pages[index] = body
        attempt.missing_pages -= 1
        attempt.answer_bytes += len(body)
        max_bytes = self._limits.max_answer_bytes
        if attempt.answer_bytes > max_bytes:
            raise EngineProtocolError("result", f"{max_bytes} bytes at most", f"{attempt.answer_bytes} bytes")
        if not attempt.missing_pages:
            attempt.engine_finished = True
            self._host.complete_attempt(attempt, AttemptOutcome.SUCCEEDED)

    def _is_valid_page(self, body: bytes) -> bool:
        return len(body) <= self._limits.max_page_bytes and resp.is_page(body)
