"""From a script that breaks a rule to the smallest that still does: faults, requests, times, settings."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from copy import deepcopy
from dataclasses import dataclass

from ashcross.simulation import world
from ashcross.simulation.scenario import Scenario


@dataclass(slots=True)
class Shrunk:
    """The smallest script found, the rule that it breaks, and how many were tried."""

    script: Scenario
    rule: str
    text: str
    tries: int


def breaks(script: Scenario) -> dict[str, str]:
    """The rules that a script breaks, with the first text of each."""
    result = world.run(script)
    found = {"error": result.error} if result.error else {}
    for one in result.breaks:
        found.setdefault(one.rule, one.text)
    return found


def shrink(
    script: Scenario, rule: str, budget_s: float, judge: Callable[[Scenario], dict[str, str]] = breaks
) -> Shrunk:
    """Drop and simplify while the same rule breaks, until nothing more can go or the budget is used up."""
    best, text, tries = script, judge(script).get(rule, ""), 1
    until_s = time.monotonic() + budget_s
    moved = True
    while moved and time.monotonic() < until_s:
        moved = False
        for smaller in _smaller(best):
            if time.monotonic() >= until_s:
                break
            tries += 1
            found = judge(smaller)
            if rule in found:
                best, text, moved = smaller, found[rule], True
                break
    return Shrunk(best, rule, text, tries)


def _smaller(script: Scenario) -> Iterator[Scenario]:
    """Scripts that are one step smaller, the largest steps first."""
    for size in (8, 4, 2, 1):
        yield from _without(script, "faults", size)
    count = len(script.requests)
    size = max(1, count // 2)
    while size:
        yield from _without(script, "requests", size)
        size //= 2
    yield from _simpler(script)


def _without(script: Scenario, key: str, size: int) -> Iterator[Scenario]:
    items = getattr(script, key)
    if size > 1 and size >= len(items) + 1:
        return
    for start in range(0, len(items), size):
        made = deepcopy(script)
        setattr(made, key, items[:start] + items[start + size :])
        yield made


def _simpler(script: Scenario) -> Iterator[Scenario]:
    s = script.settings
    highest = max((item.dispatcher for item in script.requests), default=0)
    if s.dispatchers > highest + 1:
        yield _changed(script, dispatchers=highest + 1)
    if len(s.engines) > 1:
        for drop in reversed(range(len(s.engines))):
            yield _changed(script, engines=s.engines[:drop] + s.engines[drop + 1 :])
    plain: dict[str, object] = {
        "memory_mb": 192,
        "sockets": 1024,
        "second_copies": False,
        "priorities": False,
        "progress_ms": 0,
        "ration_ms": 0,
        "tenants": {},
        "reports": "off",
    }
    for key, value in plain.items():
        if getattr(s, key) != value:
            made = _changed(script, **{key: value})
            if key == "tenants":
                for item in made.requests:
                    item.team = ""
            yield made
    for key, value in {
        "piece": 0,
        "jitter_us": 0,
        "window": 65_536,
        "latency_us": 100,
        "wake_us": 10,
    }.items():
        if getattr(script.wires, key) != value:
            made = deepcopy(script)
            setattr(made.wires, key, value)
            yield made
    for index, item in enumerate(script.requests):
        for key, simple in {"way": "plain", "retries": 0, "rows": 1, "estimate": 1.0, "memory_mb": 8}.items():
            if getattr(item, key) != simple:
                made = deepcopy(script)
                setattr(made.requests[index], key, simple)
                if key == "way":
                    made.requests[index].way_ms = 0
                yield made
    for index, fault in enumerate(script.faults):
        if fault.for_ms > 1:
            made = deepcopy(script)
            made.faults[index].for_ms = fault.for_ms // 2
            yield made


def _changed(script: Scenario, **changes: object) -> Scenario:
    made = deepcopy(script)
    for key, value in changes.items():
        setattr(made.settings, key, value)
    return made
