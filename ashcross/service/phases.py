"""The phases of a dispatcher from start to exit: a state machine with one table of its legal transitions."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum

from loguru import logger

from ashcross.errors import AshcrossError


class Phase(Enum):
    """A stage in the life of a dispatcher; its value is the word that log lines carry."""

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
    """A phase transition that `TRANSITIONS` does not allow."""

    remedy = "this is a bug in ashcross: report it with the preceding log lines, and restart the dispatcher"


class Phases:
    """The current phase, which changes by legal transitions only; listeners are notified of each."""

    def __init__(self) -> None:
        self.current = Phase.STARTING
        self._listeners: list[Callable[[Phase], None]] = []

    def on_change(self, listener: Callable[[Phase], None]) -> None:
        """Call `listener` with each new phase."""
        self._listeners.append(listener)

    def enter(self, phase: Phase) -> None:
        """Make a transition to `phase`; raises `PhaseError` if it is not legal."""
        allowed = TRANSITIONS[self.current]
        if phase not in allowed:
            names = ", ".join(sorted(next_phase.value for next_phase in allowed))
            wanted = f"a transition to {names}" if names else "no further transition"
            raise PhaseError(f"phase {self.current.value}", wanted, f"a transition to {phase.value}")
        logger.info("phase: {} -> {}", self.current.value, phase.value)
        self.current = phase
        for listener in self._listeners:
            listener(phase)

    def start_serving(self) -> None:
        """Enter the serving phase if the dispatcher is still starting; otherwise do nothing."""
        if self.current is Phase.STARTING:
            self.enter(Phase.SERVING)

    @contextmanager
    def reloading(self) -> Iterator[None]:
        """Enter the reloading phase, and return to the previous one at the end, also after an exception."""
        previous = self.current
        self.enter(Phase.RELOADING)
        try:
            yield
        finally:
            self.enter(previous)

    @property
    def is_ready(self) -> bool:
        """Return whether clients may send more requests; a ping is answered with this."""
        return self.current is Phase.SERVING
