"""Deadlines: the order of calls, and the bound on obsolete entries."""

from __future__ import annotations

from ashcross.registry.deadlines import MINIMUM_COMPACTED_SIZE, Deadlines
from ashcross.registry.request_registry import AttemptRecord, is_finished
from tests.registry.test_request_registry import open_request


def test_due_calls_run_in_order_of_time_and_addition() -> None:
    deadlines, called = Deadlines(is_finished), list[str]()
    for at_us, name in ((30, "c"), (10, "a"), (20, "b1"), (20, "b2"), (40, "d")):
        deadlines.add(at_us, called.append, name)
    assert deadlines.next_us() == 10
    deadlines.run_due(30)
    assert called == ["a", "b1", "b2", "c"]
    assert len(deadlines) == 1


def test_due_call_can_add_a_due_call() -> None:
    deadlines, numbers = Deadlines(is_finished), list[int]()

    def add_next(number: int) -> None:
        numbers.append(number)
        deadlines.add(10 * number, add_next, number + 1)

    deadlines.add(1, add_next, 1)
    deadlines.run_due(25)
    assert numbers == [1, 2, 3]


def test_obsolete_entries_are_dropped() -> None:
    """Guards against unbounded memory: a flood of short requests left its entries until they were due."""
    deadlines, request = Deadlines(is_finished), open_request()
    for number in range(3 * MINIMUM_COMPACTED_SIZE):
        attempt = AttemptRecord(request, number, "e", 0, 10)
        attempt.completed = True
        deadlines.add(1_000_000, print, attempt)
    assert len(deadlines) <= MINIMUM_COMPACTED_SIZE
