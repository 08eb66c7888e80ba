"""Mutants: named defects that replace attributes of the program for the time of a run."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import Any
from unittest.mock import patch

Patch = tuple[Any, str, Any]  # owner (a module or class), name of its attribute, replacement


@dataclass(frozen=True, slots=True)
class Mutant:
    """One known defect."""

    name: str
    rules: tuple[str, ...]  # a violation of one of these rules counts as finding the mutant
    patches: tuple[Patch, ...]
    world: str = "dispatchers"  # the world in which it is looked for


def nothing(*_: Any, **__: Any) -> None:
    """Replace a function whose effect a mutant leaves out."""


def swap(owner: Any, name: str, wrap: Callable[[Any], Any]) -> Patch:
    """Return a patch that replaces a function of `owner` by `wrap(original)`."""
    return owner, name, wrap(getattr(owner, name))


@contextmanager
def patched(mutant: Mutant) -> Iterator[None]:
    """Apply the mutant's patches within the context."""
    with ExitStack() as stack:
        for owner, name, replacement in mutant.patches:
            stack.enter_context(patch.object(owner, name, replacement))
        yield
