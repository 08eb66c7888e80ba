"""Placement: the rules on which engines a request may be sent to, independent of their load."""

from __future__ import annotations

from collections.abc import Iterator

from ashcross.decisions.events import Endpoint
from ashcross.decisions.requests import Attempt, Request
from ashcross.decisions.settings import ClassSettings, DeduplicationScope, RetrySafety

# a start time may be wrong by this much, as the clocks of two machines differ (`Endpoint.start_is_certain`)
START_TOLERANCE_US = 1_000_000


def is_allowed(class_settings: ClassSettings, endpoint: Endpoint) -> bool:
    """Return whether the engine is in an allowed zone and of an allowed kind: rule 6 (placement).

    An empty list allows all.
    """
    zones = class_settings.allowed_zones
    if zones and endpoint.zone not in zones:
        return False
    kinds = class_settings.allowed_engine_kinds
    return not kinds or endpoint.engine_kind in kinds


def keeps_deduplication_scope(request: Request, endpoint: Endpoint, connect_timeout_us: int) -> bool:
    """Return whether the engine would drop a repeat of the request: rule 2 (no effect happens twice).

    This matters for requests with an idempotency key whose earlier attempts may have executed: engines
    outside of the deduplication scope of those attempts do not know the key. `connect_timeout_us` is how long
    after the decision to start it an attempt may connect.
    """
    class_settings = request.class_settings
    scope = class_settings.deduplication_scope
    if class_settings.retry_safety is not RetrySafety.IDEMPOTENT_WITH_KEY or scope is DeduplicationScope.ALL:
        return True
    return all(
        _is_in_scope(scope, possible_endpoint, endpoint)
        for attempt in request.attempts
        if attempt.may_have_executed
        for possible_endpoint in _possible_endpoints(attempt, connect_timeout_us)
    )


def _is_in_scope(scope: DeduplicationScope, earlier: Endpoint, endpoint: Endpoint) -> bool:
    if earlier.zone != endpoint.zone:
        return False
    return scope is not DeduplicationScope.CELL or earlier.cell == endpoint.cell


def _possible_endpoints(attempt: Attempt, connect_timeout_us: int) -> Iterator[Endpoint]:
    """Yield the processes that an attempt may have reached: its engine, and later ones at the same address.

    A process may have replaced the engine before the endpoint list said so. One that started after the
    attempt had connected cannot have got it.
    """
    yield attempt.engine.endpoint
    connected_by_us = attempt.started_us + connect_timeout_us + START_TOLERANCE_US
    successor = attempt.engine.successor
    while successor is not None:
        endpoint = successor.endpoint
        if endpoint.start_us <= connected_by_us or not endpoint.start_is_certain:
            yield endpoint
        successor = successor.successor
