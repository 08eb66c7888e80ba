"""The tokens that one process spends from its loans and from its offline allowance."""

from __future__ import annotations

import pytest

from ashcross.cluster.clock_rates import DRIFT_MARGIN
from ashcross.cluster.token_budget import QuotaKey, QuotaLimit
from ashcross.cluster.token_holder import TokenHolder

QUOTA_KEY = QuotaKey(0, b"a")


def test_reserved_tokens_do_not_block_a_small_burst() -> None:
    """Guards against reserved tokens that occupy a small burst, so that no new tokens accrue.

    Reserved tokens were always reported as held, and only 2 of 8 requests that the quota allows were admitted
    (seeds 8, 20 and others of the first draw of scenarios).
    """
    holder = TokenHolder((QuotaLimit(2.0, 2.0, 0.0), QuotaLimit(2.0, 20.0, 0.0)), 3, 64)
    for quota, reported in ((0, 0), (1, 1)):
        balance = holder.balance(0, QuotaKey(quota, b"a"))
        assert balance is not None
        balance.available = 1
        balance.until_us = 1_000
        loan_number = holder.reserve(1, balance)
        assert holder.report(QuotaKey(quota, b"a"), balance) == reported
        holder.complete(2, QuotaKey(quota, b"a"), loan_number, False)
        assert balance.available == reported  # a token reported as spent does not come back


def test_tokens_of_an_ended_loan_are_neither_spent_nor_given_back() -> None:
    holder = TokenHolder((QuotaLimit(10.0, 20.0, 0.0),), 3, 64)
    balance = holder.balance(0, QUOTA_KEY)
    assert balance is not None
    balance.available = 2
    balance.until_us = 1_000
    assert balance.may_reserve(999)
    loan_number = holder.reserve(999, balance)
    holder.complete(999, QUOTA_KEY, loan_number, False)
    assert balance.available == 2
    loan_number = holder.reserve(999, balance)
    assert holder.balance(1_000, QUOTA_KEY) is balance
    assert not balance.may_reserve(1_000)
    holder.complete(1_000, QUOTA_KEY, loan_number, False)
    assert not balance.available


def test_offline_allowance_accrues_from_zero_without_an_active_promise() -> None:
    holder = TokenHolder((QuotaLimit(60.0, 30.0, 0.5),), 3, 64)
    holder.set_offline(0, True)
    balance = holder.balance(50_000, QUOTA_KEY)
    assert balance is not None
    assert not balance.may_reserve(50_000)
    assert holder.balance(150_000, QUOTA_KEY) is balance
    assert balance.offline_tokens == pytest.approx(1.5 * (1 - DRIFT_MARGIN))
    holder.set_offline(160_000, False)
    assert not balance.may_reserve(160_000)
