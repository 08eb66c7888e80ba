"""The holder's side of token budgets: the tokens lent to one process, and its own offline allowances."""

from __future__ import annotations

from dataclasses import dataclass

from ashcross.cluster.clock_rates import DRIFT_MARGIN
from ashcross.cluster.token_budget import EVICTION_SCAN, RESERVED_BURST_DIVISOR, QuotaKey, QuotaLimit

DEMAND_SPAN_US = 500_000  # the time over which demand is averaged


@dataclass(eq=False, slots=True)
class TokenBalance:
    """The tokens that a holder has of one budget; all times are those of the holder's clock."""

    available: int = 0  # lent tokens that no request has taken
    reserved: int = 0  # lent tokens taken by requests that may still give them back
    until_us: int = 0  # when the loan ends; 0 without a loan
    loan_number: int = 0  # counts ended loans; a token of an earlier loan cannot be given back
    request_seq: int = 0  # the number of the last request to the lender for this budget
    requested_us: int = 0  # when that request was made
    awaits_grant: bool = False  # whether that request has not been answered yet
    outstanding: int = 0  # tokens that the lender counts as lent, as of its last answer
    exhausted_until_us: int = 0  # the lender has reported that no tokens accrue before this time
    offline_tokens: float = 0.0  # tokens of the offline allowance
    offline_credited_us: int = 0  # when tokens were last added to the offline allowance
    demand_per_s: float = 0.0  # requests a second, smoothed, as of `demand_us`
    demand_us: int = 0  # when a request last needed a token

    def demand(self, now: int) -> float:
        """Return the demand in requests a second, averaged over about `DEMAND_SPAN_US`."""
        return self.demand_per_s * max(0.0, 1.0 - (now - self.demand_us) / DEMAND_SPAN_US)

    def record_demand(self, now: int) -> None:
        """Record that a request needs a token."""
        self.demand_per_s = self.demand(now) + 1e6 / DEMAND_SPAN_US
        self.demand_us = now

    def may_reserve(self, now: int) -> bool:
        """Return whether a token is available, from the loan or from the offline allowance."""
        return now < self.until_us and self.available > 0 or self.offline_tokens >= 1.0

    def end_loan(self) -> None:
        """Drop the loan: its tokens can be neither spent nor given back any more."""
        self.available = 0
        self.until_us = 0
        self.forget_reserved()

    def forget_reserved(self) -> None:
        """Count the reserved tokens as spent; requests cannot give them back any more."""
        self.reserved = 0
        self.loan_number += 1


class TokenHolder:
    """The tokens that one process holds, of at most `max_budgets` budgets.

    Each access takes the current time and first drops the tokens that have expired by then.
    """

    def __init__(self, limits: tuple[QuotaLimit, ...], member_count: int, max_budgets: int) -> None:
        self.balances: dict[QuotaKey, TokenBalance] = {}  # least recently used first
        self._limits = limits
        self._member_count = member_count
        self._max_budgets = max_budgets
        # when this process ceased to have an active promise: its offline allowances accrue from then on
        self._offline_since_us: int | None = None

    def set_offline(self, now: int, is_offline: bool) -> None:
        """Enable or disable the offline allowances of this process.

        `is_offline` says that the process has no active promise. While it has one, the leader lends the
        tokens of its allowances to the whole cluster, so the process must not spend them too.
        """
        if is_offline and self._offline_since_us is None:
            self._offline_since_us = now
        elif not is_offline and self._offline_since_us is not None:
            self._offline_since_us = None
            for balance in self.balances.values():
                balance.offline_tokens = 0.0
                balance.offline_credited_us = 0

    def balance(self, now: int, quota_key: QuotaKey) -> TokenBalance | None:
        """Return the balance of a budget as of now; None if there is no room for a new one."""
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
        """Return the most tokens that this process's offline allowance of a budget can have."""
        limit = self._limits[quota_key.quota]
        return limit.burst * limit.offline_fraction / self._member_count

    def _evict_empty(self, now: int) -> None:
        """Remove balances without tokens, grants under way or reservations among the least recently used.

        While the process is offline no balance is removed: the allowance of a new one would accrue again from
        when the promise ended, so tokens that are spent already would come back.
        """
        if self._offline_since_us is not None:
            return
        for quota_key in list(self.balances)[:EVICTION_SCAN]:
            balance = self.balances[quota_key]
            if now >= balance.until_us and not balance.awaits_grant and not balance.reserved:
                del self.balances[quota_key]

    def report(self, quota_key: QuotaKey, balance: TokenBalance) -> int:
        """Return the tokens that a request to the lender reports as held.

        No tokens accrue in place of reserved ones, as these may still be given back. When they are more than
        a share of the burst (`RESERVED_BURST_DIVISOR`), they are counted as spent, so that they do not hold
        up the budget.
        """
        if balance.reserved * RESERVED_BURST_DIVISOR > self._limits[quota_key.quota].burst:
            balance.forget_reserved()
        return balance.available + balance.reserved

    def blocks_refill(self, quota_key: QuotaKey, balance: TokenBalance) -> bool:
        """Return whether the lender should be told that the tokens lent to this process are used up.

        Tokens that the lender counts as lent occupy the bucket. Where they are a large share of the burst
        (`RESERVED_BURST_DIVISOR`), few or no new tokens accrue until this process reports them as spent.
        """
        burst = self._limits[quota_key.quota].burst
        return not balance.available and balance.outstanding * RESERVED_BURST_DIVISOR > burst

    @staticmethod
    def reserve(now: int, balance: TokenBalance) -> int | None:
        """Take a token; return the number of its loan, or None if it is of the offline allowance."""
        if now < balance.until_us and balance.available > 0:
            balance.available -= 1
            balance.reserved += 1
            return balance.loan_number
        balance.offline_tokens -= 1.0
        return None

    def complete(self, now: int, quota_key: QuotaKey, loan_number: int | None, spent: bool) -> None:
        """End a reservation: the request has spent its token, or gives it back as nothing ran for it.

        Nothing changes if the token is of the offline allowance, if its loan has ended, or if the reserved
        tokens count as spent already.
        """
        balance = self.balance(now, quota_key)
        if balance is None or loan_number != balance.loan_number or not balance.reserved:
            return
        balance.reserved -= 1
        if not spent:
            balance.available += 1
