"""Mutants of the cluster: defects put into the program, each of which the simulation's checks must find."""

from __future__ import annotations

from typing import Any

from ashcross.cluster import token_borrowing, token_holder, token_lender
from ashcross.cluster.leader_lease import LeaderLease
from ashcross.cluster.membership import Membership, MemberState
from ashcross.cluster.node import Node
from ashcross.cluster.pending_charges import PendingCharges
from ashcross.cluster.token_borrowing import TokenBorrowing
from ashcross.cluster.token_holder import TokenHolder
from ashcross.cluster.token_lender import Account, TokenLender
from ashcross.simulation.defects import Mutant, nothing, swap


def _promise_right_after_start(original: Any) -> Any:
    """Let a lease promise and stand for election at once, without a wait after the start."""

    def init(lease: Any, member: Any, lease_us: int, now_us: int, random_source: Any) -> None:
        original(lease, member, lease_us, now_us, random_source)
        lease.no_promise_before_us = now_us
        lease.promised_until_us = now_us
        lease._no_candidacy_before_us = now_us

    return init


def _win_with_a_third(original: Any) -> Any:
    """Let a third of the members elect a leader."""

    def count_promises(lease: Any) -> None:
        original(lease)
        began_us = lease._own_round_began_us()
        if began_us is not None and 3 * lease.promises.bit_count() >= lease.member.count:
            lease._extend_lease(began_us + lease.lease_us * 9 // 10)

    return count_promises


def _extend_lease_from_last_promise(original: Any) -> Any:
    """Let a lease begin with the last promise received, and extend it by half its duration."""

    def join_round(lease: Any, now_us: int) -> None:
        original(lease, now_us)
        if lease._own_round is not None and 2 * lease.promises.bit_count() > lease.member.count:
            lease._extend_lease(now_us + 3 * lease.lease_us // 2)

    return join_round


def _never_expire_loans(original: Any) -> Any:
    """Keep a loan valid past its end."""

    def balance(holder: Any, now_us: int, quota_key: Any) -> Any:
        balance = holder.balances.get(quota_key)
        if balance is not None and balance.until_us:
            balance.until_us = max(balance.until_us, now_us + 1_000)
        return original(holder, now_us, quota_key)

    return balance


def _give_lease_duration_to_borrowing(original: Any) -> Any:
    """Give `TokenBorrowing` the lease duration, which `_count_loan_from_receipt` needs."""

    def init(node: Any, settings: Any, *arguments: Any) -> None:
        original(node, settings, *arguments)
        node.borrowing.lease_us = settings.lease_us

    return init


def _count_loan_from_receipt(original: Any) -> Any:
    """Let a loan begin when its grant is received, and extend it by two lease durations."""

    def accept_grants(borrowing: Any, now_us: int, seq: int, span_us: int, items: Any) -> None:
        for item in items:
            balance = borrowing._holder.balances.get(item.quota_key)
            if balance is not None and balance.request_seq == seq:
                balance.requested_us = now_us
        original(borrowing, now_us, seq, span_us + 2 * borrowing.lease_us, items)

    return accept_grants


def _accept_any_grant(original: Any) -> Any:
    """Accept a grant whatever request it answers."""

    def accept_grants(borrowing: Any, now_us: int, seq: int, span_us: int, items: Any) -> None:
        for item in items:
            balance = borrowing._holder.balances.get(item.quota_key)
            if balance is not None:
                balance.request_seq = seq
                balance.awaits_grant = True
        original(borrowing, now_us, seq, span_us, items)

    return accept_grants


def _capacity_without_loans(account: Any, fraction_in_use: float) -> float:
    """Return the capacity of an account without subtracting its loans."""
    return float(account.limit.burst * (1.0 - account.limit.offline_fraction * fraction_in_use))


def _end_loans_before_credit(original: Any) -> Any:
    """Cap the tokens of an account as if it had no loans, and drop the loans that have ended."""

    def credit(account: Any, now_us: int, allowances: Any) -> None:
        loans = account.loans
        account.loans = {}
        original(account, now_us, allowances)
        account.loans = {holder: loan for holder, loan in loans.items() if loan.until_us > now_us}

    return credit


def _always_use_offline_allowance(original: Any) -> Any:
    """Use the offline allowance at all times."""

    def set_offline(holder: Any, now_us: int, is_offline: bool) -> None:
        original(holder, now_us, True)

    return set_offline


def _start_offline_allowance_full(original: Any) -> Any:
    """Start the offline allowance full when the holder goes offline."""

    def credit_offline(holder: Any, now_us: int, quota_key: Any, balance: Any) -> None:
        since_us = holder._offline_since_us
        if since_us is not None and balance.offline_credited_us < since_us:
            balance.offline_tokens = holder.max_offline_tokens(quota_key)
        original(holder, now_us, quota_key, balance)

    return credit_offline


def _start_accounts_full(original: Any) -> Any:
    """Start the accounts of a new leader with a full burst."""

    def account(lender: Any, now_us: int, quota_key: Any) -> Any:
        is_known = quota_key in lender.accounts
        lender_account = original(lender, now_us, quota_key)
        if not is_known and lender_account is not None:
            lender_account.tokens = lender_account.limit.burst
        return lender_account

    return account


def _update_promises_without_credit(lender: Any, now_us: int, promised_until_us: list[int]) -> None:
    """Update promises without crediting the accounts first, which would cap their tokens."""
    lender.allowances.update_promises(now_us, promised_until_us)


def _return_tokens_of_ended_loans(original: Any) -> Any:
    """Return an unspent token to the balance even if its loan has ended."""

    def complete(holder: Any, now_us: int, quota_key: Any, loan_number: Any, was_spent: bool) -> None:
        balance = holder.balances.get(quota_key)
        if balance is not None and not was_spent:
            balance.available += 1

    return complete


def _return_spent_tokens(original: Any) -> Any:
    """Return spent tokens as if they were unspent."""

    def complete(holder: Any, now_us: int, quota_key: Any, loan_number: Any, was_spent: bool) -> None:
        original(holder, now_us, quota_key, loan_number, False)

    return complete


def _never_mark_dead(original: Any) -> Any:
    """Never mark a member as dead."""

    def set_state(membership: Any, now_us: int, member: Any, state: Any) -> None:
        if state is not MemberState.DEAD:
            original(membership, now_us, member, state)

    return set_state


def _lend_after_lease_end(original: Any) -> Any:
    """Go on lending after the leader lease has ended."""

    def follow_lease(node: Any, now_us: int) -> None:
        lender = node.lending.lender
        original(node, now_us)
        node.lending.lender = node.lending.lender or lender
        if lender is not None:
            lease = node.leader_lease
            lease.lease_until_us = max(lease.lease_until_us, now_us + 100_000)

    return follow_lease


def _reject_without_retry_after(original: Any) -> Any:
    """Reject charges without a time to retry after."""

    def reject(charges: Any, request_id: str, retry_after_us: int) -> None:
        original(charges, request_id, 0)

    return reject


def _never_time_out(original: Any) -> Any:
    """Put off the deadline of pending charges without end."""

    def serve(charges: Any, now_us: int) -> None:
        for charge in charges._pending:
            charge.deadline_us = now_us + 1_000_000
        original(charges, now_us)

    return serve


MADE = (
    Mutant(
        "promise-forgotten", ("steward",), ((LeaderLease, "_promised_to_another", lambda *_: False),), "tier"
    ),
    Mutant(
        "votes-right-after-a-start",
        ("steward", "limit"),
        (swap(LeaderLease, "__init__", _promise_right_after_start),),
        "tier",
    ),
    Mutant(
        "a-third-suffices",
        ("steward", "limit"),
        (swap(LeaderLease, "_count_promises", _win_with_a_third),),
        "tier",
    ),
    Mutant(
        "lease-from-the-last-promise",
        ("steward", "limit"),
        (swap(LeaderLease, "_join_round", _extend_lease_from_last_promise),),
        "tier",
    ),
    Mutant(
        "lends-past-its-lease",
        ("steward", "limit"),
        (swap(Node, "_follow_lease", _lend_after_lease_end),),
        "tier",
    ),
    Mutant("spends-past-a-loan", ("limit",), (swap(TokenHolder, "balance", _never_expire_loans),), "tier"),
    Mutant(
        "loan-from-its-receipt",
        ("limit",),
        (
            swap(Node, "__init__", _give_lease_duration_to_borrowing),
            swap(TokenBorrowing, "accept_grants", _count_loan_from_receipt),
        ),
        "tier",
    ),
    Mutant(
        "takes-any-answer", ("limit",), (swap(TokenBorrowing, "accept_grants", _accept_any_grant),), "tier"
    ),
    Mutant("loans-uncounted", ("limit",), ((Account, "capacity", _capacity_without_loans),), "tier"),
    Mutant(
        "loans-end-before-the-cap", ("limit",), (swap(Account, "credit", _end_loans_before_credit),), "tier"
    ),
    Mutant(
        "apart-part-always-used",
        ("limit",),
        (swap(TokenHolder, "set_offline", _always_use_offline_allowance),),
        "tier",
    ),
    Mutant(
        "apart-part-begins-full",
        ("limit",),
        (swap(TokenHolder, "_credit_offline", _start_offline_allowance_full),),
        "tier",
    ),
    Mutant("term-begins-full", ("limit",), (swap(TokenLender, "account", _start_accounts_full),), "tier"),
    Mutant(
        "pledges-renewed-uncapped",
        ("limit",),
        ((TokenLender, "update_promises", _update_promises_without_credit),),
        "tier",
    ),
    Mutant(
        "given-back-past-its-loan",
        ("limit",),
        (swap(TokenHolder, "complete", _return_tokens_of_ended_loans),),
        "tier",
    ),
    Mutant(
        "spent-tokens-come-back", ("limit",), (swap(TokenHolder, "complete", _return_spent_tokens),), "tier"
    ),
    Mutant(
        "clocks-trusted",
        ("limit",),
        ((token_lender, "DRIFT_MARGIN", -0.01), (token_holder, "DRIFT_MARGIN", -0.01)),
        "tier",
    ),
    Mutant(
        "dead-never-noticed",
        ("steward", "members", "use"),
        (swap(Membership, "_set_state", _never_mark_dead),),
        "tier",
    ),
    Mutant("incarnation-kept", ("members", "use", "steward"), ((Membership, "_refute", nothing),), "tier"),
    Mutant(
        "refused-without-a-word",
        ("answered",),
        (swap(PendingCharges, "_reject", _reject_without_retry_after),),
        "tier",
    ),
    Mutant("waits-without-end", ("answered",), (swap(PendingCharges, "serve", _never_time_out),), "tier"),
    Mutant(
        "never-asks-again", ("use", "answered"), ((token_borrowing, "REQUEST_RETRY_US", 1 << 60),), "tier"
    ),
)
