"""Reads the kernel buffer of one client connection without waiting for the reactor."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ashcross.protocols.clients.flood_control import FloodControl
from ashcross.protocols.host_interfaces import ClientHost


class InputReader:
    """Reads a connection's transport until the kernel buffer is empty, within the limits of flood control.

    The transport passes received bytes to its protocol, which counts each read in `read_count`.
    `on_disconnected` is called if the client has closed the connection.
    """

    def __init__(
        self, flood_control: FloodControl, host: ClientHost, on_disconnected: Callable[[], None]
    ) -> None:
        self._flood_control = flood_control
        self._host = host
        self._on_disconnected = on_disconnected
        self._transport: Any = None  # the Twisted transport, once the connection is made
        self.read_count = 0
        self.is_draining = False
        self.is_parsing = False  # set by the protocol while it handles received bytes

    def attach(self, transport: Any) -> None:
        """Set the transport to read from."""
        self._transport = transport

    def earliest_arrival_us(self) -> int:
        """Return the earliest time at which the bytes read now can have arrived.

        After a pause they can have arrived at any time since it began, until the kernel buffer is known to
        be empty.
        """
        arrived_us = self._host.arrival_us()
        if self._host.before_first_sweep:  # they can have arrived at any time since clients could connect
            arrived_us = min(arrived_us, self._host.listening_since_us)
        if self._flood_control.not_read_since_us is not None:
            arrived_us = min(arrived_us, self._flood_control.not_read_since_us)
        return arrived_us

    def drain(self, until_empty: bool, is_done: Callable[[], bool] = lambda: False) -> bool:
        """Read the kernel buffer; return whether it is empty now. False also if reading is not allowed now.

        `until_empty` is set for the last read before the process ends. The rest stays in the kernel once
        `is_done` returns True after a read, or the connection is held off.
        """
        if self.is_draining or self.is_parsing:
            return True
        now_us = self._host.clock()
        max_reads = self._flood_control.max_reads(now_us, until_empty)
        if not max_reads:
            return False
        was_held_off = self._flood_control.is_held_off

        def must_stop() -> bool:
            begins_hold_off = self._flood_control.is_held_off and not was_held_off
            return is_done() or (begins_hold_off and not until_empty)

        self.is_draining = True
        try:
            is_empty = self._read_until_empty(max_reads, must_stop)
        finally:
            self.is_draining = False
        if not (is_empty or is_done()):
            self._flood_control.kernel_is_not_empty(self._host.clock())
        return is_empty

    def _read_until_empty(self, max_reads: int, is_done: Callable[[], bool]) -> bool:
        is_empty = False
        reads_left = max_reads
        while reads_left and not is_empty and not is_done():
            is_empty = not self._transport.connected or self._read_once()
            reads_left -= 1
        return is_empty

    def read_after_pause(self) -> None:
        """Read once after a pause, to find out whether the kernel buffer still holds bytes."""
        if self._flood_control.is_paused or self._flood_control.is_closed or not self._transport.connected:
            return
        self._read_once()

    def _read_once(self) -> bool:
        """Read once; return whether there were no bytes, or only the client's close."""
        reads_before = self.read_count
        if self._transport.doRead() is not None:  # the reactor will see the close too, and end the transport
            self._on_disconnected()
            return True
        if self.read_count == reads_before:
            self._flood_control.kernel_is_empty()
            return True
        return False
