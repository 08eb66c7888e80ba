"""The leader's accounts of token budgets, and the loans made from them."""

from __future__ import annotations

from ashcross.cluster.token_budget import HolderId, QuotaKey, QuotaLimit
from ashcross.cluster.token_lender import LoanRequest, TokenLender

QUOTA_KEY = QuotaKey(0, b"a")


def test_lender_lends_the_burst_once_and_accrued_tokens_later() -> None:
    lender = TokenLender((QuotaLimit(10.0, 20.0, 0.0),), 3, 0, 64)
    lender.update_promises(0, [1 << 60] * 3)
    now = 10_000_000
    account = lender.account(now, QUOTA_KEY)
    assert account is not None
    request = LoanRequest(HolderId(1, 1), seq=1, wanted=15, held=0, until_us=now + 500_000)
    assert account.lend(now, lender.allowances, request) == 10  # half, to leave tokens for other holders
    assert account.lend(now, lender.allowances, request) is None  # a repeated request
    other = LoanRequest(HolderId(2, 2), seq=1, wanted=50, held=0, until_us=now + 500_000)
    assert account.lend(now, lender.allowances, other) == 5
    total = sum(loan.amount for loan in account.loans.values()) + account.tokens
    assert total == 20.0
    later = now + 10_000_000  # both loans have ended; the bucket was full while they lasted
    account.credit(later, lender.allowances)
    assert account.tokens <= 20.0
    assert not account.loans


def test_allowances_of_members_without_a_promise_are_not_lent() -> None:
    lender = TokenLender((QuotaLimit(10.0, 20.0, 0.6),), 2, 0, 64)
    lender.update_promises(0, [1 << 60, 0])
    account = lender.account(100_000_000, QUOTA_KEY)
    assert account is not None
    assert account.tokens == 20.0 * (1 - 0.3)
    lender.update_promises(100_000_000, [1 << 60, 1 << 60])
    account.credit(100_000_001, lender.allowances)
    assert account.tokens < 14.1  # a new promise adds no tokens at once
