"""Watch requests for the endpoint list, if the settings require that the scheduler asks its host for it."""

from __future__ import annotations

from ashcross.decisions.actions import WatchEndpointList
from ashcross.decisions.context import Context
from ashcross.decisions.events import EndpointListKind, EndpointListUpdate
from ashcross.decisions.timing import LONG_AGO_US

# watch requests within the maximum age of the endpoint list; at this rate the list does not become too old
# for rule 3 (drains kept)
RENEWALS_PER_MAX_AGE = 4


class EndpointWatchRenewal:
    """Watch requests, repeated until an update arrives and again after a failed or stale update."""

    def __init__(self, context: Context) -> None:
        self.required = context.settings.must_watch_endpoint_list
        self._interval_us = context.settings.endpoint_list_max_age_us / RENEWALS_PER_MAX_AGE
        self._actions = context.actions
        self._watching = False
        self._renewed_us = LONG_AGO_US

    def update_received(self, event: EndpointListUpdate) -> None:
        """Record whether the watch is active, which only a complete list or a change of it shows."""
        self._watching = event.kind in (EndpointListKind.DELTA, EndpointListKind.FULL)

    def renew_if_due(self, now: int) -> None:
        """Request a watch if none is active and the last request was long enough ago."""
        if self.required and not self._watching and now - self._renewed_us >= self._interval_us:
            self._renewed_us = now
            self._actions.append(WatchEndpointList(True))
