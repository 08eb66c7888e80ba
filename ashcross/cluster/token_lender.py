"""The leader's side of a token budget: accounts, and the loans out of them."""

from __future__ import annotations

from dataclasses import dataclass, field

from ashcross.cluster.clock_rates import DRIFT_MARGIN
from ashcross.cluster.offline_allowance import OfflineAllowances
from ashcross.cluster.token_budget import EVICTION_SCAN, HolderId, QuotaKey, QuotaLimit

NO_REFILL_WAIT_US = 1 << 40  # the wait for a token of a quota that brings none


@dataclass(eq=False, slots=True)
class Loan:
    """What one holder may still hold at most, and the number of its last request."""

    amount: int
    until_us: int
    seq: int


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Tokens of one quantity for a holder that holds `balance`; the loan would last until `until_us`."""

    holder: HolderId
    seq: int
    wanted: int
    held: int
    until_us: int


@dataclass(eq=False, slots=True)
class Account:
    """One quantity at its leader: `tokens` that nobody holds, as of `credited_us`."""

    limit: QuotaLimit
    tokens: float
    credited_us: int
    offline_used_us: float  # of `OfflineAllowances`, as of then
    loans: dict[HolderId, Loan] = field(default_factory=dict)

    def credit(self, now: int, allowances: OfflineAllowances) -> None:
        """Add the tokens that have come in since the last time, and end the loans whose time is up.

        Tokens over the capacity are dropped before a loan ends or shrinks: what was lent and not reported as
        spent was in the bucket until now, and a full bucket takes nothing in.
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
        """The most tokens that may be kept beside the loans and the offline allowances in use."""
        lent = sum(loan.amount for loan in self.loans.values())
        return self.limit.burst * (1.0 - self.limit.offline_fraction * fraction_in_use) - lent

    def lend(self, now: int, allowances: OfflineAllowances, request: LoanRequest) -> int | None:
        """The tokens granted; None for a request that is older than one received before."""
        self.credit(now, allowances)
        loan = self.loans.get(request.holder)
        if loan is None:
            loan = Loan(0, request.until_us, request.seq - 1)
            self.loans[request.holder] = loan
        if request.seq <= loan.seq:
            return None
        loan.seq = request.seq
        loan.until_us = request.until_us
        # a holder takes in the answer to its last request alone: what it does not report it will not receive
        loan.amount = min(loan.amount, request.held)
        granted = self._grantable(request.wanted, allowances.fraction_in_use(request.until_us))
        self.tokens -= granted
        loan.amount += granted
        return granted

    def _grantable(self, wanted: int, fraction_in_use: float) -> int:
        """Half of what there is at most, but for a single token: the rest is for other holders."""
        available = int(min(self.tokens, self.capacity(fraction_in_use)))
        maximum = available if wanted == 1 else max(1, available // 2)
        return max(0, min(wanted, maximum, available))

    def wait_us(self, wanted: int) -> int:
        """How long until so many tokens have come in, if nobody else takes them."""
        if not self.limit.rate:
            return NO_REFILL_WAIT_US
        return int(max(0.0, wanted - self.tokens) / self.limit.rate * 1e6)


class TokenLender:
    """The accounts of one leader's lease; they begin empty, and count what comes in from its begin.

    `max_accounts` bounds them. A quantity without an account stands at what came in since the lease began, up
    to the burst; an account that stands there as well is dropped to make room, and is the same when it is
    asked for again.
    """

    def __init__(
        self, limits: tuple[QuotaLimit, ...], member_count: int, now: int, max_accounts: int
    ) -> None:
        self.accounts: dict[QuotaKey, Account] = {}  # those used longest ago first
        self.allowances = OfflineAllowances(member_count, now)
        self._limits = limits
        self._max_accounts = max_accounts
        self._began_us = now
        self._fraction_in_use = 1.0

    def update_promises(self, now: int, promised_until_us: list[int]) -> None:
        """Members have promised not to use their offline allowances until these times.

        Promises may have ended since the last call: those allowances were in use beside what is kept here,
        and accounts shrink by them before they can be counted as unused again.
        """
        if self.allowances.fraction_in_use(now) > self._fraction_in_use:
            for account in self.accounts.values():
                account.credit(now, self.allowances)
        self.allowances.update_promises(now, promised_until_us)
        self._fraction_in_use = self.allowances.fraction_in_use(now)

    def account(self, now: int, quota_key: QuotaKey) -> Account | None:
        """The account of a quantity, credited; None where there is no room for it."""
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
        """Drop accounts that stand where a new one would, of those used longest ago."""
        for quota_key in list(self.accounts)[:EVICTION_SCAN]:
            account = self.accounts[quota_key]
            account.credit(now, self.allowances)
            if not account.loans and account.tokens >= account.limit.burst:
                del self.accounts[quota_key]
