"""Freshness of the endpoint list: whether it is recent enough to send attempts by.

No I/O: times are seconds of one monotonic clock.

The list becomes fresh when the backlog of a connection has been read, and stale when nothing has confirmed it
for its maximum age. Complete events and comments confirm it on a connection whose backlog has been read;
incomplete ones do not. After the discovery service has moved to another address, a second maximum age runs
from the move.
"""

from __future__ import annotations

from enum import Enum

from ashcross.errors import AshcrossError


class Freshness(Enum):
    """The freshness of the endpoint list."""

    UNCONFIRMED = "unconfirmed"  # the list comes from the configuration file
    FRESH = "fresh"
    STALE = "stale"


TRANSITIONS: dict[Freshness, frozenset[Freshness]] = {
    Freshness.UNCONFIRMED: frozenset((Freshness.FRESH,)),
    Freshness.FRESH: frozenset((Freshness.STALE,)),
    Freshness.STALE: frozenset((Freshness.FRESH,)),
}


class FreshnessError(AshcrossError):
    """A transition that `TRANSITIONS` does not list."""

    remedy = "a fault of the program: report it with the log lines before it, and restart the dispatcher"


class ListFreshness:
    """The freshness of the list, and the times that determine it."""

    def __init__(self, now_s: float, max_age_s: float, max_age_after_move_s: float) -> None:
        self._max_age_s = max_age_s
        self._max_age_after_move_s = max_age_after_move_s
        self._confirmed_s = now_s
        self._moved_s: float | None = None  # since when the new address has confirmed nothing
        self._state = Freshness.UNCONFIRMED
        self.is_backlog_read = False  # the backlog of the current connection has been read

    @property
    def is_fresh(self) -> bool:
        """Return whether attempts may be sent by the list."""
        return self._state is Freshness.FRESH

    def connection_changed(self) -> None:
        """Note that a connection opened or ended, so that the backlog has not been read."""
        self.is_backlog_read = False

    def address_changed(self, now_s: float) -> None:
        """Note a move of the discovery service; only the first move since a confirmation counts."""
        if self._moved_s is None:
            self._moved_s = now_s

    def confirm(self, now_s: float) -> bool:
        """Note that the list is up to date; return whether it has become fresh."""
        self._confirmed_s = now_s
        self._moved_s = None
        self.is_backlog_read = True
        if self.is_fresh:
            return False
        self._enter(Freshness.FRESH)
        return True

    def expire(self, now_s: float) -> bool:
        """Mark the list stale if it is over its maximum age; return whether it has become stale."""
        if not self.is_fresh or not self._is_over_age(now_s):
            return False
        self._enter(Freshness.STALE)
        return True

    def _is_over_age(self, now_s: float) -> bool:
        if self._moved_s is not None and now_s - self._moved_s > self._max_age_after_move_s:
            return True
        return self.age_s(now_s) > self._max_age_s

    def age_s(self, now_s: float) -> float:
        """Return the time since the list was last confirmed, or since the start, in seconds."""
        return now_s - self._confirmed_s

    def unconfirmed_us(self, now_s: float) -> int | None:
        """Return the time since the list was last confirmed, in microseconds; None if it never was."""
        if self._state is Freshness.UNCONFIRMED:
            return None
        return int(self.age_s(now_s) * 1e6)

    def _enter(self, state: Freshness) -> None:
        if state not in TRANSITIONS[self._state]:
            allowed = ", ".join(sorted(step.value for step in TRANSITIONS[self._state])) or "none"
            raise FreshnessError(
                f"freshness {self._state.value}", f"one of the transitions {allowed}", state.value
            )
        self._state = state
