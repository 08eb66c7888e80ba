"""Schedules batches: at once when an event is ready, else when the next deadline is due."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ashcross.dispatcher.interfaces import NEVER_US, CallLater, DelayedCall
from ashcross.protocols.host_interfaces import Clock
from ashcross.registry.deadlines import Deadlines


class BatchTimer:
    """Schedules batches on the event loop, with at most one immediate batch and one alarm at a time."""

    def __init__(
        self,
        clock: Clock,
        call_later: CallLater,
        deadlines: Deadlines,
        process_batch: Callable[[], None],
        on_alarm: Callable[[], None],
    ) -> None:
        self.call_later = call_later
        self.batch_is_scheduled = False  # also True while a batch is being processed
        self.alarm_us = NEVER_US  # the time at which the alarm is due
        self._clock = clock
        self._deadlines = deadlines
        self._process_batch = process_batch
        self._on_alarm = on_alarm
        self._alarm: DelayedCall | None = None

    def schedule_batch(self) -> None:
        """Schedule a batch, which begins once all events that are ready now have been collected."""
        if not self.batch_is_scheduled:
            self.batch_is_scheduled = True
            self.call_later(0, self._process_batch)

    def begin_batch(self) -> None:
        """Mark a batch as running, so that events that become ready schedule no other batch until its end."""
        self.batch_is_scheduled = True

    def end_batch(self, events_are_ready: bool) -> None:
        """Schedule the next batch if events are ready for it, and set the alarm."""
        self.batch_is_scheduled = False
        if events_are_ready:
            self.schedule_batch()
        self.set_alarm()

    def call_at(self, at_us: int, call: Callable[[Any], None], argument: Any) -> None:
        """Schedule `call(argument)` for a time (us), also from outside of a batch."""
        self._deadlines.add(at_us, call, argument)
        self.set_alarm()

    def set_alarm(self) -> None:
        """Set the alarm for the next deadline, unless the present alarm is due by then."""
        due_us = self._deadlines.next_us()
        if due_us is None:
            return
        if self._alarm is not None:
            if self.alarm_us <= due_us:
                return
            self._alarm.cancel()
        self.alarm_us = due_us
        self._alarm = self.call_later(max(0, due_us - self._clock()) / 1e6, self._on_alarm)

    def alarm_fired(self) -> None:
        """Clear the alarm that has fired; the next batch sets a new one."""
        self._alarm = None
        self.alarm_us = NEVER_US
