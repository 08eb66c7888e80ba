"""Table affinity: which engines probably have the tables of a table group in their caches."""

from __future__ import annotations

from math import ceil

from ashcross.decisions.engines import Engine
from ashcross.decisions.requests import Request

COUNTED_QUERIES = 500  # approximate number of latest queries that the popularity of a table group covers
# The share of the engines preferred for a table group is this many times the group's share of all queries.
ENGINES_PER_SHARE = 3.0


class TablePopularity:
    """Shares of table groups in about the last `maximum_count` queries; older ones weigh less."""

    __slots__ = ("_counts", "_maximum_count", "_sum")

    def __init__(self, maximum_count: int) -> None:
        self._maximum_count = maximum_count
        self._sum = 0.0
        self._counts: dict[int, float] = {}

    def count(self, table_group: int) -> None:
        """Count one query of a table group.

        When the sum reaches its maximum, all counts are halved and groups with a count of at most 1 removed.
        """
        self._counts[table_group] = self._counts.get(table_group, 0.0) + 1.0
        self._sum += 1.0
        if self._sum >= self._maximum_count:
            self._counts = {group: count / 2 for group, count in self._counts.items() if count > 1.0}
            self._sum = sum(self._counts.values())

    def share(self, table_group: int) -> float:
        """Return the table group's share of all counts, 0 to 1; 1 before the first query."""
        return self._counts.get(table_group, 0.0) / self._sum if self._sum else 1.0


class TableAffinity:
    """Assigns engines to table groups by a hash that is the same at all dispatcher instances."""

    def __init__(self) -> None:
        self._popularity = TablePopularity(COUNTED_QUERIES)

    def request_received(self, table_group: int) -> None:
        """Count a query in the popularity of its table group."""
        self._popularity.count(table_group)

    def preferred_engines(self, request: Request, engines: list[Engine]) -> list[Engine]:
        """Return the allowed engines that probably have the request's tables in their caches.

        A request that loads tables has no preferred engines.
        """
        if request.class_settings.loads_tables:
            return []
        kinds = request.class_settings.allowed_engine_kinds
        table_group = request.event.table_group
        candidates = [engine for engine in engines if not kinds or engine.endpoint.engine_kind in kinds]
        # the hash of a tuple of integers is the same in every process, unlike that of a string
        candidates.sort(key=lambda engine: hash((engine.hash_seed, table_group)))
        count = ceil(ENGINES_PER_SHARE * len(candidates) * self._popularity.share(table_group))
        return candidates[:count]
