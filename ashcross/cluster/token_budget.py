"""Token budgets over the whole cluster: what lender and holders have in common.

Escrow (O'Neil, "The Escrow Transactional Method", 1986) under a leader's lease: the leader's account of a
quantity has the tokens that nobody holds, and what each holder may still hold at most. At every instant

    tokens + sum of loans + sum of offline allowances in use <= burst

and all together grow by `rate` at most, so what the whole cluster spends in any span t is at most
burst + rate x t (docs/cluster.md, "Budgets", with the proof). A loan ends by itself, on the holder's clock
before it does on the leader's. A holder counts whole tokens.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

RESERVED_BURST_DIVISOR = 4  # one part in so many of a burst may be tokens that could still be given back
MAX_BUDGETS = 65_536  # that one process holds, or keeps accounts of
EVICTION_SCAN = 64  # those used longest ago that are looked at to make room for another


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """What a quota allows each key.

    `rate` tokens a second, `burst` at once; `offline_fraction` of both is for members without a leader.
    """

    rate: float
    burst: float
    offline_fraction: float


class QuotaKey(NamedTuple):
    """A quantity: the quota's number, and the key of whom it counts."""

    quota: int
    key: bytes


class HolderId(NamedTuple):
    """A holder: the member's number, and which process of it."""

    member: int
    incarnation_id: int
