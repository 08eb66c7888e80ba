"""Engine selection: chooses the engine with the lowest cost among a few that can take the request.

An engine can take a request if the rules allow it (`send_checks`) and our share of it has room (`capacity`).
"""

from __future__ import annotations

from math import inf

from ashcross.decisions.capacity import Capacity
from ashcross.decisions.context import Context
from ashcross.decisions.engine_table import EngineTable
from ashcross.decisions.engines import Engine
from ashcross.decisions.requests import Request
from ashcross.decisions.send_checks import SendChecks
from ashcross.decisions.table_affinity import TableAffinity
from ashcross.decisions.utilisation import MAXIMUM_LEVEL

# Number of engines whose costs are compared for one choice: this many, or, if there are more ready engines
# than instances, this many for each engine of our equal share of them. If all instances compared more, they
# would all choose the engine that the latest load report shows as least loaded.
COMPARED_ENGINES = 4
# Of the engines that probably hold the request's tables, this many are compared first.
PREFERRED_ENGINES = COMPARED_ENGINES // 2

# The unit of costs is the load of an engine: 1.0 for an engine that is full.
WARM_TABLES_FACTOR = 0.8  # for an engine that probably holds the request's tables
# Added for each table load of ours that would delay the request, and where its last attempt failed.
PENALTY = MAXIMUM_LEVEL
# Multiplies the price of a new connection, by which the cost of an engine rises if connections to it have
# probably been closed as idle. Many engines have equal costs but for this price, so it often decides which
# engine is chosen.
NEW_CONNECTION_FACTOR = 4.0


class EngineSelection:
    """Chooses an engine for a request."""

    def __init__(
        self,
        context: Context,
        engines: EngineTable,
        checks: SendChecks,
        capacity: Capacity,
        affinity: TableAffinity,
    ) -> None:
        settings = context.settings
        self._zone = settings.zone
        self._other_zone_factor = 1.0 + settings.cross_zone_price
        self._new_connection_factor = 1.0 + NEW_CONNECTION_FACTOR * settings.connection_price
        self._connection_reuse_us = settings.connection_idle_us / 2
        self._random = context.random
        self._engines = engines
        self._checks = checks
        self._capacity = capacity
        self._affinity = affinity

    def choose(self, request: Request, now: int) -> Engine | None:
        """Return the engine with the lowest cost among those compared; None if none can take the request now.

        In a large fleet, engines to which a connection is open are compared first, and others only if none of
        those can take the request: otherwise nearly every request would open a connection.
        """
        ready = self._engines.ready
        if not self._checks.may_start(request, now) or not ready:
            return None
        if self._engines.is_large():
            recent = self._engines.recently_used(request.failed_on)
            best = self._cheapest(request, now, recent, [], COMPARED_ENGINES)
            if best is not None:
                return best
        preferred = self._affinity.preferred_engines(request, ready)
        start = self._random.randrange(len(ready))
        compared_count = max(COMPARED_ENGINES, COMPARED_ENGINES * len(ready) * self._capacity.instance_share)
        preferred_sample = self._random.sample(preferred, min(PREFERRED_ENGINES, len(preferred)))
        candidates = [*preferred_sample, *ready[start:], *ready[:start]]
        return self._cheapest(request, now, candidates, preferred, compared_count)

    def _cheapest(
        self,
        request: Request,
        now: int,
        candidates: list[Engine],
        preferred: list[Engine],
        compared_count: float,
    ) -> Engine | None:
        """Return the engine with the lowest cost of the first `compared_count` suitable candidates.

        `preferred` are the engines that probably hold its tables. Returns None if no candidate is suitable.
        """
        may_send_to = self._checks.may_send_to
        has_capacity_for = self._capacity.has_capacity_for
        best = None
        best_cost = inf
        for engine in candidates:
            if compared_count <= 0:
                break
            if not may_send_to(request, engine, now) or not has_capacity_for(request, engine, now):
                continue
            compared_count -= 1
            cost = self._cost(request, engine, now, has_tables=engine in preferred)
            if cost < best_cost:
                best = engine
                best_cost = cost
        return best

    def _cost(self, request: Request, engine: Engine, now: int, *, has_tables: bool) -> float:
        """Return the load that the request would see on the engine, raised by a price for each disadvantage.

        An ejected engine has cost 0: it can take a request only when a probation request is due.
        """
        if engine.outlier.ejected:
            return 0.0  # a due probation request takes precedence
        class_settings = request.class_settings
        usage = engine.usage
        slots = usage.slots + class_settings.slots
        own_load = slots * self._capacity.instance_share / self._capacity.cores_of(engine, now)
        cost = (engine.load.estimate + own_load) * engine.outlier.relative_slowness
        if has_tables:
            cost *= WARM_TABLES_FACTOR
        penalties = 0
        if class_settings.loads_tables or class_settings.waits_for_table_loads:
            penalties = usage.table_loads.get(request.event.table_group, 0)
        if engine is request.failed_on:
            penalties += 1
        cost += PENALTY * penalties
        if engine.endpoint.zone != self._zone:
            cost *= self._other_zone_factor
        if not usage.slots and now - usage.idle_since_us >= self._connection_reuse_us:
            cost *= self._new_connection_factor
        return cost
