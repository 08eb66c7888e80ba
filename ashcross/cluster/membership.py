"""Membership: what one process knows of each listed member, after SWIM with the suspicion of Lifeguard.

SWIM: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002). Lifeguard: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate
Failure Detection" (2018). Differences: members are listed and never join by themselves. A process differs
from an earlier process of the same member by its `incarnation_id`, a random number. It learns its incarnation
number from what the other members still know of the earlier process: the number has to be higher than theirs.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from math import ceil, log10

from ashcross.cluster import peer_set
from ashcross.cluster.messages import MemberUpdate
from ashcross.cluster.peer_set import NO_PEERS, PeerSet
from ashcross.cluster.settings import LocalMember

SUSPICION_PERIODS = 4.0  # shortest suspicion in periods, times the decimal logarithm of the member count
MAX_CONFIRMATIONS = 3  # confirmations by others that shorten a suspicion fully (Lifeguard, LHA-Suspicion)
MAX_SUSPICION_FACTOR = 3.0  # length of a suspicion without confirmations, relative to the shortest
MAX_LOCAL_HEALTH = 8  # upper bound of the local health multiplier (Lifeguard, LHA-Probe)
RETRANSMISSIONS = 3.0  # transmissions of an update, times the decimal logarithm of the member count
FLAP_MEMORY_US = 30_000_000  # a member that was dead for longer has its count of failures reset
# failures counted at most; after 1 to 5 of them a returned member counts as live after 0, 2, 6, 14 or 30
# health check periods (2**failures - 2)
MAX_FLAPS = 5


class MemberState(IntEnum):
    """The state of a member as another process knows it; the numbers are sent in datagrams."""

    UNSEEN = 0  # nothing was heard of it yet
    ALIVE = 1
    SUSPECT = 2  # a health check failed; dead unless it refutes the suspicion in time
    DEAD = 3
    LEFT = 4  # it has shut down


# The legal transitions within one incarnation of a process. A newer incarnation may begin in any state.
LEGAL_TRANSITIONS: dict[MemberState, frozenset[MemberState]] = {
    MemberState.UNSEEN: frozenset(
        (MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)
    ),
    MemberState.ALIVE: frozenset((MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)),
    MemberState.SUSPECT: frozenset((MemberState.DEAD, MemberState.LEFT)),
    MemberState.DEAD: frozenset((MemberState.LEFT,)),
    MemberState.LEFT: frozenset(),
}
KNOWN_STATES = frozenset(MemberState)
LIVE_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT))


@dataclass(eq=False, slots=True)
class Member:
    """One listed member as this process knows it."""

    number: int  # its position in the list of members, from 0
    state: MemberState = MemberState.UNSEEN
    incarnation_id: int = 0  # the random number of its process
    incarnation_number: int = 0  # orders the states of its processes: a higher one overrides a lower one
    state_since_us: int = 0
    suspect_until_us: int = 0  # when it is dead unless the suspicion is refuted; valid while suspected
    confirmations: int = 0  # suspicions by others that were received since it is suspected
    failures: int = 0  # returns within `FLAP_MEMORY_US` of being declared dead, up to `MAX_FLAPS`
    live_from_us: int = 0  # a flapping member counts as live from this time on


class Membership:
    """The states of all listed members as one process knows them.

    Messages, gossip and failed health checks change them. `period_us` is the time between two health checks.
    """

    def __init__(self, local: LocalMember, period_us: int, now: int) -> None:
        self.local = local
        self.period_us = period_us
        # Number of this process, from 1. It is raised above the number of any update that calls this process
        # suspect, dead or left, or that is of an earlier process of this member, so that its own ALIVE wins.
        self.incarnation_number = 1
        self.members = [Member(number, state_since_us=now) for number in range(local.count)]
        self.members[local.number].state = MemberState.ALIVE
        self.members[local.number].incarnation_id = local.incarnation_id
        # 0: healthy; the higher, up to MAX_LOCAL_HEALTH, the slower or more isolated this process itself is
        self.local_health = 0
        self._log_count = max(1.0, log10(local.count + 1))
        # by number of a member whose state is being gossiped: how often it has been sent
        self._transmissions: dict[int, int] = {}
        self._queue_update(local.number)

    def live_members(self, now: int) -> PeerSet:
        """Return the members that count as live: this one, and those alive or suspected that do not flap."""
        live = NO_PEERS
        for member in self.members:
            if member.state in LIVE_STATES and now >= member.live_from_us:
                live |= peer_set.singleton(member.number)
        return live

    def known_state(self, number: int) -> MemberUpdate | None:
        """Return what is known of a member, so that it can refute it; None if nothing is known."""
        if self.members[number].state is MemberState.UNSEEN:
            return None
        return self._update_on(number)

    def next_updates(self, maximum: int) -> tuple[MemberUpdate, ...]:
        """Return at most `maximum` updates to send: those sent least often, up to a limit for each."""
        chosen = sorted(self._transmissions, key=lambda number: self._transmissions[number])[:maximum]
        limit = ceil(RETRANSMISSIONS * self._log_count)
        for number in chosen:
            self._transmissions[number] += 1
            if self._transmissions[number] >= limit:
                del self._transmissions[number]
        return tuple(self._update_on(number) for number in chosen)

    def _update_on(self, number: int) -> MemberUpdate:
        if number == self.local.number:
            return MemberUpdate(number, MemberState.ALIVE, self.local.incarnation_id, self.incarnation_number)
        member = self.members[number]
        return MemberUpdate(number, member.state, member.incarnation_id, member.incarnation_number)

    def _queue_update(self, number: int) -> None:
        self._transmissions[number] = 0

    def message_received(self, now: int, number: int, incarnation_id: int, incarnation_number: int) -> bool:
        """Record that a member has sent a message, which shows that it is alive.

        Return False if the sender is an earlier process of that member, or a new one that does not know yet
        of the earlier one and has too low an incarnation number.
        """
        member = self.members[number]
        if number == self.local.number:
            return False
        known = (member.incarnation_number, member.incarnation_id)
        is_known = (incarnation_number, incarnation_id) == known
        if not is_known and incarnation_number <= member.incarnation_number:
            return False
        self.apply_update(now, MemberUpdate(number, MemberState.ALIVE, incarnation_id, incarnation_number))
        return True

    def apply_update(self, now: int, update: MemberUpdate) -> None:
        """Apply an update about a member, unless it is invalid or older than what is known."""
        if not 0 <= update.member < self.local.count or update.state not in KNOWN_STATES:
            return
        state = MemberState(update.state)
        if update.member == self.local.number:
            self._refute(update, state)
            return
        member = self.members[update.member]
        is_newer = update.incarnation_number > member.incarnation_number
        is_same_number = update.incarnation_number == member.incarnation_number
        is_same = is_same_number and update.incarnation_id == member.incarnation_id
        if is_same and state is MemberState.SUSPECT and member.state is MemberState.SUSPECT:
            self._confirm_suspicion(member)
        if is_newer or is_same and state in LEGAL_TRANSITIONS[member.state]:
            self._set_state(now, member, state)
            member.incarnation_id = update.incarnation_id
            member.incarnation_number = update.incarnation_number

    def _refute(self, update: MemberUpdate, state: MemberState) -> None:
        """Raise the incarnation number, if needed, to override an update about this member that is wrong.

        The update may hold another state than alive, or be about an earlier process of this member.
        """
        is_own = update.incarnation_id == self.local.incarnation_id
        if is_own and state is MemberState.ALIVE or update.incarnation_number < self.incarnation_number:
            return
        self.incarnation_number = update.incarnation_number + 1
        self._queue_update(self.local.number)
        if is_own and state is MemberState.SUSPECT:
            self.record_local_fault()  # The cause may be that this process answers too slowly.

    def _set_state(self, now: int, member: Member, state: MemberState) -> None:
        before = member.state
        member.state = state
        if state is MemberState.ALIVE and before is MemberState.DEAD:
            self._delay_return(now, member)
        if before is not state:
            member.state_since_us = now
        if state is MemberState.SUSPECT:
            member.confirmations = 0
            member.suspect_until_us = now + self._suspicion_us(0)
        self._queue_update(member.number)

    def _delay_return(self, now: int, member: Member) -> None:
        """Delay when a returned member counts as live: 0, 2, 6, 14 and 30 periods after 1 to 5 failures.

        Otherwise, at each return, a flapping member could become a candidate, or the next round of the leader
        would wait for its promise.
        """
        was_dead_long = now - member.state_since_us > FLAP_MEMORY_US
        member.failures = 1 if was_dead_long else min(MAX_FLAPS, member.failures + 1)
        member.live_from_us = now + (2**member.failures - 2) * self.period_us

    def suspect(self, now: int, number: int) -> None:
        """Suspect a member whose health check has failed, if it is alive."""
        member = self.members[number]
        if member.state is MemberState.ALIVE:
            self._set_state(now, member, MemberState.SUSPECT)

    def expire_suspicions(self, now: int) -> None:
        """Set members to dead whose suspicion was not refuted in time."""
        for member in self.members:
            if member.state is MemberState.SUSPECT and now >= member.suspect_until_us:
                self._set_state(now, member, MemberState.DEAD)

    def _suspicion_us(self, confirmations: int) -> int:
        """Return how long a suspicion lasts, after Lifeguard.

        It is shorter the more members confirm it, and longer the slower this process itself is.
        """
        shortest_us = SUSPICION_PERIODS * self._log_count * self.period_us * (1 + self.local_health)
        progress = log10(confirmations + 1) / log10(MAX_CONFIRMATIONS + 1)
        longest_us = MAX_SUSPICION_FACTOR * shortest_us
        return int(max(shortest_us, longest_us - (MAX_SUSPICION_FACTOR - 1.0) * shortest_us * progress))

    def _confirm_suspicion(self, member: Member) -> None:
        if member.confirmations >= MAX_CONFIRMATIONS:
            return
        member.confirmations += 1
        until_us = member.state_since_us + self._suspicion_us(member.confirmations)
        member.suspect_until_us = min(member.suspect_until_us, until_us)
        self._queue_update(member.number)

    def record_local_fault(self) -> None:
        """Record that this process may be slow: its health checks and suspicions last longer."""
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)

    def record_local_success(self) -> None:
        """Record that a health check was answered in time."""
        self.local_health = max(0, self.local_health - 1)

    def record_standstill(self, now: int) -> None:
        """Record that this process did not run for a while.

        It could not receive answers meanwhile, so members that it suspects get a new, long time to refute.
        """
        self.local_health = MAX_LOCAL_HEALTH
        for member in self.members:
            if member.state is MemberState.SUSPECT:
                until_us = now + self._suspicion_us(0)
                member.suspect_until_us = max(member.suspect_until_us, until_us)
