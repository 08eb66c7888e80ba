"""The order of endpoint list events: delivers each once, across lost connections, gaps and renumbering.

No I/O. After a gap or an unreadable event the whole list is requested again. Its replay must not deliver old
states as changes, so it is held back until it reaches the last event that was delivered before.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from ashcross.decisions.events import EndpointState
from ashcross.logs import rate_limited_log
from ashcross.registry.endpoint_registry import DiscoveredEndpoint, EndpointListEvent


class EventSequence:
    """The sequence of events: takes each as it is read, and delivers them in order."""

    def __init__(self, last_event_number: int, deliver: Callable[[EndpointListEvent], None]) -> None:
        self.last_event_number = last_event_number  # the last that was read
        self._delivered_number = last_event_number
        self._deliver = deliver
        self._needs_whole_list = False
        self._replay_until = 0  # number of the event that ends a replay; 0 outside of a replay
        self._pending: list[EndpointListEvent] = []

    @property
    def has_pending(self) -> bool:
        """Return whether a replay holds events back."""
        return bool(self._pending)

    def start_request(self) -> int:
        """Begin a request for events; return the event number to continue after, 0 for the whole list."""
        self._replay_until = self._delivered_number if self._needs_whole_list else 0
        return 0 if self._needs_whole_list else self.last_event_number

    def drop_pending(self) -> None:
        """Drop the held events of a connection that has ended, as the next connection sends them again."""
        self._pending.clear()

    def skip_unreadable(self) -> bool:
        """Handle an unreadable event; return False if the whole list must be requested.

        An event that is unreadable while the whole list is read is skipped.
        """
        is_skipped = self._needs_whole_list
        self._needs_whole_list = True
        return is_skipped

    def add(self, event: EndpointListEvent, unconfirmed_us: int | None) -> bool:
        """Add an event; return False if an earlier one is missing and the whole list must be requested.

        `unconfirmed_us` is the time since the list was last confirmed, None if it never was.
        """
        if not event.is_snapshot:
            if event.event_number <= self.last_event_number and not self._replay_until:
                return True  # was read before
            if event.event_number > self.last_event_number + 1 and not self._needs_whole_list:
                rate_limited_log.warn(
                    "bulletin",
                    f"events missing, requesting the whole list: event={event.event_number} "
                    f"last_event={self.last_event_number}",
                )
                self._needs_whole_list = True
                self._deliver_withheld(event, event.endpoints)
                return False
        self.last_event_number = event.event_number
        if unconfirmed_us is not None:
            event = replace(event, unconfirmed_us=unconfirmed_us)
        self._pending.append(event)
        if event.event_number >= self._replay_until:
            self.release()
        else:  # an event that was delivered before: which engines were ready then is out of date
            not_ready = (
                entry for entry in event.endpoints if entry.endpoint.state is not EndpointState.READY
            )
            self._deliver_withheld(event, tuple(not_ready))
        return True

    def _deliver_withheld(self, event: EndpointListEvent, entries: tuple[DiscoveredEndpoint, ...]) -> None:
        """Deliver at once which engines get no new attempts by a held or dropped event.

        No drain is hidden so, and no other process at the address of an engine. Later states of these engines
        are delivered with the replay.
        """
        if entries:
            self._deliver(
                EndpointListEvent(self._delivered_number, event.version, False, entries, withheld_only=True)
            )

    def release(self) -> None:
        """Deliver the held events: the replay is complete, or the event numbers have restarted."""
        pending = self._pending
        self._pending = []
        self._replay_until = 0
        self._needs_whole_list = False
        for event in pending:
            self._delivered_number = event.event_number
            self._deliver(event)
