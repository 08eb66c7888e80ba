"""The side of a token budget that spends: what one process was lent, and its own offline allowances."""

from __future__ import annotations

from dataclasses import dataclass

from ashcross.cluster.clock_rates import DRIFT_MARGIN
from ashcross.cluster.token_budget import EVICTION_SCAN, RESERVED_BURST_DIVISOR, QuotaKey, QuotaLimit

DEMAND_SPAN_US = 500_000  # over which demand is averaged


@dataclass(eq=False, slots=True)
class TokenBalance:
    """What a holder has of one quantity."""

    available: int = 0  # lent and not taken
    reserved: int = 0  # taken by requests that may still give them back
    until_us: int = 0  # when the loan ends
    loan_number: int = 0  # counts the loans that have ended: tokens of an earlier one are not given back
    request_seq: int = 0  # of the last request to the lender
    requested_us: int = 0
    awaits_grant: bool = False
    outstanding: int = 0  # what the lender counts as lent since its last answer
    exhausted_until_us: int = 0  # the lender has said that nothing comes in before
    offline_tokens: float = 0.0  # of the offline allowance
    offline_credited_us: int = 0
    demand_per_s: float = 0.0  # smoothed, as of `demand_us`
    demand_us: int = 0

    def demand(self, now: int) -> float:
        """Requests a second, averaged over the last half second or so."""
        return self.demand_per_s * max(0.0, 1.0 - (now - self.demand_us) / DEMAND_SPAN_US)

    def record_demand(self, now: int) -> None:
        """A request needs a token."""
        self.demand_per_s = self.demand(now) + 1e6 / DEMAND_SPAN_US
        self.demand_us = now

    def may_reserve(self, now: int) -> bool:
        """Is there a token, of what was lent or of the offline allowance?"""
        return now < self.until_us and self.available > 0 or self.offline_tokens >= 1.0

    def end_loan(self) -> None:
        """The loan is over: nothing of it is left, and nothing of it can be given back."""
        self.available = 0
        self.until_us = 0
        self.forget_reserved()

    def forget_reserved(self) -> None:
        """Count the tokens that requests have taken as spent."""
        self.reserved = 0
        self.loan_number += 1


class TokenHolder:
    """The tokens of one process. Nothing that may be out of date is spent: each access takes the time."""

    def __init__(self, limits: tuple[QuotaLimit, ...], member_count: int, max_budgets: int) -> None:
        self.balances: dict[QuotaKey, TokenBalance] = {}  # those used longest ago first
        self._limits = limits
        self._member_count = member_count
        self._max_budgets = max_budgets
        # since when no promise of this process stands: its offline allowances come in from then on
        self._offline_since_us: int | None = None

    def set_offline(self, now: int, is_offline: bool) -> None:
        """Say whether no promise of this process stands; while one does, the leader has its allowances."""
        if is_offline and self._offline_since_us is None:
            self._offline_since_us = now
        elif not is_offline and self._offline_since_us is not None:
            self._offline_since_us = None
            for balance in self.balances.values():
                balance.offline_tokens = 0.0
                balance.offline_credited_us = 0

    def balance(self, now: int, quota_key: QuotaKey) -> TokenBalance | None:
        """What is held of a quantity now; None where there is no room for another quantity."""
        balance = self.balances.pop(quota_key, None)
        if balance is None:
            if len(self.balances) >= self._max_budgets:
                self._evict_empty(now)
            if len(self.balances) >= self._max_budgets:
                return None
            balance = TokenBalance(demand_us=now)
        self.balances[quota_key] = balance
        if balance.until_us and now >= balance.until_us:
            balance.end_loan()
        self._credit_offline(now, quota_key, balance)
        return balance

    def _credit_offline(self, now: int, quota_key: QuotaKey, balance: TokenBalance) -> None:
        if self._offline_since_us is None:
            balance.offline_tokens = 0.0
            return
        limit = self._limits[quota_key.quota]
        since_us = max(balance.offline_credited_us, self._offline_since_us)
        rate = limit.rate * limit.offline_fraction / self._member_count
        credited = balance.offline_tokens + (now - since_us) * (1.0 - DRIFT_MARGIN) * rate / 1e6
        balance.offline_tokens = min(self.max_offline_tokens(quota_key), credited)
        balance.offline_credited_us = now

    def max_offline_tokens(self, quota_key: QuotaKey) -> float:
        """The burst of this process's offline allowance."""
        limit = self._limits[quota_key.quota]
        return limit.burst * limit.offline_fraction / self._member_count

    def _evict_empty(self, now: int) -> None:
        """Drop what has nothing that would be missed, of those used longest ago.

        An allowance that is not full would come in anew from when the promise ended, so it stays.
        """
        if self._offline_since_us is not None:
            return
        for quota_key in list(self.balances)[:EVICTION_SCAN]:
            balance = self.balances[quota_key]
            if now >= balance.until_us and not balance.awaits_grant and not balance.reserved:
                del self.balances[quota_key]

    def report(self, quota_key: QuotaKey, balance: TokenBalance) -> int:
        """What the lender has to count as held, as a request says it.

        Tokens that may still be given back keep others from coming in: over a part of the burst they count as
        spent.
        """
        if balance.reserved * RESERVED_BURST_DIVISOR > self._limits[quota_key.quota].burst:
            balance.forget_reserved()
        return balance.available + balance.reserved

    def blocks_refill(self, quota_key: QuotaKey, balance: TokenBalance) -> bool:
        """Does the lender count much of a small burst as lent that is used up here? Nothing comes in then."""
        burst = self._limits[quota_key.quota].burst
        return not balance.available and balance.outstanding * RESERVED_BURST_DIVISOR > burst

    @staticmethod
    def reserve(now: int, balance: TokenBalance) -> int | None:
        """Take a token; the number of the loan that it was of, None for the offline allowance."""
        if now < balance.until_us and balance.available > 0:
            balance.available -= 1
            balance.reserved += 1
            return balance.loan_number
        balance.offline_tokens -= 1.0
        return None

    def complete(self, now: int, quota_key: QuotaKey, loan_number: int | None, spent: bool) -> None:
        """A request has spent the token that it took, or gives it back as nothing ran for it."""
        balance = self.balance(now, quota_key)
        if balance is None or loan_number != balance.loan_number or not balance.reserved:
            return
        balance.reserved -= 1
        if not spent:
            balance.available += 1
