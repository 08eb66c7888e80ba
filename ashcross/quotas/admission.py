"""Mapping of requests to the quotas that count them, and to the key under which each quota does."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b

from ashcross.cluster.token_budget import QuotaKey, QuotaLimit
from ashcross.quotas.quota_language import CountedBy, Quota

KEY_BYTES = (
    8  # two teams with the same hash share a limit, which is stricter; this happens to 1 in 2^64 pairs
)
ALL_TEAMS_KEY = b""  # the only key of a quota that counts all teams together


def limits(quotas: Sequence[Quota]) -> tuple[QuotaLimit, ...]:
    """Return the limits of the cluster's token budgets, in the order of the quotas."""
    return tuple(QuotaLimit(quota.rate, quota.burst, quota.offline_fraction) for quota in quotas)


class QuotaAdmission:
    """The quotas of an operator's file, in the order of the file."""

    def __init__(self, quotas: Sequence[Quota]) -> None:
        self.quotas = tuple(quotas)

    def quota_keys(self, class_name: str, team: str | None) -> tuple[QuotaKey, ...]:
        """Return the budgets of which a request takes one token each; it gets all of these tokens or none."""
        return tuple(
            QuotaKey(number, self._key(quota, team))
            for number, quota in enumerate(self.quotas)
            if quota.counts(class_name)
        )

    @staticmethod
    def _key(quota: Quota, team: str | None) -> bytes:
        """Return the key under which a quota counts a team.

        A team's name may have any length, so its hash is used. All requests without a team count as one team.
        """
        if quota.counted_by is CountedBy.ALL:
            return ALL_TEAMS_KEY
        return blake2b((team or "").encode(), digest_size=KEY_BYTES).digest()
