"""Ordered requests: the requests of an ordering key run one at a time, in the order of their arrival.

Enforces rule 5 (ordering).
"""

from __future__ import annotations

from collections import deque

from ashcross.decisions.events import AttemptOutcome
from ashcross.decisions.requests import Request
from ashcross.decisions.settings import SchedulerSettings

# outcomes after which the engine might still be running the attempt
OUTCOME_UNKNOWN = (AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED)


class Ordering:
    """Requests of each ordering key, and the quiet periods of keys.

    A key is quiet for some time after an attempt with an unknown outcome: no request of the key may start, as
    that attempt might still be running.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        self._quiet_us = settings.ordering_quiet_us
        self._requests: dict[str, deque[Request]] = {}
        self._quiet_until_us: dict[str, int] = {}

    def request_received(self, request: Request) -> None:
        """Queue a request behind the earlier requests of its ordering key."""
        key = _ordering_key(request)
        if key is not None:
            self._requests.setdefault(key, deque()).append(request)

    def is_next(self, request: Request, now: int) -> bool:
        """Return whether the request is the first unfinished one of its key, and the key not quiet (rule 5).

        A request is finished when it is completed and has no attempt in flight.
        """
        key = _ordering_key(request)
        if key is None:
            return True
        requests = self._requests[key]
        while requests and _is_finished(requests[0]):
            requests.popleft()
        return bool(requests) and requests[0] is request and now >= self._quiet_until_us.get(key, now)

    def attempt_completed(self, request: Request, outcome: AttemptOutcome, now: int) -> None:
        """Start a quiet period of the request's key if the attempt might still be running."""
        key = _ordering_key(request)
        if key is not None and outcome in OUTCOME_UNKNOWN:
            self._quiet_until_us[key] = now + self._quiet_us

    def remove_finished(self, now: int) -> None:
        """Remove quiet periods that are over, finished requests, and keys without another request.

        Finished requests leave wherever they stand: behind one that runs long they would pile up.
        """
        self._quiet_until_us = {
            key: until_us for key, until_us in self._quiet_until_us.items() if until_us > now
        }
        unfinished = {
            key: deque(request for request in requests if not _is_finished(request))
            for key, requests in self._requests.items()
        }
        self._requests = {key: requests for key, requests in unfinished.items() if requests}

    def is_empty(self) -> bool:
        """Return whether no key has requests or a quiet period."""
        return not self._requests and not self._quiet_until_us


def _is_finished(request: Request) -> bool:
    return request.completed and not request.attempts_in_flight()


def _ordering_key(request: Request) -> str | None:
    return request.event.ordering_key if request.class_settings.ordered else None
