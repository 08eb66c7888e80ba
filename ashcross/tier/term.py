"""One steward at a time: a lease by the promises of a majority, without a disk and without a common clock.

After PaxosLease (Trencseni, Gazso, Reinhardt 2012; arXiv 1209.4187) and Gray and Cheriton's leases (1989),
with votes that are merged in gossip in place of being sent to the candidate: a round's promises are a set of
bits, any order and any repeat of their unions gives the same set, and no process sends more in a larger
fleet.

Who sees a round for the first time sets its bit and promises, for a lease from then on, to set none for
another steward and not to touch its apart part (docs/tier.md). The steward counts the lease from before the
round began. The proof that no two stewards hold at one instant is in docs/tier.md, "One steward".
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from ashcross.tier.messages import Ballot
from ashcross.tier.rates import surely_us

ROUNDS = 8  # rounds in a lease at most
PATIENCE = 3  # a round that not all have joined ends after a lease through this
Key = tuple[int, int, int]  # number, steward, its process


@dataclass(frozen=True, slots=True)
class Standing:
    """What a process may do by its term now."""

    steward: Key | None  # whom it has promised, None without a promise that stands
    mine: bool  # is that this process, with a majority
    until_us: int  # and how long


def bits_of(data: bytes) -> int:
    """The set of members of a ballot, as a whole number."""
    return int.from_bytes(data, "little")


class Term:
    """The promises of one process, and its own lease where it is the steward.

    `me` and `count` number the listed members, `life` this process; `lease_us` is alike in the whole fleet.
    """

    def __init__(self, me: int, life: int, count: int, lease_us: int, now: int, draw: random.Random) -> None:
        self.me, self.life, self.count, self.lease_us = me, life, count, lease_us
        self._draw = draw
        # an earlier process of this name may have promised just before: nothing is promised anew until that
        # is over
        self.fresh_until_us = now + lease_us
        self.promised_until_us = self.fresh_until_us
        self.promised: Key | None = None
        self.key: Key = (0, 0, 0)
        self.round, self.bits = 0, 0
        self.highest = 0
        self.lease_until_us = 0
        self.pledged_until_us = [0] * count  # the steward's: how long each has promised to leave its part
        self._began_us: dict[int, int] = {}  # of the own rounds that may still bring promises
        self._stand_us = self.fresh_until_us
        self._bytes = (count + 7) // 8

    # ------------------------------------------------------------- gossip

    def ballot(self) -> Ballot | None:
        """What is passed on; None before the first ballot was heard of."""
        if not self.key[0]:
            return None
        return Ballot(*self.key, self.round, self.bits.to_bytes(self._bytes, "little"))

    def hear(self, now: int, ballot: Ballot) -> None:
        """Take in what somebody passes on."""
        key, bits = (ballot.number, ballot.steward, ballot.life), bits_of(ballot.bits)
        if not 0 <= ballot.steward < self.count or bits >> self.count or ballot.number < 1:
            return
        self.highest = max(self.highest, ballot.number)
        if key < self.key or self.promised not in (None, key) and now < self.promised_until_us:
            return  # an old one, or a promise to another stands: not even passed on
        if key != self.key:
            self.key, self.round, self.bits = key, ballot.round, bits
            self._began_us.clear()
        elif ballot.round > self.round:
            self.round, self.bits = ballot.round, bits
        elif ballot.round == self.round:
            self.bits |= bits
        else:
            return
        self._join(now)
        self._count(now)

    def _join(self, now: int) -> None:
        """Promise in the round, once; the promise is counted from now, which is after the round began."""
        bit = 1 << self.me
        if now < self.fresh_until_us or self.bits & bit:
            return
        if (self.key[1], self.key[2]) == (self.me, self.life) and self.round not in self._began_us:
            return  # an own round that this process does not remember: never
        self.bits |= bit
        self.promised, self.promised_until_us = self.key, now + self.lease_us

    # ------------------------------------------------------------ steward

    def _count(self, now: int) -> None:
        """The steward's: what the promises of its round are worth."""
        began_us = self._began_us.get(self.round)
        if began_us is None or not self._is_mine():
            return
        until_us = began_us + surely_us(self.lease_us)
        left, member = self.bits, 0
        while left:
            if left & 1 and self.pledged_until_us[member] < until_us:
                self.pledged_until_us[member] = until_us
            left, member = left >> 1, member + 1
        if 2 * self.bits.bit_count() > self.count:
            self.lease_until_us = max(self.lease_until_us, until_us)

    def _is_mine(self) -> bool:
        return (self.key[1], self.key[2]) == (self.me, self.life)

    def holds(self, now: int) -> bool:
        """Is this process the steward, surely and at this instant?"""
        return self._is_mine() and now < self.lease_until_us

    def free(self, now: int) -> bool:
        """Does no promise of this process stand? Only then it may use its apart part."""
        return now >= self.promised_until_us

    def standing(self, now: int) -> Standing:
        """What this process may do now."""
        if self.free(now):
            return Standing(None, False, 0)
        return Standing(self.promised, self.holds(now), self.lease_until_us if self.holds(now) else 0)

    def tick(self, now: int, live: int, first: bool) -> None:
        """Begin rounds, or stand for steward. `live` are the members heard of as bits.

        `first` of them is this one.
        """
        if self._is_mine() and self._began_us and not self.free(now):
            began_us = self._began_us.get(self.round, now)
            age_us = now - began_us
            joined = not live & ~self.bits
            due = age_us >= self.lease_us // PATIENCE or joined and age_us >= self.lease_us // ROUNDS
            # a candidate that a lease brought no majority stands back
            if due and (now < self.lease_until_us or self.round < PATIENCE):
                self._begin(now, self.round + 1)
            return
        if not first or not self.free(now) or now < self._stand_us or 2 * live.bit_count() <= self.count:
            return
        # others may stand at the same time: who fails waits for a while that is its own
        self._stand_us = now + self.lease_us + int(self._draw.random() * self.lease_us)
        self.highest += 1
        self.key, self.bits = (self.highest, self.me, self.life), 0
        self._began_us.clear()
        self.pledged_until_us = [0] * self.count
        self.lease_until_us = 0
        self._begin(now, 1)

    def _begin(self, now: int, number: int) -> None:
        self.round, self.bits = number, 0
        self._began_us = {number: now}
        self._join(now)
        self._count(now)

    def resign(self, now: int) -> None:
        """The steward ends: it lends nothing more. The promises to it end by themselves."""
        if self._is_mine():
            self.lease_until_us = 0
            self._began_us.clear()
