"""Objects that the modules of one scheduler share."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ashcross.decisions.actions import Action
from ashcross.decisions.settings import SchedulerSettings
from ashcross.decisions.timing import Timing


@dataclass(frozen=True, slots=True)
class Context:
    """Settings, derived intervals, the random source, and the actions for the current event."""

    settings: SchedulerSettings
    timing: Timing
    random: random.Random
    actions: list[Action]  # all modules append to this list; the scheduler clears it before each event
