"""The leader's record of which members may be using their offline allowances, and their share over time."""

from __future__ import annotations


class OfflineAllowances:
    """Tracks the share of members without an active promise: they may be using their offline allowances.

    `used_us` is the integral over time, in microseconds, of the share of members (0 to 1) whose allowances
    may be in use. An account records its value when it is credited; the difference to the next value is the
    time for which the offline part of the quota did not accrue to the account.
    """

    def __init__(self, member_count: int, now: int) -> None:
        self.used_us = 0.0
        self._member_count = member_count
        self._promised_until_us = [0] * member_count
        self._at_us = now

    def advance(self, now: int) -> float:
        """Extend the integral `used_us` to now, and return it."""
        if now > self._at_us:
            # A promise that has ended by now counts as ended for the whole span: the error can only make the
            # leader lend less.
            in_use = sum(until_us < now for until_us in self._promised_until_us)
            self.used_us += (now - self._at_us) * in_use / self._member_count
            self._at_us = now
        return self.used_us

    def update_promises(self, now: int, promised_until_us: list[int]) -> None:
        """Replace the times until which the members have promised, in the order of the members."""
        self.advance(now)
        self._promised_until_us = list(promised_until_us)

    def fraction_in_use(self, at_us: int) -> float:
        """Return the share of members, 0 to 1, whose promises end before `at_us`."""
        return sum(until_us < at_us for until_us in self._promised_until_us) / self._member_count
