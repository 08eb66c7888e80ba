"""Passes the endpoint list to the scheduler: watch events, polls, and whether the list is fresh."""

from __future__ import annotations

from collections.abc import Callable

from ashcross.decisions.events import EndpointListKind, EndpointListUpdate
from ashcross.dispatcher.interfaces import DispatcherContext
from ashcross.logs import rate_limited_log
from ashcross.registry.endpoint_registry import EndpointListEvent


class EndpointListFeed:
    """Collects watch events and polls between batches; each batch takes the resulting updates."""

    def __init__(self, context: DispatcherContext, discovery_is_connected: Callable[[], bool]) -> None:
        self._context = context
        self._discovery_is_connected = discovery_is_connected
        self.is_fresh = True  # False: the list is stale, and no attempt may be sent on the basis of it
        self._events: list[EndpointListEvent] = []
        self._polls = 0

    @property
    def has_updates(self) -> bool:
        """Whether there are updates for the next batch."""
        return bool(self._events) or bool(self._polls)

    def receive(self, event: EndpointListEvent) -> None:
        """Take in a watch event; it is applied in the next batch."""
        self._events.append(event)
        self._context.schedule_batch()

    def set_freshness(self, is_fresh: bool) -> None:
        """Set whether the list is fresh; the scheduler is notified in the next batch."""
        self.is_fresh = is_fresh
        if not is_fresh and self._context.engines is not None:
            self._context.engines.endpoint_list_changed(True)
        self.poll()

    def poll(self) -> None:
        """Send the complete list to the scheduler in the next batch, with that batch's events applied."""
        self._polls += 1
        self._context.schedule_batch()

    def confirm_unchanged(self) -> None:
        """Send the scheduler an update without changes."""
        version = self._context.endpoints.version
        self._context.enqueue_event(EndpointListUpdate(EndpointListKind.DELTA, version, ()))

    def take_updates(self) -> list[EndpointListUpdate]:
        """Apply the watch events received and return the updates for the scheduler, polled lists first."""
        updates: list[EndpointListUpdate] = []
        events = self._events
        self._events = []
        if events:
            try:
                update = self._context.endpoints.apply_events(events)
                if self.is_fresh:  # the scheduler gets the complete list when a stale one is fresh again
                    updates.append(update)
                if self._context.engines is not None:
                    self._context.engines.endpoint_list_changed()
            except Exception as error:  # the other events of this batch must still reach the scheduler
                rate_limited_log.warn(
                    "fleet",
                    "internal error while applying watch events, the endpoint list may be incomplete until "
                    "the next full list; report this: "
                    f"events={len(events)} last_event={events[-1].event_number}",
                    error,
                )
        if self._polls:
            updates[:0] = [self._current()] * self._polls
            self._polls = 0
        return updates

    def _current(self) -> EndpointListUpdate:
        if not self.is_fresh:
            return EndpointListUpdate(EndpointListKind.STALE, self._context.endpoints.version, ())
        if not self._discovery_is_connected():
            return EndpointListUpdate(EndpointListKind.FAILED, 0, ())
        return self._context.endpoints.snapshot()
