"""The leader's side of token budgets: accounts, and the loans made from them."""

from __future__ import annotations

from dataclasses import dataclass, field

from ashcross.cluster.clock_rates import DRIFT_MARGIN
from ashcross.cluster.offline_allowance import OfflineAllowances
from ashcross.cluster.token_budget import EVICTION_SCAN, HolderId, QuotaKey, QuotaLimit

# The wait that is reported for a quota with a rate of 0: about 12.7 days. The holder cuts it to 0.5 s.
NO_REFILL_WAIT_US = 1 << 40


@dataclass(eq=False, slots=True)
class Loan:
    """What one holder may still hold of one budget, as its leader counts it."""

    amount: int  # the most tokens that the holder may still hold: available, reserved or on their way to it
    until_us: int  # when the loan ends, on the leader's clock
    seq: int  # the number of the holder's last request; older requests are ignored


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """A holder's request for tokens of one budget."""

    holder: HolderId
    seq: int  # the request's number; the numbers of one process's requests rise
    wanted: int  # tokens to lend in addition, 0 or more
    held: int  # tokens of the loan that the holder still has, available or reserved, 0 or more
    until_us: int  # when the loan would end, on the leader's clock


@dataclass(eq=False, slots=True)
class Account:
    """The leader's account of one budget."""

    limit: QuotaLimit
    tokens: float  # tokens that nobody holds, as of `credited_us`
    credited_us: int  # when tokens were last added
    offline_used_us: float  # `OfflineAllowances.used_us` as of `credited_us`
    loans: dict[HolderId, Loan] = field(default_factory=dict)

    def credit(self, now: int, allowances: OfflineAllowances) -> None:
        """Add the tokens that have accrued since the last call, and end the loans whose time is up.

        The tokens are cut to the capacity before a loan ends or shrinks, while its tokens still count as
        lent. Otherwise as many tokens would seem to have accrued meanwhile, although the bucket had no room
        for them.
        """
        used_us = allowances.advance(now)
        span_us = now - self.credited_us - self.limit.offline_fraction * (used_us - self.offline_used_us)
        self.tokens += max(0.0, span_us) * (1.0 - DRIFT_MARGIN) * self.limit.rate / 1e6
        self.tokens = max(0.0, min(self.tokens, self.capacity(allowances.fraction_in_use(now))))
        self._end_loans(now)
        self.credited_us = now
        self.offline_used_us = used_us

    def _end_loans(self, now: int) -> None:
        ended = [holder for holder, loan in self.loans.items() if now >= loan.until_us]
        for holder in ended:
            del self.loans[holder]

    def capacity(self, fraction_in_use: float) -> float:
        """Return how many tokens the account may have beside the loans and the offline allowances in use.

        `fraction_in_use` is the share of members, 0 to 1, whose offline allowances may be in use.
        """
        lent = sum(loan.amount for loan in self.loans.values())
        return self.limit.burst * (1.0 - self.limit.offline_fraction * fraction_in_use) - lent

    def lend(self, now: int, allowances: OfflineAllowances, request: LoanRequest) -> int | None:
        """Lend tokens and return how many; None unless the request is newer than the holder's last one."""
        self.credit(now, allowances)
        loan = self.loans.get(request.holder)
        if loan is None:
            loan = Loan(0, request.until_us, request.seq - 1)
            self.loans[request.holder] = loan
        if request.seq <= loan.seq:
            return None
        loan.seq = request.seq
        loan.until_us = request.until_us
        # A holder accepts only the grant for its last request. Tokens that this request does not report are
        # spent, or belong to an earlier grant that the holder will ignore: they are no longer lent.
        loan.amount = min(loan.amount, request.held)
        granted = self._grantable(request.wanted, allowances.fraction_in_use(request.until_us))
        self.tokens -= granted
        loan.amount += granted
        return granted

    def _grantable(self, wanted: int, fraction_in_use: float) -> int:
        """Return how many tokens to lend.

        At most half of the available tokens are lent, but at least one, to leave some for other holders.
        """
        available = int(min(self.tokens, self.capacity(fraction_in_use)))
        maximum = available if wanted == 1 else max(1, available // 2)
        return max(0, min(wanted, maximum, available))

    def wait_us(self, wanted: int) -> int:
        """Return the microseconds until the account has `wanted` tokens, if nobody else takes them."""
        if not self.limit.rate:
            return NO_REFILL_WAIT_US
        return int(max(0.0, wanted - self.tokens) / self.limit.rate * 1e6)


class TokenLender:
    """The accounts of one leader during one uninterrupted lease; at most `max_accounts` of them.

    All budgets begin empty when the lease begins, as an earlier leader may have lent the whole burst just
    before. A budget without an account has the tokens that accrued since then, up to the burst. An account
    with the whole burst and no loans may be evicted to make room: a new one would have the same state.
    """

    def __init__(
        self, limits: tuple[QuotaLimit, ...], member_count: int, now: int, max_accounts: int
    ) -> None:
        self.accounts: dict[QuotaKey, Account] = {}  # least recently used first
        self.allowances = OfflineAllowances(member_count, now)
        self._limits = limits
        self._max_accounts = max_accounts
        self._began_us = now  # when the lease began
        self._fraction_in_use = 1.0

    def update_promises(self, now: int, promised_until_us: list[int]) -> None:
        """Record until when each member has promised not to use its offline allowance.

        If promises have ended since the last call, their members may have spent their offline allowances.
        Each account is then first cut to the capacity that counts these allowances as in use. Only after that
        do the new promises apply, which enlarge the capacity again.
        """
        if self.allowances.fraction_in_use(now) > self._fraction_in_use:
            for account in self.accounts.values():
                account.credit(now, self.allowances)
        self.allowances.update_promises(now, promised_until_us)
        self._fraction_in_use = self.allowances.fraction_in_use(now)

    def account(self, now: int, quota_key: QuotaKey) -> Account | None:
        """Return the account of a budget, credited up to now; None if there is no room for a new one."""
        account = self.accounts.pop(quota_key, None)
        if account is None:
            if len(self.accounts) >= self._max_accounts:
                self._evict_full_accounts(now)
            if len(self.accounts) >= self._max_accounts:
                return None
            account = Account(self._limits[quota_key.quota], 0.0, self._began_us, 0.0)
        self.accounts[quota_key] = account
        account.credit(now, self.allowances)
        return account

    def _evict_full_accounts(self, now: int) -> None:
        """Remove accounts in the state of a new one from among the least recently used."""
        for quota_key in list(self.accounts)[:EVICTION_SCAN]:
            account = self.accounts[quota_key]
            account.credit(now, self.allowances)
            if not account.loans and account.tokens >= account.limit.burst:
                del self.accounts[quota_key]
