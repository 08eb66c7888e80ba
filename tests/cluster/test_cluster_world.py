"""Whole clusters on the simulation's clock and network."""

from __future__ import annotations

import pytest

from ashcross.simulation import cluster_world, mutants


def test_seeds_of_the_cluster_hold_and_are_the_same_each_time() -> None:
    assert cluster_world.run(cluster_world.draw(3)).digest == cluster_world.run(cluster_world.draw(3)).digest
    for seed in range(4):
        result = cluster_world.run(cluster_world.draw(seed))
        assert (result.breaks, result.error) == ([], "")


@pytest.mark.parametrize("name", ["term-begins-full", "spent-tokens-come-back"])
def test_the_checker_of_the_cluster_finds_a_passed_limit(name: str) -> None:
    assert mutants.find_mutant(name, range(6)).found
