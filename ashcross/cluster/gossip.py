"""Gossip: the states of members and the round of the leader lease, in the header of each message."""

from __future__ import annotations

import random

from ashcross.cluster import peer_set
from ashcross.cluster.actions import ConfigurationMismatch, Outbox
from ashcross.cluster.counters import NodeCounters
from ashcross.cluster.leader_lease import LeaderLease
from ashcross.cluster.membership import Membership
from ashcross.cluster.messages import Header, RoundNotice
from ashcross.cluster.settings import NodeSettings

# queued updates in one header, beside which a datagram has room for the promises of 1,024 members; one update
# about the receiver may come on top
MAX_UPDATES = 24
ROUND_FANOUT = 2  # members to which a process that adopts a new round sends it at once
EXPECTED_DIRECT_REPLIES = 24  # expected number of members that send a new round back to its leader at once


class Gossip:
    """Writes the headers of messages, applies the headers of others, and spreads new rounds."""

    def __init__(
        self,
        settings: NodeSettings,
        membership: Membership,
        leader_lease: LeaderLease,
        outbox: Outbox,
        counters: NodeCounters,
    ) -> None:
        self._settings = settings
        self._membership = membership
        self._lease = leader_lease
        self._outbox = outbox
        self._counters = counters

    def header(self, target: int | None = None) -> Header:
        """Return the header of the next message.

        A header for `target` also has what this process knows of `target`, if anything, so that `target` can
        refute it if it is wrong.
        """
        updates = self._membership.next_updates(MAX_UPDATES)
        about_target = self._membership.known_state(target) if target is not None else None
        if about_target is not None and about_target not in updates:
            updates = (about_target, *updates)
        return Header(
            sender=self._settings.member,
            incarnation_id=self._membership.local.incarnation_id,
            incarnation_number=self._membership.incarnation_number,
            configuration_digest=self._settings.configuration_digest,
            ballot=self._lease.ballot(),
            updates=updates,
        )

    def accepts(self, header: Header) -> bool:
        """Return whether the sender is another member with the same configuration; count it if not."""
        sender = header.sender
        if not 0 <= sender < self._settings.member_count or sender == self._settings.member:
            self._counters.messages_ignored += 1
            return False
        if header.configuration_digest != self._settings.configuration_digest:
            self._counters.messages_ignored += 1
            self._outbox.add(ConfigurationMismatch(sender))
            return False
        return True

    def receive(self, now: int, header: Header) -> bool:
        """Apply the gossip of a header, and return whether its sender is the member's current process.

        It is not if a newer process of that member is known, or if it does not know yet of an earlier one.
        """
        is_current = self._membership.message_received(
            now, header.sender, header.incarnation_id, header.incarnation_number
        )
        for update in header.updates:
            self._membership.apply_update(now, update)
        return is_current

    def spread_round(self, now: int, random_source: random.Random) -> None:
        """Send a new round to a few random members, and with some probability back to its leader.

        This way a round reaches all members within a few message delays, and neither the messages that one
        process sends for it nor those that the leader receives directly grow with the member count.
        """
        leader = self._lease.key.leader
        excluded = (self._settings.member, leader)
        live = self._membership.live_members(now)
        others = [number for number in peer_set.member_numbers(live) if number not in excluded]
        receivers = random_source.sample(others, min(ROUND_FANOUT, len(others)))
        if leader != self._settings.member:
            draw = random_source.random() * self._settings.member_count
            if draw < EXPECTED_DIRECT_REPLIES:
                receivers.append(leader)
        for member in receivers:
            self._outbox.send(member, RoundNotice(self.header(member)))
