"""The earliest arrival time of bytes that are read now, also after a standstill of the process."""

from __future__ import annotations

from functools import partial

from ashcross.dispatcher.batch_timer import BatchTimer
from ashcross.dispatcher.interfaces import NEVER_US
from ashcross.protocols.host_interfaces import Clock

# A poll of the sockets that takes longer than this has blocked: no bytes were waiting when it began.
BLOCKING_POLL_US = 1_000
# A poll that ends later than this after a heartbeat or alarm was due shows a standstill of the process.
STANDSTILL_US = 10_000
# After so many polls, everything that arrived during a standstill has been read.
POLLS_AFTER_STANDSTILL = 3


class ArrivalTimes:
    """Tracks reads, batches and a heartbeat, and detects standstills of the process from them.

    The event loop polls the sockets, handles those that are readable, and makes the calls that are due. Bytes
    that are read now arrived after the poll before the present one: at the first read that followed it, or
    later. If the present poll has blocked, they have just arrived.

    A process stands still while it is stopped or gets no CPU time. No poll lasts longer than until the next
    heartbeat or alarm is due, so a poll that ends late shows a standstill.
    """

    def __init__(self, clock: Clock, timer: BatchTimer, now: int) -> None:
        self._clock = clock
        self._timer = timer
        self._poll_began_us = now  # when the last read, batch or heartbeat ended
        self._earliest_us = now  # bytes that are read now arrived at this time or later
        self._is_reading = False  # bytes were read since the last poll
        self._first_read_us = now  # the first read since that poll
        self._heartbeat_us = now  # the last heartbeat
        self._heartbeats_since_read = 0
        self._heartbeat_due_us = NEVER_US
        # the start of a standstill; None again once everything that arrived during it has been read
        self._standstill_since_us: int | None = None
        self._standstills_pending = 0  # standstills after which too few polls have ended

    def arrival_us(self) -> int:
        """Return the earliest time (us) at which bytes that are read now can have arrived.

        After a standstill, they can have arrived at any time since it began.
        """
        now = self._clock()
        self.detect_standstill(now)
        if not self._is_reading:
            self._begin_reads(now)
        if self._standstill_since_us is not None:
            self._earliest_us = min(self._earliest_us, self._standstill_since_us)
        self._poll_began_us = now
        return min(self._earliest_us, now)

    def _begin_reads(self, now: int) -> None:
        """Date the bytes that are read until the next poll, of which those read at `now` are the first."""
        if now - self._poll_began_us > BLOCKING_POLL_US and not self._timer.batch_is_scheduled:
            self._earliest_us = now
        else:
            self._earliest_us = max(self._earliest_us, self._first_read_us)
        self._first_read_us = now
        self._heartbeats_since_read = 0
        self._is_reading = True
        self._timer.call_later(0, self._end_reads)

    def _end_reads(self) -> None:
        """Record that all bytes that the last poll found have been read; the event loop polls next."""
        self._is_reading = False
        self._poll_began_us = self._clock()

    def heartbeat(self, interval_us: int) -> None:
        """Record that the sockets were polled; the next heartbeat is due in `interval_us`."""
        now = self._clock()
        self.detect_standstill(now)
        self._heartbeats_since_read += 1
        if self._heartbeats_since_read > 1:  # a poll since the last heartbeat has found nothing to read
            self._is_reading = False
            self._first_read_us = self._heartbeat_us
        self._heartbeat_us = now
        self._poll_began_us = now
        self._heartbeat_due_us = now + interval_us

    def batch_ended(self, now: int) -> None:
        """Record the end of a batch: the event loop polls the sockets next."""
        self._poll_began_us = now

    def detect_standstill(self, now: int) -> None:
        """Detect a standstill that ended before `now`.

        A poll during which the process was stopped may end by its timeout, without a read, and the calls that
        are due run first. So the bytes that arrived during the standstill are read in one of the next polls.
        """
        due_us = min(self._heartbeat_due_us, self._timer.alarm_us)
        if now > due_us + STANDSTILL_US and self._poll_began_us <= due_us:
            if self._standstill_since_us is None:
                self._standstill_since_us = self._poll_began_us
            self._standstills_pending += 1
            self._await_polls(POLLS_AFTER_STANDSTILL)

    def _await_polls(self, count: int) -> None:
        if count:
            self._timer.call_later(0, partial(self._await_polls, count - 1))
            return
        self._standstills_pending -= 1
        if not self._standstills_pending:
            self._standstill_since_us = None
