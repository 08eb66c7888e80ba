"""Requests that wait for their tokens, and the tokens of those that were admitted but have not run yet."""

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

MAX_PENDING_CHARGES = 4_096
LOW_WATER_S = 0.1  # of demand: with less than that left, more is asked for
MAX_RETRY_AFTER_US = 3.6e9  # before it is spread


@dataclass(eq=False, slots=True)
class PendingCharge:
    """A request without its tokens yet."""

    request_id: str
    quota_keys: tuple[QuotaKey, ...]
    deadline_us: int


@dataclass(frozen=True, slots=True)
class Reservation:
    """A token that an admitted request has taken, and of which loan."""

    quota_key: QuotaKey
    loan_number: int | None


@dataclass(frozen=True, slots=True)
class ChargeContext:
    """The parts of a node that charges work with; `known_leader` says who lends now."""

    settings: NodeSettings
    holder: TokenHolder
    borrowing: TokenBorrowing
    outbox: Outbox
    counters: NodeCounters
    known_leader: Callable[[], int | None]


class PendingCharges:
    """Gives tokens to requests in the order they came, all of a request's or none."""

    def __init__(self, context: ChargeContext, random_source: random.Random) -> None:
        self._context = context
        self._random = random_source
        self._pending: deque[PendingCharge] = deque()
        self._reservations: dict[str, list[Reservation]] = {}  # by request: tokens that may still come back

    def waiting_count(self, quota_key: QuotaKey) -> int:
        """How many requests wait for a token of this quantity."""
        return sum(quota_key in charge.quota_keys for charge in self._pending)

    def add(self, now: int, charge: ChargeRequested) -> None:
        """A request needs tokens; it is rejected at once where too many wait."""
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
        """The request has used its tokens, gives them back, or waits for them no longer."""
        for reservation in self._reservations.pop(request_id, ()):
            self._context.holder.complete(now, reservation.quota_key, reservation.loan_number, spent)
        self._pending = deque(charge for charge in self._pending if charge.request_id != request_id)

    def serve(self, now: int) -> None:
        """Admit or reject each request for which that is known by now."""
        still_pending: deque[PendingCharge] = deque()
        for charge in self._pending:
            if not self._decide(now, charge):
                still_pending.append(charge)
        self._pending = still_pending

    def _decide(self, now: int, charge: PendingCharge) -> bool:
        """Admit or reject a request; False if it has to wait."""
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
        """The balance of each quantity; None if one of them finds no room."""
        found = [self._context.holder.balance(now, quota_key) for quota_key in charge.quota_keys]
        balances = [balance for balance in found if balance is not None]
        if len(balances) < len(found):
            return None
        return list(zip(charge.quota_keys, balances, strict=True))

    def _must_reject(self, now: int, charge: PendingCharge, lacking: Balances) -> bool:
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
        """When a retry may be admitted, spread over as long again: rejected clients must not come in step."""
        wait_us = 0
        for quota_key, balance in lacking:
            wait_us = max(wait_us, self._token_wait_us(now, quota_key, balance))
        return wait_us + int(self._random.random() * wait_us)

    def _token_wait_us(self, now: int, quota_key: QuotaKey, balance: TokenBalance) -> int:
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
