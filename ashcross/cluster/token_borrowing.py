"""The borrower's part of a node: asks the leader for the tokens that requests need, and takes loans in."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ashcross.cluster.messages import GrantItem, RequestItem
from ashcross.cluster.token_budget import QuotaKey
from ashcross.cluster.token_holder import TokenBalance, TokenHolder

MAX_REQUEST_ITEMS = 32
REQUEST_RETRY_US = 60_000  # after which a request without an answer is made anew
PREFETCH_S = 0.3  # demand that is asked for ahead
MIN_EXHAUSTED_BACKOFF_US = 20_000  # between two requests of a holder that was told there is nothing
MAX_EXHAUSTED_BACKOFF_US = 500_000


class TokenBorrowing:
    """Collects the quantities that need tokens and turns them into few requests."""

    def __init__(self, holder: TokenHolder) -> None:
        self._holder = holder
        self._needed: dict[QuotaKey, None] = {}  # in the order in which the need arose
        self._seq = 0

    @property
    def needs_tokens(self) -> bool:
        """Is there a quantity to ask for?"""
        return bool(self._needed)

    def mark_needed(self, quota_key: QuotaKey) -> None:
        """Tokens of this quantity are to be asked for."""
        self._needed[quota_key] = None

    def due_requests(
        self, now: int, waiting_count: Callable[[QuotaKey], int]
    ) -> list[tuple[RequestItem, ...]]:
        """The requests to make now; `waiting_count` says how many charges wait for a quantity."""
        items: list[RequestItem] = []
        for quota_key in list(self._needed):
            balance = self._holder.balance(now, quota_key)
            if balance is None or self._is_exhausted(now, quota_key, balance):
                del self._needed[quota_key]
                continue
            if balance.awaits_grant and now - balance.requested_us < REQUEST_RETRY_US:
                continue
            del self._needed[quota_key]
            wanted = self._wanted(now, balance, waiting_count(quota_key))
            if wanted or self._holder.blocks_refill(quota_key, balance):
                reported = self._holder.report(quota_key, balance)
                items.append(RequestItem(quota_key.quota, quota_key.key, wanted, reported))
        return [
            tuple(items[start : start + MAX_REQUEST_ITEMS])
            for start in range(0, len(items), MAX_REQUEST_ITEMS)
        ]

    def _is_exhausted(self, now: int, quota_key: QuotaKey, balance: TokenBalance) -> bool:
        """Has the leader said that nothing comes in yet, and is that not because of what is held here?"""
        return now < balance.exhausted_until_us and not self._holder.blocks_refill(quota_key, balance)

    @staticmethod
    def _wanted(now: int, balance: TokenBalance, waiting: int) -> int:
        prefetched = int(balance.demand(now) * PREFETCH_S)
        return max(0, waiting + prefetched - balance.available)

    def begin_request(self, now: int, items: Sequence[RequestItem]) -> int:
        """A request with these items is made now; its number, which its answer repeats."""
        self._seq += 1
        for item in items:
            balance = self._holder.balances[item.quota_key]
            balance.request_seq = self._seq
            balance.requested_us = now
            balance.awaits_grant = True
        return self._seq

    def accept_grants(self, now: int, seq: int, span_us: int, items: Sequence[GrantItem]) -> None:
        """Take in what was lent for `span_us` from when it was asked for; only the last request counts."""
        for item in items:
            balance = self._holder.balances.get(item.quota_key)
            if balance is None or not balance.awaits_grant or balance.request_seq != seq or item.granted < 0:
                continue
            self._holder.balance(now, item.quota_key)
            self._accept_grant(now, balance, balance.requested_us + span_us, item)

    @staticmethod
    def _accept_grant(now: int, balance: TokenBalance, until_us: int, item: GrantItem) -> None:
        balance.awaits_grant = False
        if now < until_us:
            balance.available += item.granted
            balance.until_us = until_us
        balance.outstanding = balance.available + balance.reserved
        if item.wait_us:
            exhausted_us = max(MIN_EXHAUSTED_BACKOFF_US, min(MAX_EXHAUSTED_BACKOFF_US, item.wait_us))
            balance.exhausted_until_us = now + exhausted_us
