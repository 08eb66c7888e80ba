"""What one process holds of each listed member: states of SWIM, spread by gossip, with Lifeguard's suspicion.

SWIM: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002). Lifeguard: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate
Failure Detection" (2018). Differences: members are listed and never join by themselves; a process is told
from an earlier one of its name by `incarnation_id`, a random number, and gets its incarnation number from
what the others still hold of the earlier one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from math import ceil, log10

from ashcross.cluster import peer_set
from ashcross.cluster.messages import MemberUpdate
from ashcross.cluster.peer_set import NO_PEERS, PeerSet
from ashcross.cluster.settings import LocalMember

SUSPICION_PERIODS = 4.0  # the shortest suspicion, times the decimal logarithm of the member count
MAX_CONFIRMATIONS = 3  # suspicions by others that bring it to its shortest (Lifeguard, LHA-Suspicion)
MAX_SUSPICION_FACTOR = 3.0  # a suspicion that nobody else shares, in shortest ones
MAX_LOCAL_HEALTH = 8  # of the local health multiplier (Lifeguard, LHA-Probe)
RETRANSMISSIONS = 3.0  # of an update, times the decimal logarithm of the member count
FLAP_MEMORY_US = 30_000_000  # a member that came back keeps its count of failures for so long
MAX_FLAPS = 5  # doublings of the wait after which a flapping member counts as live again


class MemberState(IntEnum):
    """What is held of a member; the numbers are the wire's."""

    UNSEEN = 0
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


# Legal transitions within one incarnation of a process; a newer incarnation begins with any state.
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

    number: int
    state: MemberState = MemberState.UNSEEN
    incarnation_id: int = 0
    incarnation_number: int = 0
    state_since_us: int = 0
    suspect_until_us: int = 0
    confirmations: int = 0
    failures: int = 0
    live_from_us: int = 0  # a flapping member counts as live from then on


class Membership:
    """The list of members of one process; messages, gossip and failed health checks change it."""

    def __init__(self, local: LocalMember, period_us: int, now: int) -> None:
        self.local = local
        self.period_us = period_us
        self.incarnation_number = 1
        self.members = [Member(number, state_since_us=now) for number in range(local.count)]
        self.members[local.number].state = MemberState.ALIVE
        self.members[local.number].incarnation_id = local.incarnation_id
        self.local_health = 0  # 0: healthy; up to MAX_LOCAL_HEALTH: this process itself is slow or isolated
        self._log_count = max(1.0, log10(local.count + 1))
        self._transmissions: dict[int, int] = {}  # by member whose state is gossiped: how often it was
        self._queue_update(local.number)

    # ------------------------------------------------------------- queries

    def live_members(self, now: int) -> PeerSet:
        """Members that count as live: alive or only suspected, and this one; not those that flap."""
        live = NO_PEERS
        for member in self.members:
            if member.state in LIVE_STATES and now >= member.live_from_us:
                live |= peer_set.singleton(member.number)
        return live

    def known_state(self, number: int) -> MemberUpdate | None:
        """What is held of a member, for itself to refute; None if nothing."""
        if self.members[number].state is MemberState.UNSEEN:
            return None
        return self._update_on(number)

    # ------------------------------------------------------------- gossip

    def next_updates(self, maximum: int) -> tuple[MemberUpdate, ...]:
        """What is passed on next: the updates sent least often, each until it was sent often enough."""
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
        """A member has sent something itself.

        False if the sender is an earlier process of it, or one that has not yet learnt of the earlier one.
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
        """Take in what is said of a member."""
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
        """Others hold something else of this process, or something of an earlier one.

        A higher incarnation number overrides it.
        """
        is_own = update.incarnation_id == self.local.incarnation_id
        if is_own and state is MemberState.ALIVE or update.incarnation_number < self.incarnation_number:
            return
        self.incarnation_number = update.incarnation_number + 1
        self._queue_update(self.local.number)
        if is_own and state is MemberState.SUSPECT:
            self.record_local_fault()  # a suspected process may be the slow one

    # ------------------------------------------------------------- states

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
        """The wait of a flapping member doubles: what it is given at once would be torn down again."""
        was_stable = now - member.state_since_us > FLAP_MEMORY_US
        member.failures = 1 if was_stable else min(MAX_FLAPS, member.failures + 1)
        member.live_from_us = now + (2**member.failures - 2) * self.period_us

    def suspect(self, now: int, number: int) -> None:
        """A health check of a member has failed: it is suspected if it counted as alive."""
        member = self.members[number]
        if member.state is MemberState.ALIVE:
            self._set_state(now, member, MemberState.SUSPECT)

    def expire_suspicions(self, now: int) -> None:
        """Members whose suspicion nobody has refuted in time are dead."""
        for member in self.members:
            if member.state is MemberState.SUSPECT and now >= member.suspect_until_us:
                self._set_state(now, member, MemberState.DEAD)

    def _suspicion_us(self, confirmations: int) -> int:
        """Lifeguard: shorter as others confirm, longer for a process that is slow itself."""
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

    # ------------------------------------------------------------- local health

    def record_local_fault(self) -> None:
        """This process may be slow: its health checks and suspicions last longer."""
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)

    def record_local_success(self) -> None:
        """A health check was answered in time."""
        self.local_health = max(0, self.local_health - 1)

    def record_standstill(self, now: int) -> None:
        """This process was stopped: what it did not receive meanwhile is nobody else's failure."""
        self.local_health = MAX_LOCAL_HEALTH
        for member in self.members:
            if member.state is MemberState.SUSPECT:
                until_us = now + self._suspicion_us(0)
                member.suspect_until_us = max(member.suspect_until_us, until_us)
