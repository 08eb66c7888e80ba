"""The quotas that count a request, and their limits."""

from __future__ import annotations

from ashcross.quotas.admission import QuotaAdmission, limits
from ashcross.quotas.quota_language import parse


def test_quotas_count_requests_by_class_and_team() -> None:
    quotas = parse("quota a { per team count x, y limit 60 in 1min burst 3 } quota all { limit 5 in 1s }")
    assert [limit.rate for limit in limits(quotas)] == [1.0, 5.0]
    assert limits(quotas)[1].burst == 5.0
    quota_keys = QuotaAdmission(quotas).quota_keys
    assert len(quota_keys("x", "acme")) == 2
    assert quota_keys("z", "acme") == quota_keys("z", None) == ((1, b""),)
    assert quota_keys("x", "acme") != quota_keys("x", "other")
