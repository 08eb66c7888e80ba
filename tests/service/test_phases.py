"""Tests of the dispatcher's phases and their transitions."""

from __future__ import annotations

from itertools import pairwise

import pytest

from ashcross.service.phases import TRANSITIONS, Phase, PhaseError, Phases


def test_phases_allow_only_transitions_of_table() -> None:
    for path in (
        [Phase.SERVING, Phase.DRAINING, Phase.STOPPED],
        [Phase.SERVING, Phase.STOPPED],
        [Phase.DRAINING, Phase.STOPPED],
    ):
        phases = Phases()
        entered: list[Phase] = []
        phases.on_change(entered.append)
        assert not phases.is_ready
        for phase in path:
            phases.enter(phase)
            assert phases.is_ready is (phase is Phase.SERVING)
        assert entered == path
    for phase, allowed in TRANSITIONS.items():
        for other in set(Phase) - allowed:
            phases = Phases()
            phases.current = phase
            with pytest.raises(PhaseError):
                phases.enter(other)
    assert all(after in TRANSITIONS[before] for before, after in pairwise(Phase))
