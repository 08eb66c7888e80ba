"""Whole clusters on the virtual clock and network of the simulation."""

from __future__ import annotations

import pytest

from ashcross.simulation import cluster_world, mutants


def test_seeds_pass_the_invariant_checker_and_are_deterministic() -> None:
    assert cluster_world.run(cluster_world.draw(3)).digest == cluster_world.run(cluster_world.draw(3)).digest
    for seed in range(4):
        result = cluster_world.run(cluster_world.draw(seed))
        assert (result.breaks, result.error) == ([], "")


@pytest.mark.parametrize("name", ["term-begins-full", "spent-tokens-come-back"])
def test_mutant_that_exceeds_a_quota_is_found(name: str) -> None:
    assert mutants.seek(name, range(6)).found
