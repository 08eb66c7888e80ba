"""Token bucket: limits a rate with a bounded burst."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf


@dataclass(eq=False, slots=True)
class TokenBucket:
    """Bucket that fills at `rate_per_s` and holds at most the tokens of `burst_s` seconds; it starts full."""

    rate_per_s: float
    burst_s: float
    tokens: float = inf
    refilled_us: int = 0

    def take(self, now: int) -> bool:
        """Take one token; return whether there was one."""
        refill = (now - self.refilled_us) * self.rate_per_s / 1e6
        self.tokens = min(self.rate_per_s * self.burst_s, self.tokens + refill)
        self.refilled_us = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
