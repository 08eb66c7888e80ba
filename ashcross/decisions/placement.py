"""Placement: the rules on which engines a request may be sent to, independent of their load."""

from __future__ import annotations

from ashcross.decisions.events import Endpoint
from ashcross.decisions.requests import Request
from ashcross.decisions.settings import ClassSettings, DeduplicationScope, RetrySafety


def is_allowed(class_settings: ClassSettings, endpoint: Endpoint) -> bool:
    """Return whether the engine is in an allowed zone and of an allowed kind: rule 6 (placement).

    An empty list allows all.
    """
    zones = class_settings.allowed_zones
    if zones and endpoint.zone not in zones:
        return False
    kinds = class_settings.allowed_engine_kinds
    return not kinds or endpoint.engine_kind in kinds


def keeps_deduplication_scope(request: Request, endpoint: Endpoint) -> bool:
    """Return whether the engine would drop a repeat of the request: rule 2 (no effect happens twice).

    This matters for requests with an idempotency key whose earlier attempts may have executed: engines
    outside of the deduplication scope of those attempts do not know the key.
    """
    class_settings = request.class_settings
    scope = class_settings.deduplication_scope
    if class_settings.retry_safety is not RetrySafety.IDEMPOTENT_WITH_KEY or scope is DeduplicationScope.ALL:
        return True
    for attempt in request.attempts:
        if not attempt.may_have_executed:
            continue
        earlier_endpoint = attempt.engine.endpoint
        if earlier_endpoint.zone != endpoint.zone:
            return False
        if scope is DeduplicationScope.CELL and earlier_endpoint.cell != endpoint.cell:
            return False
    return True
