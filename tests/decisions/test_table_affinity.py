"""Tests of table affinity: which engines are preferred for a table group.

If the instances disagreed, each engine would load the tables of all groups; if few engines were preferred for
a popular group, they would be overloaded.
"""

from __future__ import annotations

from dataclasses import replace

from tests.harness.decision_model import LOAD, LOOKUP, SchedulerTestBed, make_settings, started


def test_instances_prefer_the_same_engines_for_a_table_group() -> None:
    uses = []
    for index in range(3):
        bed = SchedulerTestBed(
            make_settings(LOOKUP, instance_count=30, instance_index=index), engines=20, seed=index
        )
        for number in range(300):  # 30 groups, so that each has 2 or 3 preferred engines
            for attempt in started(bed.receive(table_group=number % 30)):
                bed.complete(attempt.request_id, attempt.engine_name)
                uses.append((number, attempt.engine_name))
    group_engines = [engine for number, engine in uses if number >= 150 and number % 30 == 7]
    assert len(set(group_engines)) <= 3 < len({engine for number, engine in uses if number >= 150}) - 10


def test_popular_table_group_has_more_engines() -> None:
    bed = SchedulerTestBed(make_settings(LOOKUP, replace(LOAD, ordered=False), instance_count=30), engines=20)
    engines = set()
    for _ in range(100):
        for attempt in started(bed.receive(table_group=1)):
            bed.complete(attempt.request_id, attempt.engine_name)
            engines.add(attempt.engine_name)
    assert len(engines) > 10  # all queries read this group, so every engine is preferred
