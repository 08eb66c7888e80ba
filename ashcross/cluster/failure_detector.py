"""Health checks of the members in turn, direct and indirect: the probes of SWIM, timed as in Lifeguard."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ashcross.cluster.membership import Membership, MemberState

INDIRECT_CHECKERS = 3  # members that are asked to ping a member on behalf of this process
STANDSTILL_PERIODS = 4  # periods without a timer event after which this process counts as having stood still


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """A ping to send: directly to a member, or through helpers if there are any."""

    member: int  # the number of the member to check
    seq: int  # the number of the check, which its answer repeats
    helpers: tuple[int, ...] = ()  # the members that are to ping on behalf of this process


@dataclass(eq=False, slots=True)
class PendingCheck:
    """The health check that is under way."""

    member: int
    seq: int
    began_us: int
    helpers_requested: bool = False  # whether the indirect check was begun, with helpers or for lack of them
    answered: bool = False


class FailureDetector:
    """Checks one member in each period; `on_timer` is to be called several times a period."""

    def __init__(self, membership: Membership, now: int, random_source: random.Random) -> None:
        self.standstills = 0  # how often this process stood still
        self._membership = membership
        self._random = random_source
        self._order: list[int] = []
        self._seq = 0
        self._pending: PendingCheck | None = None
        self._timer_us = now

    def ack_received(self, seq: int, target: int) -> None:
        """Record an answer, direct or relayed, to the health check with this number."""
        pending = self._pending
        if pending is None or seq != pending.seq or target != pending.member:
            return
        if not pending.answered:
            self._membership.record_local_success()
        pending.answered = True

    def on_timer(self, now: int) -> HealthCheck | None:
        """End suspicions and checks whose time is up; return the ping to send now, if any."""
        self._detect_standstill(now)
        self._membership.expire_suspicions(now)
        if self._pending is not None:
            indirect = self._advance(now, self._pending)
            if self._pending is not None:
                return indirect
        return self._begin_next(now)

    def _detect_standstill(self, now: int) -> None:
        span_us = now - self._timer_us
        self._timer_us = now
        if span_us > STANDSTILL_PERIODS * self._membership.period_us:
            self.standstills += 1
            self._pending = None
            self._membership.record_standstill(now)

    def _advance(self, now: int, pending: PendingCheck) -> HealthCheck | None:
        """End the pending check if its time is up, or return its indirect check when that is due.

        The time is one period, and longer if this process itself is slow or isolated.
        """
        age_us = now - pending.began_us
        period_us = self._membership.period_us
        timeout_periods = 1 + self._membership.local_health / 2
        if age_us >= period_us * timeout_periods:
            if not pending.answered:
                self._membership.record_local_fault()
                self._membership.suspect(now, pending.member)
            self._pending = None
        elif pending.answered and age_us >= period_us:
            self._pending = None
        elif (
            not pending.answered
            and not pending.helpers_requested
            and age_us >= period_us * timeout_periods / 3
        ):
            return self._check_indirectly(pending)
        return None

    def _check_indirectly(self, pending: PendingCheck) -> HealthCheck | None:
        pending.helpers_requested = True
        excluded = (self._membership.local.number, pending.member)
        others = [
            member.number
            for member in self._membership.members
            if member.state is MemberState.ALIVE and member.number not in excluded
        ]
        helpers = self._random.sample(others, min(INDIRECT_CHECKERS, len(others)))
        if not helpers:
            return None
        return HealthCheck(pending.member, pending.seq, tuple(helpers))

    def _begin_next(self, now: int) -> HealthCheck | None:
        target = self._next_member()
        if target is None:
            return None
        self._seq += 1
        self._pending = PendingCheck(target, self._seq, now)
        return HealthCheck(target, self._seq)

    def _next_member(self) -> int | None:
        """Return the next member to check, or None if there is no other member.

        Each other member comes once per shuffled round.

        Dead and unseen members are checked as well, so that the cluster joins again after a partition.
        """
        for _ in range(2):
            while self._order:
                number = self._order.pop()
                if number != self._membership.local.number:
                    return number
            self._order = list(range(self._membership.local.count))
            self._random.shuffle(self._order)
        return None
