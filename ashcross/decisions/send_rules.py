"""Rules for sending: whether an attempt may begin, and whether a request may be retried or rejected.

All functions are pure. The scheduler calls `may_retry` and `rejection_is_safe` before it decides. The host
calls `denial`, with the state of its connections, right before it writes the first byte of an attempt. If
something has changed since the decision, the attempt is skipped. A denial that the decision should have ruled
out is a violation (`Denial.expected` is False) and is counted as one.

Times are microseconds of one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from ashcross.decisions.events import AttemptOutcome
from ashcross.decisions.settings import ClassSettings, DeduplicationScope, RetrySafety

# outcomes which prove that the engine did not execute the attempt
NOT_EXECUTED = (AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class AttemptFacts:
    """Facts about an attempt and its request at the moment in which the attempt would begin."""

    request_is_over: bool
    attempt_is_completed: bool
    expires_us: int  # from this time on the attempt is of no use
    deadline_us: int  # the client waits no longer than this
    engine_is_ready: bool  # False also if another process has replaced the chosen one
    list_is_fresh: bool
    attempt_number: int
    maximum_attempts: int
    other_attempts_in_flight: int  # attempts of the same request that have begun and have no outcome yet
    hedging_allowed: bool  # two attempts of the request may be in flight together
    shares_connection: bool  # another begun attempt of the same request is on this connection
    class_settings: ClassSettings | None
    first_executed_us: int | None  # start of the first earlier attempt that may have executed


@dataclass(frozen=True, slots=True)
class Denial:
    """Reason for which an attempt may not begin."""

    reason: str
    expected: bool = True  # a change since the decision can cause it; False: the decision was wrong


# denials that mean a wrong decision, from `_wrong_decision`
TOO_MANY_ATTEMPTS = Denial("more attempts than allowed", expected=False)
HEDGING_NOT_ALLOWED = Denial("another attempt in flight", expected=False)
CONNECTION_SHARED = Denial("earlier attempt on the same connection", expected=False)
EXPIRES_AFTER_DEADLINE = Denial("attempt outlives its client's deadline", expected=False)
UNSAFE_RETRY = Denial("retry of a request that is not idempotent and may have executed", expected=False)

# denials that mean a change since the decision, from `_changed_since`
REQUEST_OVER = Denial("request over")
ATTEMPT_COMPLETED = Denial("attempt completed or cancelled")
ATTEMPT_EXPIRED = Denial("attempt expired")
ENGINE_NOT_READY = Denial("engine not ready")
ENDPOINT_LIST_STALE = Denial("endpoint list stale")
REPEAT_WINDOW_OVER = Denial("repeat window over")


def denial(facts: AttemptFacts, now: int) -> Denial | None:
    """Return the first rule that forbids the attempt to begin at `now`; None if it may begin."""
    return _wrong_decision(facts) or _changed_since(facts, now)


def _wrong_decision(facts: AttemptFacts) -> Denial | None:
    if facts.attempt_number >= facts.maximum_attempts:
        return TOO_MANY_ATTEMPTS
    if facts.other_attempts_in_flight and not facts.hedging_allowed:
        return HEDGING_NOT_ALLOWED
    if facts.shares_connection:
        return CONNECTION_SHARED
    if facts.expires_us > facts.deadline_us:
        return EXPIRES_AFTER_DEADLINE
    class_settings = facts.class_settings
    not_idempotent = class_settings is not None and class_settings.retry_safety is RetrySafety.NOT_IDEMPOTENT
    if not_idempotent and facts.first_executed_us is not None:
        return UNSAFE_RETRY
    return None


def _changed_since(facts: AttemptFacts, now: int) -> Denial | None:
    if facts.request_is_over:
        return REQUEST_OVER
    if facts.attempt_is_completed:
        return ATTEMPT_COMPLETED
    if now >= facts.expires_us:
        return ATTEMPT_EXPIRED
    if not facts.engine_is_ready:
        return ENGINE_NOT_READY
    if not facts.list_is_fresh:
        return ENDPOINT_LIST_STALE
    if facts.class_settings is not None and not may_retry(facts.class_settings, facts.first_executed_us, now):
        return REPEAT_WINDOW_OVER
    return None


def may_retry(
    class_settings: ClassSettings, first_executed_us: int | None, now: int, window_share: float = 1.0
) -> bool:
    """Return whether rule 2 (no effect happens twice) allows another attempt of a request.

    `first_executed_us` is the start of the first attempt that may have executed, None if there is none.
    `window_share` is the share of the class's repeat window, 0 to 1, in which retries are allowed.
    """
    if first_executed_us is None or class_settings.retry_safety is RetrySafety.IDEMPOTENT:
        return True
    return (
        class_settings.retry_safety is RetrySafety.IDEMPOTENT_WITH_KEY
        and now - first_executed_us <= window_share * class_settings.repeat_window_us
    )


def rejection_is_safe(
    class_settings: ClassSettings,
    first_executed_us: int | None,
    retry_us: int,
    window_share: float = 1.0,
) -> bool:
    """Return whether rule 2 (no effect happens twice) allows to tell the client that a retry does no harm.

    The client's retry may reach any engine. With an idempotency key it is only safe if all engines
    deduplicate together, and until the repeat window is over: `retry_us` is the time of the latest attempt to
    which the rejection invites, not that of the rejection. The other parameters are those of `may_retry`.
    """
    if first_executed_us is None:
        return True
    safe_on_any_engine = (
        class_settings.retry_safety is RetrySafety.IDEMPOTENT
        or class_settings.deduplication_scope is DeduplicationScope.ALL
    )
    return safe_on_any_engine and may_retry(class_settings, first_executed_us, retry_us, window_share)
