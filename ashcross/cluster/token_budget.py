"""Token budgets that the whole cluster shares: the types and constants common to lender and holders.

A budget is one quota as counted for one key (`QuotaKey`); a request spends one token of each budget that it
falls under. Budgets work like escrow (O'Neil, "The Escrow Transactional Method", 1986) under a leader lease.
The leader's account of a budget has the tokens that nobody holds, and for each holder the most that it may
still hold. At every instant

    tokens + sum of loans + sum of offline allowances in use <= burst

and the sum grows by at most `rate` tokens a second, so the whole cluster spends at most burst + rate x t in
any span of t seconds (docs/cluster.md, "Budgets", has the proof). A loan ends by itself, on the holder's
clock before it does on the leader's. A holder counts whole tokens.

Members that a partition cuts off from the leader can spend

- what is left of their loans, until these end: within `lease_us / LOANS_PER_LEASE` of the request; and
- their offline allowances, from when their own promises to the leader have ended. The allowance of a member
  is `offline_fraction` of the quota divided by the number of listed members, in burst as in rate, and it
  begins empty. Allowances are spent as whole tokens, so one whose cap (burst x offline_fraction / number of
  members) is below 1 is never spent. The leader lends nobody the allowance of a member without an active
  promise.

A leader that is cut off from the majority lends until its lease ends, which it cannot extend, and the
majority elects another leader after that.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

RESERVED_BURST_DIVISOR = 4  # tokens up to burst / 4 are treated as few: see `TokenHolder.report`
MAX_BUDGETS = 65_536  # budgets of which one process keeps balances as holder, or accounts as leader
EVICTION_SCAN = 64  # least recently used budgets that are examined to make room for another


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """What a quota allows each key in the whole cluster."""

    rate: float  # tokens a second, 0 or more
    burst: float  # tokens at once
    offline_fraction: float  # share of rate and burst, 0 to 1, set aside for members without a leader


class QuotaKey(NamedTuple):
    """A budget: a quota, and the key for which it counts."""

    quota: int  # the quota's position in the operator's file, from 0
    key: bytes  # the hash of a team's name; empty for a quota that counts all teams together


class HolderId(NamedTuple):
    """A process that holds loans."""

    member: int  # its position in the list of members, from 0
    incarnation_id: int  # a random number that distinguishes it from other processes of the same member
