"""One dispatcher's part in the cluster, a state machine without I/O: `handle(now, event) -> actions`.

Times are microseconds of this process's clock. Each call updates lending and the offline allowances to `now`,
processes the event, updates them again, serves waiting requests, and then requests tokens. A loan is checked
against `now` at each access (`TokenHolder.balance`), so no expired token is spent.
"""

from __future__ import annotations

import random

from ashcross.cluster import peer_set
from ashcross.cluster.actions import Action, Outbox
from ashcross.cluster.clock_rates import guaranteed_us
from ashcross.cluster.counters import NodeCounters
from ashcross.cluster.events import (
    ChargeCompleted,
    ChargeRequested,
    Event,
    MessageReceived,
    ShutdownStarted,
    TimerFired,
)
from ashcross.cluster.failure_detector import FailureDetector, HealthCheck
from ashcross.cluster.gossip import Gossip
from ashcross.cluster.leader_lease import NO_CANDIDACY, LeaderLease
from ashcross.cluster.membership import Membership, MemberState
from ashcross.cluster.messages import (
    Ack,
    MemberUpdate,
    Message,
    Ping,
    PingRequest,
    RequestItem,
    ShutdownNotice,
    TokenGrant,
    TokenRequest,
)
from ashcross.cluster.pending_charges import ChargeContext, PendingCharges
from ashcross.cluster.ping_relay import PingRelay
from ashcross.cluster.settings import LocalMember, NodeSettings
from ashcross.cluster.token_borrowing import MAX_REQUEST_ITEMS, TokenBorrowing
from ashcross.cluster.token_budget import MAX_BUDGETS, HolderId
from ashcross.cluster.token_holder import TokenHolder
from ashcross.cluster.token_lending import TokenLending

FAR_FUTURE_US = 1 << 62  # after any time of any clock


class Node:
    """Routes events to the parts of one process of the cluster.

    `incarnation_id` is a random number that distinguishes the process from others of the same member.
    """

    def __init__(
        self, settings: NodeSettings, incarnation_id: int, now: int, random_source: random.Random
    ) -> None:
        self.settings = settings
        self.ended = False  # whether the process is shutting down
        self.counters = NodeCounters()
        self._random = random_source
        self._outbox = Outbox()
        local = LocalMember(settings.member, settings.member_count, incarnation_id)
        self._holder_id = HolderId(settings.member, incarnation_id)
        self.membership = Membership(local, settings.period_us, now)
        self.failure_detector = FailureDetector(self.membership, now, random_source)
        self.leader_lease = LeaderLease(local, settings.lease_us, now, random_source)
        self.gossip = Gossip(settings, self.membership, self.leader_lease, self._outbox, self.counters)
        self.ping_relay = PingRelay()
        self.holder = TokenHolder(settings.limits, settings.member_count, MAX_BUDGETS)
        self.lending = TokenLending(settings, self.leader_lease, self._outbox, self.counters)
        self.borrowing = TokenBorrowing(self.holder)
        context = ChargeContext(
            settings, self.holder, self.borrowing, self._outbox, self.counters, self.known_leader
        )
        self.charges = PendingCharges(context, random_source)

    def handle(self, now: int, event: Event) -> list[Action]:
        """Process one event; return the actions that it calls for, in order."""
        self._follow_lease(now)
        match event:
            case MessageReceived(message):
                self._message_received(now, message)
            case TimerFired():
                self._timer_fired(now)
            case ChargeRequested():
                self.charges.add(now, event)
            case ChargeCompleted(request_id, spent):
                self.charges.complete(now, request_id, spent)
            case ShutdownStarted():
                self._shut_down()
        self._follow_lease(now)
        self.charges.serve(now)
        self._request_tokens(now)
        return self._outbox.take()

    def _follow_lease(self, now: int) -> None:
        """Lend only while the own lease lasts; use offline allowances only without an active promise."""
        self.lending.follow_lease(now, may_lend=not self.ended)
        self.holder.set_offline(now, not self.leader_lease.has_active_promise(now))

    def known_leader(self) -> int | None:
        """Return the member that lends now, as far as this process knows; None if there is none."""
        key = self.leader_lease.key
        if key == NO_CANDIDACY or self.ended:
            return None
        if key.leader == self.settings.member and self.lending.lender is None:
            return None
        return key.leader

    def _timer_fired(self, now: int) -> None:
        before = self.leader_lease.position
        live = self.membership.live_members(now)
        is_first = peer_set.first(live) == self.settings.member
        self.leader_lease.on_timer(now, live, is_first and not self.ended)
        if self.leader_lease.position != before:
            self.gossip.spread_round(now, self._random)
        if self.ended:
            return
        check = self.failure_detector.on_timer(now)
        if check is not None:
            self._check_health(check)

    def _check_health(self, check: HealthCheck) -> None:
        if not check.helpers:
            self._outbox.send(check.member, Ping(self.gossip.header(check.member), check.seq))
        for helper in check.helpers:
            request = PingRequest(self.gossip.header(helper), check.seq, check.member)
            self._outbox.send(helper, request)

    def _shut_down(self) -> None:
        """Give up the lease and notify the live members; promises to this process end by themselves."""
        self.ended = True
        self.leader_lease.resign()
        self.lending.stop()
        for member in peer_set.member_numbers(self.membership.live_members(FAR_FUTURE_US)):
            if member != self.settings.member:
                self._outbox.send(member, ShutdownNotice(self.gossip.header()))

    def _message_received(self, now: int, message: Message) -> None:
        header = message.header
        if not self.gossip.accepts(header):
            return
        is_current = self.gossip.receive(now, header)
        if header.ballot is not None:
            before = self.leader_lease.position
            self.leader_lease.receive_ballot(now, header.ballot)
            self._follow_lease(now)
            if self.leader_lease.position != before:
                self.gossip.spread_round(now, self._random)
        match message:
            case Ping(seq=seq):
                self._send_ack(header.sender, seq, self.settings.member)
            case Ack():
                self._ack_received(message, is_current)
            case PingRequest():
                self._ping_requested(message)
            case TokenRequest() if is_current:
                self._tokens_requested(now, message)
            case TokenGrant() if is_current:
                self._tokens_granted(now, message)
            case ShutdownNotice() if is_current:
                self._member_left(now, message)
            case _:
                pass  # A RoundNotice has only its header; other messages here are of an outdated process.

    def _send_ack(self, member: int, seq: int, target: int) -> None:
        self._outbox.send(member, Ack(self.gossip.header(member), seq, target))

    def _ack_received(self, ack: Ack, is_current: bool) -> None:
        relayed = self.ping_relay.finish(ack.seq)
        if relayed is not None:
            self._send_ack(relayed.requester, relayed.seq, ack.target)
        elif is_current or ack.target != ack.header.sender:
            self.failure_detector.ack_received(ack.seq, ack.target)

    def _ping_requested(self, request: PingRequest) -> None:
        target = request.target
        if not 0 <= target < self.settings.member_count or target == self.settings.member:
            return
        seq = self.ping_relay.begin(request.header.sender, request.seq)
        self._outbox.send(target, Ping(self.gossip.header(target), seq))

    def _member_left(self, now: int, notice: ShutdownNotice) -> None:
        header = notice.header
        update = MemberUpdate(
            header.sender, MemberState.LEFT, header.incarnation_id, header.incarnation_number
        )
        self.membership.apply_update(now, update)

    def _tokens_requested(self, now: int, request: TokenRequest) -> None:
        """Lend to another member, if this process leads under the candidacy that the request names.

        The loan ends on the holder's clock before it does on this one, whatever the drift between the two.
        """
        if self.lending.lender is None or request.lease != self.leader_lease.key:
            return
        sender = request.header.sender
        holder = HolderId(sender, request.header.incarnation_id)
        grants = self.lending.lend(now, holder, request.seq, request.items[:MAX_REQUEST_ITEMS])
        span_us = guaranteed_us(self.lending.loan_until_us(now) - now)
        header = self.gossip.header(sender)
        self._outbox.send(sender, TokenGrant(header, request.lease, request.seq, span_us, grants))

    def _tokens_granted(self, now: int, grant: TokenGrant) -> None:
        if grant.lease == self.leader_lease.key:
            self.borrowing.accept_grants(now, grant.seq, grant.span_us, grant.items)

    def _request_tokens(self, now: int) -> None:
        if not self.borrowing.needs_tokens:
            return
        leader = self.known_leader()
        if leader is None:
            return
        for items in self.borrowing.due_requests(now, self.charges.waiting_count):
            self._send_request(now, leader, items)

    def _send_request(self, now: int, leader: int, items: tuple[RequestItem, ...]) -> None:
        """Request tokens from the leader; if this process is the leader, accept the loans at once."""
        seq = self.borrowing.begin_request(now, items)
        self.counters.token_requests += 1
        if leader == self.settings.member:
            grants = self.lending.lend(now, self._holder_id, seq, items)
            span_us = self.lending.loan_until_us(now) - now
            self.borrowing.accept_grants(now, seq, span_us, grants)
            self.charges.serve(now)
            return
        request = TokenRequest(self.gossip.header(leader), self.leader_lease.key, seq, items)
        self._outbox.send(leader, request)
