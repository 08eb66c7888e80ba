"""Shrinks a scenario that breaks a rule: drops faults and requests, shortens faults, simplifies settings."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from copy import deepcopy
from dataclasses import dataclass

from ashcross.simulation import world
from ashcross.simulation.scenario import Scenario


@dataclass(slots=True)
class Shrunk:
    """The smallest scenario found."""

    scenario: Scenario
    rule: str  # the rule that it breaks
    text: str  # the violation of this rule
    tries: int  # how many scenarios were run


def breaks(scenario: Scenario) -> dict[str, str]:
    """Run a scenario and return the rules that it breaks, each with the text of its first violation."""
    result = world.run(scenario)
    text_of_rule = {"error": result.error} if result.error else {}
    for violation in result.breaks:
        text_of_rule.setdefault(violation.rule, violation.text)
    return text_of_rule


def shrink(
    scenario: Scenario,
    rule: str,
    budget_s: float,
    find_violations: Callable[[Scenario], dict[str, str]] = breaks,
) -> Shrunk:
    """Drop and simplify parts while `rule` still breaks, until no step is left or `budget_s` has passed."""
    best, text, tries = scenario, find_violations(scenario).get(rule, ""), 1
    until_s = time.monotonic() + budget_s
    has_progressed = True
    while has_progressed and time.monotonic() < until_s:
        has_progressed = False
        for smaller in _smaller(best):
            if time.monotonic() >= until_s:
                break
            tries += 1
            violations = find_violations(smaller)
            if rule in violations:
                best, text, has_progressed = smaller, violations[rule], True
                break
    return Shrunk(best, rule, text, tries)


def _smaller(scenario: Scenario) -> Iterator[Scenario]:
    """Yield scenarios that are one step smaller, the largest steps first."""
    for size in (8, 4, 2, 1):
        yield from _without(scenario, "faults", size)
    count = len(scenario.requests)
    size = max(1, count // 2)
    while size:
        yield from _without(scenario, "requests", size)
        size //= 2
    yield from _simplified(scenario)


def _without(scenario: Scenario, key: str, size: int) -> Iterator[Scenario]:
    items = getattr(scenario, key)
    if size > 1 and size >= len(items) + 1:
        return
    for start in range(0, len(items), size):
        smaller = deepcopy(scenario)
        setattr(smaller, key, items[:start] + items[start + size :])
        yield smaller


def _simplified(scenario: Scenario) -> Iterator[Scenario]:
    settings = scenario.settings
    highest = max((request.dispatcher for request in scenario.requests), default=0)
    if settings.dispatchers > highest + 1:
        yield _with_settings(scenario, dispatchers=highest + 1)
    if len(settings.engines) > 1:
        for dropped in reversed(range(len(settings.engines))):
            yield _with_settings(
                scenario, engines=settings.engines[:dropped] + settings.engines[dropped + 1 :]
            )
    simple_settings: dict[str, object] = {
        "memory_mb": 192,
        "sockets": 1024,
        "second_copies": False,
        "priorities": False,
        "progress_ms": 0,
        "ration_ms": 0,
        "tenants": {},
        "reports": "off",
    }
    for key, value in simple_settings.items():
        if getattr(settings, key) != value:
            simpler = _with_settings(scenario, **{key: value})
            if key == "tenants":
                for request in simpler.requests:
                    request.team = ""
            yield simpler
    for key, value in {
        "piece": 0,
        "jitter_us": 0,
        "window": 65_536,
        "latency_us": 100,
        "wake_us": 10,
    }.items():
        if getattr(scenario.wires, key) != value:
            simpler = deepcopy(scenario)
            setattr(simpler.wires, key, value)
            yield simpler
    for index, request in enumerate(scenario.requests):
        for key, simple in {"way": "plain", "retries": 0, "rows": 1, "estimate": 1.0, "memory_mb": 8}.items():
            if getattr(request, key) != simple:
                simpler = deepcopy(scenario)
                setattr(simpler.requests[index], key, simple)
                if key == "way":
                    simpler.requests[index].way_ms = 0
                yield simpler
    for index, fault in enumerate(scenario.faults):
        if fault.for_ms > 1:
            simpler = deepcopy(scenario)
            simpler.faults[index].for_ms = fault.for_ms // 2
            yield simpler


def _with_settings(scenario: Scenario, **changes: object) -> Scenario:
    changed = deepcopy(scenario)
    for key, value in changes.items():
        setattr(changed.settings, key, value)
    return changed
