"""Requests that wait for their tokens, and the reserved tokens of admitted requests that have not run yet."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from ashcross.cluster.actions import AdmitRequest, Outbox, RejectRequest
from ashcross.cluster.counters import NodeCounters
from ashcross.cluster.events import ChargeRequested
from ashcross.cluster.settings import NodeSettings
from ashcross.cluster.token_borrowing import MAX_EXHAUSTED_BACKOFF_US, TokenBorrowing
from ashcross.cluster.token_budget import QuotaKey
from ashcross.cluster.token_holder import TokenBalance, TokenHolder

Balances: TypeAlias = list[tuple[QuotaKey, TokenBalance]]

MAX_PENDING_CHARGES = 4_096  # further requests are rejected at once
LOW_WATER_S = 0.1  # more tokens are requested when fewer are left than this many seconds of demand need
MAX_RETRY_AFTER_US = 3.6e9  # one hour, before the random part is added


@dataclass(eq=False, slots=True)
class PendingCharge:
    """A request that waits for its tokens."""

    request_id: str
    quota_keys: tuple[QuotaKey, ...]  # the budgets of which it needs one token each
    deadline_us: int  # when it is rejected if it still waits


@dataclass(frozen=True, slots=True)
class Reservation:
    """A token that an admitted request has taken."""

    quota_key: QuotaKey
    loan_number: int | None  # the loan of the token; None for the offline allowance


@dataclass(frozen=True, slots=True)
class ChargeContext:
    """The parts of a node that `PendingCharges` uses; `known_leader` returns the member that lends now."""

    settings: NodeSettings
    holder: TokenHolder
    borrowing: TokenBorrowing
    outbox: Outbox
    counters: NodeCounters
    known_leader: Callable[[], int | None]


class PendingCharges:
    """Gives tokens to requests in order of arrival; a request gets all of its tokens or none."""

    def __init__(self, context: ChargeContext, random_source: random.Random) -> None:
        self._context = context
        self._random = random_source
        self._pending: deque[PendingCharge] = deque()
        self._reservations: dict[str, list[Reservation]] = {}  # by request id: tokens it may still give back

    def waiting_count(self, quota_key: QuotaKey) -> int:
        """Return how many requests wait for a token of this budget."""
        return sum(quota_key in charge.quota_keys for charge in self._pending)

    def add(self, now: int, charge: ChargeRequested) -> None:
        """Add a request that needs tokens, or reject it at once if `MAX_PENDING_CHARGES` wait already."""
        for quota_key in charge.quota_keys:
            balance = self._context.holder.balance(now, quota_key)
            if balance is not None:
                balance.record_demand(now)
        if len(self._pending) >= MAX_PENDING_CHARGES:
            self._reject(charge.request_id, MAX_EXHAUSTED_BACKOFF_US)
            return
        deadline_us = min(charge.deadline_us, now + self._context.settings.charge_wait_us)
        self._pending.append(PendingCharge(charge.request_id, charge.quota_keys, deadline_us))

    def complete(self, now: int, request_id: str, spent: bool) -> None:
        """End the charge of a request: its tokens are spent or given back, and it no longer waits for any."""
        for reservation in self._reservations.pop(request_id, ()):
            self._context.holder.complete(now, reservation.quota_key, reservation.loan_number, spent)
        self._pending = deque(charge for charge in self._pending if charge.request_id != request_id)

    def serve(self, now: int) -> None:
        """Admit or reject each waiting request that can be decided now."""
        still_pending: deque[PendingCharge] = deque()
        for charge in self._pending:
            if not self._decide(now, charge):
                still_pending.append(charge)
        self._pending = still_pending

    def _decide(self, now: int, charge: PendingCharge) -> bool:
        """Admit or reject a request; return False if it has to wait."""
        balances = self._balances(now, charge)
        if balances is None:
            self._reject(charge.request_id, MAX_EXHAUSTED_BACKOFF_US)
            return True
        lacking = [(quota_key, balance) for quota_key, balance in balances if not balance.may_reserve(now)]
        if not lacking:
            self._admit(now, charge, balances)
            return True
        if self._must_reject(now, charge, lacking):
            self._reject(charge.request_id, self._retry_after_us(now, lacking))
            return True
        for quota_key, _ in lacking:
            self._context.borrowing.mark_needed(quota_key)
        return False

    def _balances(self, now: int, charge: PendingCharge) -> Balances | None:
        """Return the balance of each budget of a charge; None if there is no room for one of them."""
        optional_balances = [self._context.holder.balance(now, quota_key) for quota_key in charge.quota_keys]
        balances = [balance for balance in optional_balances if balance is not None]
        if len(balances) < len(optional_balances):
            return None
        return list(zip(charge.quota_keys, balances, strict=True))

    def _must_reject(self, now: int, charge: PendingCharge, lacking: Balances) -> bool:
        """Return whether waiting is of no use: too late, no leader, or no tokens before a later time."""
        exhausted_until_us = max(balance.exhausted_until_us for _, balance in lacking)
        if now < exhausted_until_us or now >= charge.deadline_us:
            return True
        return self._context.known_leader() is None

    def _admit(self, now: int, charge: PendingCharge, balances: Balances) -> None:
        holder = self._context.holder
        self._reservations[charge.request_id] = [
            Reservation(quota_key, holder.reserve(now, balance)) for quota_key, balance in balances
        ]
        for quota_key, balance in balances:
            is_low = balance.available < balance.demand(now) * LOW_WATER_S
            if is_low or holder.blocks_refill(quota_key, balance):
                self._context.borrowing.mark_needed(quota_key)
        self._context.counters.admitted += 1
        self._context.outbox.add(AdmitRequest(charge.request_id))

    def _retry_after_us(self, now: int, lacking: Balances) -> int:
        """Return after how many microseconds a retry may be admitted.

        Up to the same time again is added at random, so that rejected clients do not retry all at once.
        """
        wait_us = 0
        for quota_key, balance in lacking:
            wait_us = max(wait_us, self._token_wait_us(now, quota_key, balance))
        return wait_us + int(self._random.random() * wait_us)

    def _token_wait_us(self, now: int, quota_key: QuotaKey, balance: TokenBalance) -> int:
        """Return the wait for a token in microseconds.

        It lasts until the budget no longer counts as exhausted, but at least the time in which one token
        accrues, at most `MAX_RETRY_AFTER_US`: without a known leader, at the rate of the offline allowance.
        """
        settings = self._context.settings
        limit = settings.limits[quota_key.quota]
        rate = limit.rate
        if self._context.known_leader() is None:
            rate = limit.rate * limit.offline_fraction / settings.member_count
        interval_us = min(MAX_RETRY_AFTER_US, 1e6 / rate) if rate else MAX_RETRY_AFTER_US
        return int(max(balance.exhausted_until_us - now, interval_us))

    def _reject(self, request_id: str, retry_after_us: int) -> None:
        self._context.counters.rejected += 1
        self._context.outbox.add(RejectRequest(request_id, retry_after_us))
