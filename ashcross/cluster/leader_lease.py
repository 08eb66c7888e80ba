"""Leader election: a lease granted by the promises of a majority, without a disk or a common clock.

The algorithm follows PaxosLease (Trencseni, Gazso, Reinhardt 2012; arXiv 1209.4187) and Gray and Cheriton's
leases (1989). The difference: members do not send their promises to the candidate, gossip merges them. The
promises of a round are a set; merging is set union, so order and repetition do not matter, and the number of
messages that one process sends does not grow with the cluster.

A process that sees a round for the first time joins it: it promises, for the length of a lease from then on,
not to join a round of another candidate and not to use its offline allowance. The leader counts its lease
from before the round began, so the lease ends before any promise behind it does. The proof that no two
leaders hold a lease at the same instant is in docs/cluster.md, "One leader".
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from ashcross.cluster import peer_set
from ashcross.cluster.clock_rates import guaranteed_us
from ashcross.cluster.messages import Ballot, LeaseKey
from ashcross.cluster.peer_set import NO_PEERS, PeerSet
from ashcross.cluster.settings import LocalMember
from ashcross.cluster.transitions import check_transition

# A new round begins a lease / 8 after the last one at the earliest, if all live members have joined that one,
# and a lease / 3 after it at the earliest, if only a majority has.
MAX_ROUNDS_PER_LEASE = 8
MAJORITY_ROUNDS_PER_LEASE = 3
MIN_LEASE_PERIODS = 8  # health check periods in the shortest lease: gossip spreads a round within a lease
NO_CANDIDACY = LeaseKey(0, 0, 0)  # the key of a process that has not received a ballot yet
LONG_AGO_US = -(1 << 62)  # before any time of any clock


class LeaseRole(Enum):
    """The role of a process in the election."""

    FOLLOWER = "follower"  # passes on the rounds of another candidate, or has not seen a round
    CANDIDATE = "candidate"  # has begun rounds of its own
    LEADER = "leader"  # a majority has promised in one of its rounds, and its lease lasts


LEGAL_TRANSITIONS: dict[LeaseRole, frozenset[LeaseRole]] = {
    LeaseRole.FOLLOWER: frozenset((LeaseRole.CANDIDATE,)),
    LeaseRole.CANDIDATE: frozenset((LeaseRole.LEADER, LeaseRole.FOLLOWER)),
    LeaseRole.LEADER: frozenset((LeaseRole.CANDIDATE, LeaseRole.FOLLOWER)),
}


@dataclass(frozen=True, slots=True)
class OwnRound:
    """The newest round that this process began; `began_us` is before any promise in it."""

    number: int
    began_us: int


class SeenRound(NamedTuple):
    """The newest round received from one candidate: its process, candidacy number and round number."""

    incarnation_id: int
    number: int
    round: int


NO_ROUND_SEEN = SeenRound(0, 0, 0)


class LeaderLease:
    """The promises that one process has made, and its own lease while it is the leader.

    `lease_us` is the length of a lease and of a promise, the same on all members. `random_source` spreads
    the times at which members become candidates.
    """

    def __init__(self, member: LocalMember, lease_us: int, now: int, random_source: random.Random) -> None:
        self.member = member
        self.lease_us = lease_us
        self.role = LeaseRole.FOLLOWER
        self._random = random_source
        # An earlier process of this member may have promised just before it ended: nothing is promised, and
        # the offline allowance is not used, until such a promise would have ended.
        self.no_promise_before_us = now + lease_us
        self.promised_until_us = self.no_promise_before_us
        self.promised_to: LeaseKey | None = None
        self.key = NO_CANDIDACY  # the candidacy whose round is passed on
        self.round = 0  # the round that is passed on; counts the rounds of its candidacy from 1
        self.promises: PeerSet = NO_PEERS  # members known to have promised in that round
        self.highest_number = 0  # of all candidacies received; an own candidacy takes the next number
        self.lease_until_us = 0  # when the own lease ends; 0 without one
        # by member: the end of its promise to this process as candidate or leader, on this process's clock
        self.member_promised_until_us = [0] * member.count
        self._own_round: OwnRound | None = None
        self._no_candidacy_before_us = self.no_promise_before_us
        self._newest_rounds: dict[int, SeenRound] = {}  # by the candidate's member number
        self._other_round_seen_us = LONG_AGO_US  # when a new round of another member was last received

    @property
    def position(self) -> tuple[LeaseKey, int]:
        """The candidacy and the round that this process passes on now."""
        return self.key, self.round

    def ballot(self) -> Ballot | None:
        """Return the round to pass on, with the promises known in it; None before any round is known."""
        if self.key == NO_CANDIDACY:
            return None
        promises = peer_set.to_bytes(self.promises, self.member.count)
        return Ballot(self.key.number, self.key.leader, self.key.incarnation_id, self.round, promises)

    def receive_ballot(self, now: int, ballot: Ballot) -> None:
        """Merge a ballot that another member passes on; join its round where no promise forbids that."""
        if not self._is_valid(ballot):
            return
        key = ballot.key
        self.highest_number = max(self.highest_number, key.number)
        is_newest_round = self._note_round(now, ballot)
        if key == self.key and ballot.round == self.round:
            self.promises |= peer_set.from_bytes(ballot.promises)
        elif (
            not is_newest_round
            or self._is_superseded(key, ballot.round)
            or self._promised_to_another(now, key)
        ):
            # A datagram may be delayed: a round that is not its candidate's newest may be over already.
            return
        else:
            self._adopt(key, ballot)
        self._join_round(now)
        self._count_promises()

    def _is_valid(self, ballot: Ballot) -> bool:
        if not 0 <= ballot.leader < self.member.count:
            return False
        if ballot.number < 1 or ballot.round < 1:
            return False
        return peer_set.from_bytes(ballot.promises) >> self.member.count == NO_PEERS

    def _note_round(self, now: int, ballot: Ballot) -> bool:
        """Record the round of a ballot; return whether it is newer than all others of its candidate.

        A new round shows that its candidate runs and that its messages reach other members.
        """
        seen = self._newest_rounds.get(ballot.leader, NO_ROUND_SEEN)
        is_same_process = seen.incarnation_id == ballot.incarnation_id
        if is_same_process and (ballot.number, ballot.round) <= (seen.number, seen.round):
            return False
        self._newest_rounds[ballot.leader] = SeenRound(ballot.incarnation_id, ballot.number, ballot.round)
        if ballot.leader != self.member.number:
            self._other_round_seen_us = now
        return True

    def _is_superseded(self, key: LeaseKey, number: int) -> bool:
        """Return whether this is an older round of the process whose round is passed on now."""
        if key.candidate != self.key.candidate:
            return False
        return (key.number, number) < (self.key.number, self.round)

    def _promised_to_another(self, now: int, key: LeaseKey) -> bool:
        """Return whether an active promise was made to another process than the candidate of `key`.

        Candidacy numbers are not compared: a promise binds to a process, whatever number it uses.
        """
        if self.promised_to is None or self.promised_to.candidate == key.candidate:
            return False
        return self.has_active_promise(now)

    def _adopt(self, key: LeaseKey, ballot: Ballot) -> None:
        """Pass this round on from now on; an own candidacy ends if the round belongs to another one."""
        if key != self.key:
            self._own_round = None
            self._become(LeaseRole.FOLLOWER)
        self.key = key
        self.round = ballot.round
        self.promises = peer_set.from_bytes(ballot.promises)

    def _join_round(self, now: int) -> None:
        """Promise in the round, once; the promise lasts a lease from now, which is after the round began."""
        if now < self.no_promise_before_us or peer_set.contains(self.promises, self.member.number):
            return
        if self._is_own_candidacy() and self._own_round_began_us() is None:
            return  # The leader's lease needs the time at which the round began, and that is not known here.
        self.promises |= peer_set.singleton(self.member.number)
        self.promised_to = self.key
        self.promised_until_us = now + self.lease_us

    def _become(self, role: LeaseRole) -> None:
        if role is self.role:
            return
        check_transition("leader lease", LEGAL_TRANSITIONS, self.role, role)
        self.role = role

    def _is_own_candidacy(self) -> bool:
        return self.key.candidate == (self.member.number, self.member.incarnation_id)

    def _own_round_began_us(self) -> int | None:
        """Return when the round that is passed on began; None unless this process began it."""
        if self._own_round is None or self._own_round.number != self.round:
            return None
        return self._own_round.began_us

    def _count_promises(self) -> None:
        """Record until when members have promised in an own round; a majority of them extends the lease."""
        began_us = self._own_round_began_us()
        if began_us is None:
            return
        until_us = began_us + guaranteed_us(self.lease_us)
        for number in peer_set.member_numbers(self.promises):
            promised_us = self.member_promised_until_us[number]
            self.member_promised_until_us[number] = max(promised_us, until_us)
        if peer_set.is_majority(self.promises, self.member.count):
            self._extend_lease(until_us)

    def _extend_lease(self, until_us: int) -> None:
        self.lease_until_us = max(self.lease_until_us, until_us)
        self._become(LeaseRole.LEADER)

    def is_leader(self, now: int) -> bool:
        """Return whether this process certainly is the leader at this instant."""
        return self.role is LeaseRole.LEADER and now < self.lease_until_us

    def has_active_promise(self, now: int) -> bool:
        """Return whether a promise of this process has not ended yet.

        The offline allowance must not be used until it has: the leader lends those tokens meanwhile.
        """
        return now < self.promised_until_us

    def on_timer(self, now: int, live: PeerSet, is_first: bool) -> None:
        """Begin the next round of an own candidacy, or a candidacy, if one of them is due.

        `live` is the set of live members. `is_first` says that this process has the lowest number of them and
        is not shutting down: only that member becomes a candidate, so that candidacies seldom compete.
        """
        if self.role is LeaseRole.LEADER and not self.is_leader(now):
            self._become(LeaseRole.CANDIDATE)
        if self.role is not LeaseRole.FOLLOWER and self.has_active_promise(now):
            if self._next_round_is_due(now, live):
                self._begin_round(now, self.round + 1)
        elif is_first and self._may_start_candidacy(now, live):
            self._start_candidacy(now)

    def _next_round_is_due(self, now: int, live: PeerSet) -> bool:
        began_us = self._own_round_began_us()
        age_us = now - began_us if began_us is not None else 0
        if peer_set.is_subset(live, self.promises) and age_us >= self.lease_us // MAX_ROUNDS_PER_LEASE:
            return True
        has_majority = peer_set.is_majority(self.promises, self.member.count)
        if has_majority and age_us >= self.lease_us // MAJORITY_ROUNDS_PER_LEASE:
            return True
        # The last round has no majority yet. A new round discards its promises, so one begins only if 3/4 of
        # a lease have passed and the present lease, which still lasts, would end otherwise.
        return age_us >= 3 * self.lease_us // 4 and now < self.lease_until_us

    def _may_start_candidacy(self, now: int, live: PeerSet) -> bool:
        if self.has_active_promise(now) or now < self._no_candidacy_before_us:
            return False
        if not peer_set.is_majority(live, self.member.count):
            return False
        # While another candidate still begins rounds, this process joins its next round instead.
        return now - self._other_round_seen_us >= self.lease_us // 2

    def _start_candidacy(self, now: int) -> None:
        # Several members may become candidates at the same time. Each waits a random time after a failure, so
        # that they do not compete again.
        self._no_candidacy_before_us = now + self.lease_us + int(self._random.random() * self.lease_us)
        self._become(LeaseRole.CANDIDATE)
        self.highest_number += 1
        self.key = LeaseKey(self.highest_number, self.member.number, self.member.incarnation_id)
        self.member_promised_until_us = [0] * self.member.count
        self.lease_until_us = 0
        self._begin_round(now, 1)

    def _begin_round(self, now: int, number: int) -> None:
        self.round = number
        self.promises = NO_PEERS
        self._own_round = OwnRound(number, now)
        self._join_round(now)
        self._count_promises()

    def resign(self) -> None:
        """Give up an own candidacy or lease; the promises made to this process end with their time."""
        if self._is_own_candidacy():
            self.lease_until_us = 0
            self._own_round = None
            self._become(LeaseRole.FOLLOWER)
