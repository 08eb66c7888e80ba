"""Capacity: this instance's share of each engine's cores and memory, and whether a request fits into it.

"Ours" means of this dispatcher instance. Every instance has an equal share of each engine, 1 / number of
instances.
"""

from __future__ import annotations

from ashcross.decisions.context import Context
from ashcross.decisions.engine_load import MEMORY_GRANTED, EngineLoads
from ashcross.decisions.engine_table import EngineTable
from ashcross.decisions.engines import Engine
from ashcross.decisions.events import AttemptCompleted
from ashcross.decisions.mpl_controller import MplController
from ashcross.decisions.outlier_detection import OutlierDetection
from ashcross.decisions.requests import Attempt, Request
from ashcross.decisions.utilisation import MAXIMUM_LEVEL, TARGET_HIGH


class Capacity:
    """Tracks the slots and memory that our attempts use on each engine and in total, against our share."""

    def __init__(
        self,
        context: Context,
        engines: EngineTable,
        mpl: MplController,
        loads: EngineLoads,
        outliers: OutlierDetection,
    ) -> None:
        settings = context.settings
        self._settings = settings
        self._maximum_credit_span_us = context.timing.report_max_age_us
        self._engines = engines
        self._mpl = mpl
        self._loads = loads
        self._outliers = outliers
        self._memory_is_reported = MEMORY_GRANTED in settings.load_report_fields
        self.instance_share = 1.0 / max(1, settings.instance_count)
        self._narrowest_slots = min(class_settings.slots for class_settings in settings.classes)
        self._cores = 0.0  # our share of the cores of all ready engines
        self._memory_mb = 0.0  # our share of their memory
        self._memory_in_use_mb = 0.0  # by all our attempts in flight
        self._attempts_in_flight = 0
        # slot time (us) earned less charged, over all engines; below 0 it is a debt; see `_earn_slot_credit`
        self._slot_credit_us = 0.0

    def cores_of(self, engine: Engine, now: int) -> float:
        """Return our share of an engine's cores; it grows from a fraction of that during slow start."""
        initial_share = self._settings.slow_start_initial_share
        progress = engine.slow_start_progress(now, self._settings.slow_start_us)
        return engine.cores * self.instance_share * (initial_share + (1 - initial_share) * progress)

    def has_capacity_for(self, request: Request, engine: Engine, now: int) -> bool:
        """Return whether the request's slots and memory fit on the engine.

        An ejected engine has room only for a probation request that is due. On any other engine the memory
        must fit, and the slots are tested in this order:

        1. With this request, our slots are within the multiprogramming level: it fits.
        2. The load of the engine is below TARGET_HIGH: it fits while our slots without it are below
           MAXIMUM_LEVEL of our share of the cores and of the cores that load reports show as idle, so one
           request may exceed that bound. Any instance may use idle cores: if each kept to its share, the
           shares of instances without requests would be left unused.
        3. The level is below the slots of the narrowest class: the pooled slot credit decides.
        4. The request has more slots than the level: it fits once the engine has been free of our requests
           long enough. Any other request waits until slots of ours are free.
        """
        slots = request.class_settings.slots
        if engine.outlier.ejected:
            return self._outliers.may_start_probation_request(engine, slots, now)
        usage = engine.usage
        # the part of the engine's capacity, up to TARGET_HIGH, that load reports show as idle
        idle_fraction = max(0.0, TARGET_HIGH - engine.load.estimate) * self._loads.reports_weight
        if not self._has_memory_for(request, engine, idle_fraction):
            return False
        cores = self.cores_of(engine, now)
        level = self._mpl.level * cores
        if usage.slots + slots <= level:
            return True
        if engine.load.estimate < TARGET_HIGH:
            return usage.slots < MAXIMUM_LEVEL * (cores + idle_fraction * engine.cores)
        if level < self._narrowest_slots:
            # Our share of this engine is less than the class with the fewest slots needs, so nothing could
            # ever start here. The shares of all engines are pooled instead: they earn slot time, each attempt
            # is charged its slot time, and a request may start unless more was charged than earned.
            return self._slot_credit_us >= 0.0
        # A request with more slots than the level would never fit. It starts on an engine that has run
        # nothing of ours for so long that our average use, idle time included, stays at the level.
        idle_us = request.expected_run_us() * (slots / level - 1)
        return slots > level and not usage.slots and now - usage.idle_since_us >= idle_us

    def _has_memory_for(self, request: Request, engine: Engine, idle_fraction: float) -> bool:
        """Return whether the request's memory fits into our share of the engine and of all ready engines.

        A request larger than our share of an engine may run there if no other request of ours uses memory.
        The total is checked too, since one such request on each engine would exceed our share of all the
        memory. While none of our requests uses any memory, one of any size may run.
        """
        usable_fraction = TARGET_HIGH
        if self._memory_is_reported:
            # idle_fraction is a fraction of the whole engine, usable_fraction one of our share of it
            usable_fraction += idle_fraction / self.instance_share
        needed_mb = request.memory_mb
        used_mb = engine.usage.memory_mb
        if used_mb and used_mb + needed_mb > usable_fraction * (engine.memory_mb * self.instance_share) > 0:
            return False
        used_mb = self._memory_in_use_mb
        return not (used_mb and used_mb + needed_mb > usable_fraction * self._memory_mb > 0)

    def attempt_started(self, request: Request, attempt: Attempt, now: int) -> None:  # noqa: ARG002 (observer)
        """Count the slots and memory that an attempt occupies, and charge its expected slot time."""
        usage = attempt.engine.usage
        class_settings = request.class_settings
        table_group = request.event.table_group
        usage.slots += class_settings.slots
        usage.memory_mb += request.memory_mb
        self._memory_in_use_mb += request.memory_mb
        self._attempts_in_flight += 1
        self._slot_credit_us -= attempt.expected_us * class_settings.slots
        if class_settings.loads_tables:
            usage.table_loads[table_group] = usage.table_loads.get(table_group, 0) + 1

    def attempt_completed(
        self, request: Request, attempt: Attempt, event: AttemptCompleted, now: int
    ) -> None:
        """Release the slots and memory of an attempt, and correct its charge to the slot time it took.

        A memory sum is set to zero when its last attempt ends, so that rounding errors do not add up.
        """
        usage = attempt.engine.usage
        class_settings = request.class_settings
        usage.slots -= class_settings.slots
        usage.idle_since_us = now
        usage.memory_mb = usage.memory_mb - attempt.memory_mb if usage.slots else 0.0
        self._attempts_in_flight -= 1
        self._memory_in_use_mb -= attempt.memory_mb
        if not self._attempts_in_flight:
            self._memory_in_use_mb = 0.0
        self._slot_credit_us += (attempt.expected_us - event.latency_us) * class_settings.slots
        if class_settings.loads_tables:
            usage.table_loads[request.event.table_group] -= 1

    def review(self, ready: list[Engine], span_us: int, now: int) -> None:
        """Update our share of all ready engines, record the utilisation and earn slot credit for `span_us`.

        Without recent load reports, the utilisation is that of our own slots against MAXIMUM_LEVEL.
        """
        self._cores = sum(self.cores_of(engine, now) for engine in ready)
        self._memory_mb = sum(engine.memory_mb for engine in ready) * self.instance_share
        utilisation = self._loads.reported_utilisation(ready)
        if utilisation is None:
            slots = sum(engine.usage.slots for engine in ready)
            utilisation = slots / (MAXIMUM_LEVEL * self._cores)
        self._mpl.record_utilisation(utilisation)
        self._earn_slot_credit(span_us)

    def _earn_slot_credit(self, span_us: int) -> None:
        """Add the slot time that our share earns in `span_us` at the current level.

        A debt is cancelled while the load of the fleet is below TARGET_HIGH: attempts may exceed the level
        then, so they must not delay later requests. The credit is at most what is earned in
        `report_max_age_us`, the time for which a load report counts.
        """
        earned_slots = self._mpl.level * self._cores
        credit_us = self._slot_credit_us
        if self._loads.fleet_load < TARGET_HIGH:
            credit_us = max(0.0, credit_us)
        maximum_us = earned_slots * self._maximum_credit_span_us
        self._slot_credit_us = min(maximum_us, credit_us + earned_slots * span_us)

    def slot_step(self) -> float:
        """Return the change of level that equals one slot on each engine; 0 before the first review."""
        return len(self._engines.by_name) / self._cores if self._cores else 0.0
