"""Settings of a scheduler, fixed at its start: classes, engine kinds, tenants and limits.

Times are integer microseconds. Work is the time that a query would take on one slot. Classes are numbered in
the order of the settings. Prices are shares of the priority weight of all requests together.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RetrySafety(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENT_WITH_KEY = "idempotent_with_key"  # engines drop repeats of its idempotency key
    NOT_IDEMPOTENT = "not_idempotent"


class DeduplicationScope(Enum):
    """Engines that drop each other's repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class MemoryShortagePolicy(Enum):
    """Behaviour of an engine whose memory grants would exceed its memory."""

    WAIT = "wait"
    SHRINK = "shrink"
    PAGE = "page"


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """Settings of one class of queries."""

    retry_safety: RetrySafety
    deduplication_scope: DeduplicationScope
    repeat_window_us: int  # time for which engines remember an idempotency key
    latency_objective_us: int
    latency_objective_per_work: float  # us added to the latency objective for each us of work per slot
    give_up_after_us: int  # clients wait no longer than this
    priority_weight: float
    late_value_share: float  # value of an answer after the latency objective, 0 to 1; in time: 1
    slots: int  # slots that one query occupies on an engine
    loads_tables: bool  # its queries load a table group
    waits_for_table_loads: bool  # its queries wait while their table group is loaded
    ordered: bool  # queries with the same ordering key run one at a time
    allowed_zones: tuple[str, ...]  # empty: all are allowed
    allowed_engine_kinds: tuple[str, ...]  # empty: all are allowed


@dataclass(frozen=True, slots=True)
class EngineKindSettings:
    """One kind of engine machine."""

    name: str
    cores: float
    memory_mb: float


@dataclass(frozen=True, slots=True)
class TenantSettings:
    """Quota of one tenant, over all dispatchers together."""

    name: str
    quota_per_s: float  # requests per second


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """All settings of one dispatcher's scheduler; zero and empty values mean that there is none."""

    classes: tuple[ClassSettings, ...]  # at least one
    engine_kinds: tuple[EngineKindSettings, ...]
    tenants: tuple[TenantSettings, ...]
    instance_index: int  # number of this dispatcher, from 0
    instance_count: int  # dispatchers that share the engines
    zone: str  # zone of this dispatcher
    time_step_us: int  # timers may be late by up to this
    must_watch_endpoint_list: bool  # the scheduler has to request the watch itself
    cancel_allowed: bool
    hedging_allowed: bool  # two attempts of a request may be in flight at once
    retry_after_allowed: bool
    max_retry_after_us: int
    max_attempts: int
    health_checks_allowed: bool
    load_report_fields: tuple[str, ...]
    load_reports_in_answers: bool
    memory_grants_apply: bool
    priorities_apply: bool
    max_grant_share: float  # largest memory grant of one query, as a share of the engine's memory
    memory_shortage_policy: MemoryShortagePolicy
    cross_zone_price: float  # price of an attempt in another zone than this dispatcher's
    connection_price: float  # price of new connections, if each first attempt opens one
    health_check_price: float  # price of health checks, if there is one for each first attempt
    connection_idle_us: int  # a connection without attempts is closed after this time
    connect_timeout_us: int  # an attempt may reach its engine this long after the decision to start it
    drain_grace_us: int  # attempts may still be sent to an engine for this long after the notice of its drain
    slow_start_initial_share: float  # share of its capacity that a starting engine has, 0 to 1
    slow_start_us: int  # time from the start of an engine to its full capacity
    overload_threshold: float  # load at which a starting engine fails, as a multiple of its current capacity
    overload_window_us: int  # time for which such a load has to last until the engine fails
    endpoint_list_max_age_us: int
    ordering_quiet_us: int  # no request of a key starts for this time after an attempt that might still run
    retry_budget_window_us: int
    retry_budget_base: float  # retries allowed in a window
    retry_budget_ratio: float  # further retries allowed for each request received in the window
