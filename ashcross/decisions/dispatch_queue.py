"""Dispatch queue: requests that wait for an engine, first the regular queue, then the reserve queue.

The regular queue is ordered by earliest due time, the reserve queue at random. A request of either queue
waits for at most half of its slack, which is the time until its latency objective (not until its deadline)
less its expected run time: after a longer wait most requests would miss the objective. Before a retry the
slack is at least half of the latency objective of its class.
"""

from __future__ import annotations

from heapq import heappop, heappush

from ashcross.decisions.attempts import Attempts
from ashcross.decisions.context import Context
from ashcross.decisions.engine_selection import EngineSelection
from ashcross.decisions.final_answers import FinalAnswers
from ashcross.decisions.ordering import Ordering
from ashcross.decisions.requests import WAIT_SLACK_SHARE, Request

# Reason of a rejection or failure by `DispatchQueue.end_expired`, in both queues: the request has waited for
# longer than WAIT_SLACK_SHARE of its slack.
NO_ENGINE_IN_TIME = "no engine took it in time"

# An entry of the queue's heap: whether the request is in the reserve queue, which comes last; its order; a
# serial number; the request. The order is the due time in us or, in the reserve queue, a random number from 0
# to 1.
QueueEntry = tuple[bool, float, int, Request]


class DispatchQueue:
    """Queue of the requests that wait for an engine; `entries` is a heap in dispatch order."""

    def __init__(
        self,
        context: Context,
        ordering: Ordering,
        selection: EngineSelection,
        attempts: Attempts,
        answers: FinalAnswers,
    ) -> None:
        self._class_count = len(context.settings.classes)
        self._random = context.random
        self._ordering = ordering
        self._selection = selection
        self._attempts = attempts
        self._answers = answers
        self._serial = 0
        self.entries: list[QueueEntry] = []

    def add(self, request: Request, slack_us: float, now: int) -> None:
        """Queue a request; it waits for at most WAIT_SLACK_SHARE of `slack_us`."""
        request.queued = True
        request.dispatch_by_us = now + int(WAIT_SLACK_SHARE * slack_us)
        self._serial += 1
        order = request.due_us if request.in_class_quota else self._random.random()
        heappush(self.entries, (not request.in_class_quota, order, self._serial, request))

    def dispatch(self, now: int) -> None:
        """Start attempts for the queued requests that find an engine.

        If the first attempt of a request finds no engine, the later requests of its class in the queue would
        find none either and are not tried. This bounds the work per event when the queue is long.
        """
        still_queued: list[QueueEntry] = []
        blocked_classes: set[int] = set()
        while self.entries and len(blocked_classes) < self._class_count:
            entry = heappop(self.entries)
            request = entry[3]
            if request.completed or not request.queued:
                continue
            class_index = request.event.class_index
            engine = None
            if class_index not in blocked_classes:
                engine = self._selection.choose(request, now)
            if engine is not None:
                request.queued = False
                self._attempts.start(request, engine, now)
                continue
            still_queued.append(entry)
            if not request.attempts and self._ordering.is_next(request, now):
                blocked_classes.add(class_index)
        self.entries = sorted(still_queued + self.entries)  # a sorted list is a heap

    def end_expired(self, now: int) -> None:
        """Reject or fail requests that have waited too long; remove requests that are no longer queued.

        Called once a period, so a request may wait for up to a period longer than `dispatch_by_us`.
        """
        for entry in self.entries:
            request = entry[3]
            if request.queued and now >= request.dispatch_by_us:
                self._answers.reject_or_fail(request, now, NO_ENGINE_IN_TIME)
        self.entries = sorted(entry for entry in self.entries if entry[3].queued)
