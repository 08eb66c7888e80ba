"""The phases of a dispatcher from start to exit, as named states of one object."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from loguru import logger


class Phase(Enum):
    """What the dispatcher does now."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


STEPS: dict[Phase, frozenset[Phase]] = {
    Phase.STARTING: frozenset((Phase.SERVING, Phase.STOPPED)),
    Phase.SERVING: frozenset((Phase.DRAINING, Phase.STOPPED)),
    Phase.DRAINING: frozenset((Phase.STOPPED,)),
    Phase.STOPPED: frozenset(),
}


class PhaseError(RuntimeError):
    """A step that is not listed."""


class Phases:
    """Holds the phase, allows the listed steps only, and tells who asked to be told."""

    def __init__(self) -> None:
        self.now = Phase.STARTING
        self._told: list[Callable[[Phase], None]] = []

    def on_change(self, tell: Callable[[Phase], None]) -> None:
        """Call `tell` with each new phase."""
        self._told.append(tell)

    def enter(self, phase: Phase) -> None:
        """Take a step."""
        if phase not in STEPS[self.now]:
            raise PhaseError(f"no step leads from {self.now.value} to {phase.value}")
        logger.info("{} -> {}", self.now.value, phase.value)
        self.now = phase
        for tell in self._told:
            tell(phase)

    @property
    def well(self) -> bool:
        """What a `ping` is answered: may the front send more?"""
        return self.now is Phase.SERVING
