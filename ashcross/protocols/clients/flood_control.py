"""Flood control of one client connection: pauses reading from a client that exceeds its limits.

Reading is paused for two reasons. A client that sends many calls over its limits is held off for
`HOLD_OFF_S` or longer, so that a flood costs other clients little. A client that sends calls and leaves far
too many answers unread is suspended until it reads them. Its calls stay in the kernel meanwhile.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ashcross.protocols.clients.limits import ClientConnectionLimits
from ashcross.protocols.host_interfaces import Clock

MAX_READS = 64  # consecutive reads of one connection
MAX_READS_HELD_OFF = 4  # consecutive reads of one connection while it is held off
CALLS_OVER_LIMIT = 64  # calls over a limit after which a connection is held off
HOLD_OFF_S = 0.05
HOLD_OFF_US = 50_000
FREE_HOLD_OFFS = 4  # connections held off at once for HOLD_OFF_S; more of them wait longer in proportion
# least ratio of a hold-off to the time that the calls before it took, for one connection held off; all of
# them together leave the reciprocal of it, a fifth, to the flood
HOLD_OFF_RATIO = 4
# a client is suspended if its unread answers reach this many times its maximum of open requests
MAX_UNREAD_FACTOR = 2
UNREAD_US = 250_000  # and if it has read none of them for this time


@dataclass(slots=True)
class HoldOffCount:
    """The number of connections held off now, of all clients together."""

    connections: int = 0


class FloodControl:
    """Counts the calls that one client sends over its limits, and pauses reading from its transport.

    `on_resumed` is called each time reading resumes.
    """

    def __init__(
        self,
        limits: ClientConnectionLimits,
        clock: Clock,
        call_later: Callable[..., Any],  # Twisted's `reactor.callLater`
        hold_offs: HoldOffCount,
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._call_later = call_later
        self._hold_offs = hold_offs
        self.on_resumed: Callable[[], None] | None = None
        self._transport: Any = None  # the Twisted transport, once the connection is made
        self.is_closed = False  # our side is shut; reading is neither paused nor resumed any more
        self.is_held_off = False
        self._held_off_since_us = 0
        self._hold_off_timer: Any = None  # Twisted's delayed call that ends the hold-off
        self._is_suspended = False
        self._calls_over_limit = 0
        self._handling_us = 0  # time that reads with such calls took since the last hold-off
        self._flooded_us: int | None = None  # when the kernel last held more than `drain` reads
        self.protocol_violations = 0
        # start of the pause; set until the kernel buffer is known to be empty
        self.not_read_since_us: int | None = None

    def attach(self, transport: Any) -> None:
        """Set the transport whose reading is paused and resumed."""
        self._transport = transport

    @property
    def is_paused(self) -> bool:
        """Return whether reading from the connection is paused."""
        return self.is_held_off or self._is_suspended

    @property
    def calls_over_limit(self) -> int:
        """The number of calls over a limit since the last hold-off."""
        return self._calls_over_limit

    def count_handling(self, handling_us: int) -> None:
        """Count the time (us) that a read with calls over a limit took."""
        self._handling_us += handling_us

    def close(self) -> None:
        """Stop pausing the connection, whose input is not handled any more."""
        self.is_closed = True
        if self.is_held_off:
            self._hold_off_timer.cancel()  # it would keep the closed connection in memory
            self._leave_hold_off()

    def count_call_over_limit(self) -> None:
        """Count a call over a limit, or one that came after the connection stopped accepting calls."""
        self._calls_over_limit += 1

    def hold_off_if_due(self) -> bool:
        """Hold the connection off if it sent too many calls over its limits; return whether it did."""
        if self._calls_over_limit < CALLS_OVER_LIMIT:
            return False
        self._calls_over_limit = 0
        if not self.is_held_off:
            self._hold_off()
        return True

    def _hold_off(self) -> None:
        self.is_held_off = True
        self._hold_offs.connections += 1
        self._held_off_since_us = self._clock()
        self._pause()
        self._hold_off_timer = self._call_later(self._hold_off_s(), self._end_hold_off)
        self._handling_us = 0

    def _hold_off_s(self) -> float:
        """Return the length of a hold-off, in seconds.

        It grows with the number of flooding connections and with the time that the calls took, so that the
        total cost of all floods is bounded, whatever they send.
        """
        connections = self._hold_offs.connections
        by_count_s = HOLD_OFF_S * max(1.0, connections / FREE_HOLD_OFFS)
        by_cost_s = HOLD_OFF_RATIO * self._handling_us / 1e6 * connections
        return max(by_count_s, by_cost_s)

    def _end_hold_off(self) -> None:
        self._leave_hold_off()
        self._resume()

    def _leave_hold_off(self) -> None:
        self.is_held_off = False
        self._hold_offs.connections -= 1

    def leaves_too_many_unread(self, unread_answers: int, blocked_since_us: int) -> bool:
        """Return whether the client has left too many answers unread, and read none for `UNREAD_US`."""
        too_many = unread_answers >= MAX_UNREAD_FACTOR * self._limits.max_open_requests
        return too_many and self._clock() - blocked_since_us >= UNREAD_US

    def suspend(self) -> bool:
        """Pause reading until `end_suspension`; return False if suspended or closed already."""
        if self._is_suspended or self.is_closed:
            return False
        self._is_suspended = True
        self._pause()
        return True

    def end_suspension(self) -> None:
        """Resume reading if suspended, as the client has read its answers."""
        if self._is_suspended:
            self._is_suspended = False
            self._resume()

    def max_reads(self, now_us: int, until_empty: bool) -> int:
        """Return how many consecutive reads of the kernel buffer are allowed; 0 if it must not be read now.

        `until_empty` is set for the last read before the process ends.
        """
        if self._is_suspended:
            return 0
        if until_empty:
            return MAX_READS
        if self._flooded_us is not None:
            was_held_off = self.is_held_off and self._flooded_us >= self._held_off_since_us
            if was_held_off or now_us - self._flooded_us < HOLD_OFF_US:
                return 0
        return MAX_READS_HELD_OFF if self.is_held_off else MAX_READS

    def kernel_is_empty(self) -> None:
        """Note that the kernel buffer is empty: bytes read from now on have just arrived."""
        self.not_read_since_us = None

    def kernel_is_not_empty(self, now_us: int) -> None:
        """Note that at `now_us` the kernel buffer held more than the reads allowed."""
        self._flooded_us = now_us

    def _pause(self) -> None:
        if self.not_read_since_us is None:
            self.not_read_since_us = self._clock()
        self._transport.pauseProducing()

    def _resume(self) -> None:
        if not (self.is_paused or self.is_closed) and self._transport.connected:
            self._transport.resumeProducing()
            if self.on_resumed is not None:
                self.on_resumed()
