"""Counts at which stages of a request each fault kind struck.

A fault kind without any count never took effect, which is an error of the simulation.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from ashcross.simulation.scenario import KINDS

STAGES = ("sending", "held", "between tries", "to the engine", "asked", "pages", "answered", "nothing open")


class CoverageTable:
    """Counts by fault kind and stage."""

    def __init__(self, counts: Mapping[str, Counter[str]]) -> None:
        self._counts = counts

    def uncovered(self) -> list[str]:
        """Return the fault kinds that have no count in any stage."""
        return [kind for kind in sorted(KINDS) if not sum(self._counts.get(kind, Counter()).values())]

    def as_json(self) -> dict[str, dict[str, int]]:
        """Return the counts, by fault kind and stage."""
        return {kind: dict(self._counts.get(kind, Counter())) for kind in sorted(KINDS)}

    def text(self) -> str:
        """Return a table of aligned columns."""
        lines = [f"{'':20}" + "".join(f"{stage:>15}" for stage in STAGES)]
        for kind in sorted(KINDS):
            counts = self._counts.get(kind, Counter())
            lines.append(f"{kind:20}" + "".join(f"{counts.get(stage, 0):15}" for stage in STAGES))
        return "\n".join(lines)
