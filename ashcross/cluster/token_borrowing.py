"""The borrower's part of a node: requests the needed tokens from the leader, and accepts its grants."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ashcross.cluster.messages import GrantItem, RequestItem
from ashcross.cluster.token_budget import QuotaKey
from ashcross.cluster.token_holder import TokenBalance, TokenHolder

MAX_REQUEST_ITEMS = 32  # budgets in one request
REQUEST_RETRY_US = 60_000  # a request that has no answer after this time is repeated
PREFETCH_S = 0.3  # seconds of demand for which tokens are requested in advance
# bounds of the time for which a budget counts as exhausted after the leader reported a wait for its tokens
MIN_EXHAUSTED_BACKOFF_US = 20_000
MAX_EXHAUSTED_BACKOFF_US = 500_000


class TokenBorrowing:
    """Collects the budgets that need tokens and groups them into few requests."""

    def __init__(self, holder: TokenHolder) -> None:
        self._holder = holder
        self._needed: dict[QuotaKey, None] = {}  # in the order in which the need arose
        self._seq = 0  # the number of the last request; kept over changes of leader

    @property
    def needs_tokens(self) -> bool:
        """Whether tokens of any budget are to be requested."""
        return bool(self._needed)

    def mark_needed(self, quota_key: QuotaKey) -> None:
        """Record that tokens of this budget are to be requested."""
        self._needed[quota_key] = None

    def due_requests(
        self, now: int, waiting_count: Callable[[QuotaKey], int]
    ) -> list[tuple[RequestItem, ...]]:
        """Return the items of each request to make now.

        `waiting_count` returns how many charges wait for a token of a budget.
        """
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
        """Return whether a request would be futile: the leader has reported that no tokens accrue yet.

        A request is still of use if the tokens that this process has to report as spent block the refill.
        """
        return now < balance.exhausted_until_us and not self._holder.blocks_refill(quota_key, balance)

    @staticmethod
    def _wanted(now: int, balance: TokenBalance, waiting: int) -> int:
        prefetched = int(balance.demand(now) * PREFETCH_S)
        return max(0, waiting + prefetched - balance.available)

    def begin_request(self, now: int, items: Sequence[RequestItem]) -> int:
        """Record that a request with these items is made now; return its number, which its answer repeats."""
        self._seq += 1
        for item in items:
            balance = self._holder.balances[item.quota_key]
            balance.request_seq = self._seq
            balance.requested_us = now
            balance.awaits_grant = True
        return self._seq

    def accept_grants(self, now: int, seq: int, span_us: int, items: Sequence[GrantItem]) -> None:
        """Add granted tokens to their balances; a grant for any but the last request of a budget is ignored.

        The loans last `span_us` from when they were requested.
        """
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
