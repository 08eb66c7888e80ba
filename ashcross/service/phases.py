"""The phases of a dispatcher from start to exit: a state machine with its legal transitions in one table."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum

from loguru import logger

from ashcross.errors import AshcrossError


class Phase(Enum):
    """What the dispatcher does now."""

    STARTING = "starting"
    SERVING = "serving"
    RELOADING = "reloading"
    DRAINING = "draining"
    STOPPED = "stopped"


TRANSITIONS: dict[Phase, frozenset[Phase]] = {
    Phase.STARTING: frozenset((Phase.SERVING, Phase.RELOADING, Phase.DRAINING)),
    Phase.SERVING: frozenset((Phase.RELOADING, Phase.DRAINING, Phase.STOPPED)),
    Phase.RELOADING: frozenset((Phase.STARTING, Phase.SERVING, Phase.DRAINING)),
    Phase.DRAINING: frozenset((Phase.RELOADING, Phase.STOPPED)),
    Phase.STOPPED: frozenset(),
}


class PhaseError(AshcrossError):
    """A transition that the table does not have."""

    remedy = "a fault of the program: report it with the log lines before it, and restart the dispatcher"


class Phases:
    """Holds the phase, allows the transitions of the table only, and notifies listeners of each."""

    def __init__(self) -> None:
        self.current = Phase.STARTING
        self._listeners: list[Callable[[Phase], None]] = []

    def on_change(self, listener: Callable[[Phase], None]) -> None:
        """Call `listener` with each new phase."""
        self._listeners.append(listener)

    def enter(self, phase: Phase) -> None:
        """Make a transition; `PhaseError` if it is not legal."""
        allowed = TRANSITIONS[self.current]
        if phase not in allowed:
            names = ", ".join(sorted(step.value for step in allowed)) or "none"
            raise PhaseError(f"phase {self.current.value}", f"one of the steps {names}", phase.value)
        logger.info("phase: {} -> {}", self.current.value, phase.value)
        self.current = phase
        for listener in self._listeners:
            listener(phase)

    def start_serving(self) -> None:
        """The start is over; nothing happens if it was over before."""
        if self.current is Phase.STARTING:
            self.enter(Phase.SERVING)

    @contextmanager
    def reloading(self) -> Iterator[None]:
        """A reload is a phase of its own that leads back to the one before, whatever happens in it."""
        before = self.current
        self.enter(Phase.RELOADING)
        try:
            yield
        finally:
            self.enter(before)

    @property
    def is_ready(self) -> bool:
        """What a `ping` is answered: may clients send more requests?"""
        return self.current is Phase.SERVING
