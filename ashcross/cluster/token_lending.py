"""The leader's part of a node: lends tokens to other members and to itself while its lease lasts."""

from __future__ import annotations

from collections.abc import Sequence

from ashcross.cluster.actions import LeaseAcquired, LeaseLost, Outbox
from ashcross.cluster.counters import NodeCounters
from ashcross.cluster.leader_lease import LeaderLease
from ashcross.cluster.messages import GrantItem, RequestItem
from ashcross.cluster.settings import NodeSettings
from ashcross.cluster.token_budget import MAX_BUDGETS, HolderId
from ashcross.cluster.token_lender import LoanRequest, TokenLender

LOANS_PER_LEASE = 4  # a loan lasts a lease / 4; the tokens of a holder that dies are lost until its loan ends
MAX_KEY_BYTES = 16  # of the key in a request item; items with longer keys get no answer
NO_ROOM_WAIT_US = 500_000  # the wait reported to a holder when there is no room for another account


class TokenLending:
    """Owns a `TokenLender` exactly while this process is the leader."""

    def __init__(
        self, settings: NodeSettings, leader_lease: LeaderLease, outbox: Outbox, counters: NodeCounters
    ) -> None:
        self.lender: TokenLender | None = None
        self._settings = settings
        self._lease = leader_lease
        self._outbox = outbox
        self._counters = counters

    def follow_lease(self, now: int, may_lend: bool) -> None:
        """Start lending when the lease begins; stop when it ends or `may_lend` is false."""
        is_leader = may_lend and self._lease.is_leader(now)
        if is_leader and self.lender is None:
            self.lender = TokenLender(self._settings.limits, self._settings.member_count, now, MAX_BUDGETS)
            self._outbox.add(LeaseAcquired(self._lease.key.number))
        elif not is_leader and self.lender is not None:
            self.lender = None
            self._outbox.add(LeaseLost(self._lease.key.number))
        if self.lender is not None:
            self.lender.update_promises(now, self._lease.member_promised_until_us)

    def stop(self) -> None:
        """Stop lending as the process ends; unlike a lost lease this is not logged."""
        self.lender = None

    def loan_until_us(self, now: int) -> int:
        """Return when a loan that begins now ends, on this process's clock; never after the lease."""
        return min(self._lease.lease_until_us, now + self._settings.lease_us // LOANS_PER_LEASE)

    def lend(
        self, now: int, holder: HolderId, seq: int, items: Sequence[RequestItem]
    ) -> tuple[GrantItem, ...]:
        """Return the grant for each item of a holder's request; invalid and outdated items get none."""
        grants = (self._grant(now, holder, seq, item) for item in items if self._is_valid(item))
        return tuple(grant for grant in grants if grant is not None)

    def _is_valid(self, item: RequestItem) -> bool:
        is_quota = 0 <= item.quota < len(self._settings.limits)
        return is_quota and len(item.key) <= MAX_KEY_BYTES and item.wanted >= 0 and item.held >= 0

    def _grant(self, now: int, holder: HolderId, seq: int, item: RequestItem) -> GrantItem | None:
        assert self.lender is not None
        account = self.lender.account(now, item.quota_key)
        if account is None:
            return GrantItem(item.quota, item.key, 0, NO_ROOM_WAIT_US)
        request = LoanRequest(holder, seq, item.wanted, item.held, self.loan_until_us(now))
        granted = account.lend(now, self.lender.allowances, request)
        if granted is None:
            return None
        self._counters.tokens_lent += granted
        wait_us = account.wait_us(1) if granted < item.wanted else 0
        return GrantItem(item.quota, item.key, granted, wait_us)
