"""Records of one engine process. Each record or field is changed by a single module."""

from __future__ import annotations

from dataclasses import dataclass, field
from zlib import crc32

from ashcross.decisions.events import Endpoint
from ashcross.decisions.timing import LONG_AGO_US

PRIOR_SAMPLES = 3.0  # weight, in attempts, of the initial assumption that an engine is as fast as expected


@dataclass(eq=False, slots=True)
class EngineUsage:
    """What our own attempts in flight use on an engine; changed by `capacity`."""

    slots: int = 0
    memory_mb: float = 0.0
    idle_since_us: int = LONG_AGO_US  # when one of our attempts last ended
    table_loads: dict[int, int] = field(default_factory=dict)  # table loads in flight, by table group


@dataclass(eq=False, slots=True)
class OutlierStatus:
    """Outcome samples of an engine, and whether it is ejected; changed by `outlier_detection`.

    A sample is the latency of an attempt divided by its expected latency.
    """

    sample_sum: float = PRIOR_SAMPLES
    sample_count: float = PRIOR_SAMPLES
    overdue_sum: float = 0.0  # samples so far of attempts in flight that exceed their expected latency
    overdue_count: int = 0
    slowness: float = 1.0  # mean of all samples, with those of overdue attempts
    relative_slowness: float = 1.0  # slowness divided by that of the median engine
    ejected: bool = False
    next_probation_us: int = 0
    probation_interval_us: int = 0


@dataclass(eq=False, slots=True)
class EngineLoad:
    """The last load report of an engine and the estimated load; changed by `engine_load`."""

    reported_cpu: float = 0.0  # share of its cores that are busy, 0 to 1
    reported_load: float = 0.0  # share in use of its scarcest resource, or queries per core if more
    report_weight: float = 0.0  # 1 for a new report, decays with its age; 0 without a report
    estimate: float = 0.0  # load from its report and, as that ages, from the load of the fleet


@dataclass(eq=False, slots=True)
class Engine:
    """One engine process as this dispatcher knows it."""

    endpoint: Endpoint
    cores: float
    memory_mb: float
    ready: bool = False  # listed as ready for new attempts; changed by `engine_table`
    usage: EngineUsage = field(default_factory=EngineUsage)
    outlier: OutlierStatus = field(default_factory=OutlierStatus)
    load: EngineLoad = field(default_factory=EngineLoad)
    health_checked_us: int = LONG_AGO_US  # start of the last health check; changed by `health_checks`
    hash_seed: int = 0  # CRC-32 of its name: unlike `hash`, the same in all dispatcher processes
    successor: Engine | None = None  # the next process that was listed at its address; set by `engine_table`

    def __post_init__(self) -> None:
        """Compute the hash seed from the engine's name."""
        self.hash_seed = crc32(self.endpoint.name.encode())

    def slow_start_progress(self, now: int, slow_start_us: int) -> float:
        """Return the share of the slow start that has passed, 0 to 1.

        It is 1 after the slow start and for an engine without a listed start time, which has run for long.
        """
        if self.endpoint.boot_us <= 0 or now - self.endpoint.start_us >= slow_start_us:
            return 1.0
        return max(0.0, (now - self.endpoint.start_us) / slow_start_us)

    def process_key(self) -> tuple[str, int]:
        """Return a key that differs between engine processes, also between two of the same engine name."""
        return self.endpoint.name, self.endpoint.boot_us
