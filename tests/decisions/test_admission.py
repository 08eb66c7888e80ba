"""Admission: the share of a tenant's quota that one instance enforces, and its burst."""

from __future__ import annotations

from ashcross.decisions.settings import TenantSettings
from tests.harness.decision_model import LOOKUP, SchedulerTestBed, make_settings


def test_request_over_tenant_quota_goes_to_reserve_queue() -> None:
    tenants = (TenantSettings("a", 5.0), TenantSettings("b", 100.0))
    bed = SchedulerTestBed(make_settings(LOOKUP, tenants=tenants), engines=2)
    for _ in range(20):
        bed.receive(tenant="a")
    bed.receive(tenant="b")
    within = [request.within_tenant_quota for request in bed.scheduler.table.requests.values()]
    assert within == [True] * 10 + [False] * 10 + [True]  # a burst of 2 s at 5 requests per second
    bed.receive(tenant="unknown tenant")
    assert bed.scheduler.table.requests["r21"].within_tenant_quota


def test_burst_grows_with_the_square_root_of_the_instance_count() -> None:
    # Each of 100 instances has a quota of one request per second. A burst of two requests would reject random
    # arrivals of a tenant that is within its quota.
    tenants = (TenantSettings("a", 100.0),)
    bed = SchedulerTestBed(make_settings(LOOKUP, tenants=tenants, instance_count=100), engines=2)
    for _ in range(30):
        bed.receive(tenant="a")
    within = [request.within_tenant_quota for request in bed.scheduler.table.requests.values()]
    assert within == [True] * 20 + [False] * 10  # 2 s of quota, times the root of 100
