"""Check of a state machine's transition against its table of legal ones."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import TypeVar

from ashcross.errors import AshcrossError

State = TypeVar("State", bound=Enum)


class IllegalTransitionError(AshcrossError):
    """A state machine of the cluster was to make a transition that its table does not list."""

    remedy = "a fault of the program: report it with the log lines before it, and restart the dispatcher"


def check_transition(
    machine: str, table: Mapping[State, frozenset[State]], before: State, after: State
) -> None:
    """Raise `IllegalTransitionError` unless `table` lists the transition from `before` to `after`."""
    if after not in table[before]:
        legal = " or ".join(sorted(state.name for state in table[before])) or "no other state"
        raise IllegalTransitionError(f"{machine} in {before.name}", f"a transition to {legal}", after.name)
