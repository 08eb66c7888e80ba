"""Admission: creates the record of each arriving request with its estimates, due time and quota status.

The quota status decides whether the request goes to the regular queue or to the reserve queue.
"""

from __future__ import annotations

from ashcross.decisions.context import Context
from ashcross.decisions.estimates import Estimates
from ashcross.decisions.events import RequestReceived
from ashcross.decisions.mpl_controller import MplController
from ashcross.decisions.requests import Request
from ashcross.decisions.token_bucket import TokenBucket

# reason of a rejection, from `Admission.has_time_left`
NO_TIME_LEFT = "no time left on arrival"

# largest burst of a tenant, as seconds of its quota, where there is one instance; see `Admission` for several
TENANT_BURST_S = 2.0


class Admission:
    """Admission of requests, with a token bucket per tenant for this instance's share of the quota.

    An instance receives a random sample of a tenant's requests, and a small sample varies more over time,
    relative to its size, than a large one. The burst, in seconds of quota, therefore grows with the square
    root of the number of instances.
    """

    def __init__(
        self, context: Context, instance_share: float, estimates: Estimates, mpl: MplController
    ) -> None:
        self._classes = context.settings.classes
        self._deadline_margin_us = context.timing.deadline_margin_us
        self._estimates = estimates
        self._mpl = mpl
        burst_s = TENANT_BURST_S / instance_share**0.5
        self._buckets = {
            tenant.name: TokenBucket(tenant.quota_per_s * instance_share, burst_s)
            for tenant in context.settings.tenants
        }

    def admit(self, event: RequestReceived, now: int) -> Request:
        """Return the record of a request that arrived at `now`, and count it in its quotas.

        A request that exceeds the quota of its tenant or of its class has `in_class_quota` False, which sends
        it to the reserve queue.
        """
        class_index = event.class_index
        class_settings = self._classes[class_index]
        estimates = self._estimates.classes[class_index]
        deadline_us = now + event.time_left_us
        fallback_us = class_settings.latency_objective_us * class_settings.slots
        work_us = self._estimates.work_us(event, fallback_us)
        extra_objective_us = int(class_settings.latency_objective_per_work * work_us / class_settings.slots)
        objective_us = class_settings.latency_objective_us + extra_objective_us
        within_tenant_quota = self._take_tenant_token(event.tenant, now)
        request = Request(
            event=event,
            class_settings=class_settings,
            estimates=estimates,
            deadline_us=deadline_us,
            work_us=work_us,
            slow_start_cost_us=max(estimates.mean_work_us, work_us),
            memory_mb=self._estimates.memory_mb(event),
            due_us=min(now + objective_us, deadline_us),
            within_tenant_quota=within_tenant_quota,
            in_class_quota=within_tenant_quota and self._mpl.has_class_quota(class_index),
        )
        self._mpl.request_received(request, now)
        return request

    def _take_tenant_token(self, tenant: str | None, now: int) -> bool:
        """Return whether the request is within its tenant's quota; True for a tenant not in the settings."""
        bucket = self._buckets.get(tenant or "")
        return bucket is None or bucket.take(now)

    def has_time_left(self, request: Request) -> bool:
        """Return whether a periodic update is certain to come before the request's deadline.

        A request for which it is not is answered immediately: the periodic updates end requests before their
        deadlines and might miss this one.
        """
        return request.event.time_left_us > self._deadline_margin_us
