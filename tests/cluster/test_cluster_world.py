"""Tests of the cluster simulation: seeds are reproducible and break no rule, and its checks find defects."""

from __future__ import annotations

import pytest

from ashcross.simulation import cluster_world, mutants


def test_seeds_are_reproducible_and_break_no_rule() -> None:
    assert cluster_world.run(cluster_world.draw(3)).digest == cluster_world.run(cluster_world.draw(3)).digest
    for seed in range(4):
        result = cluster_world.run(cluster_world.draw(seed))
        assert (result.breaks, result.error) == ([], "")


@pytest.mark.parametrize("name", ["term-begins-full", "spent-tokens-come-back"])
def test_limit_check_finds_mutants(name: str) -> None:
    assert mutants.find_mutant(name, range(6)).found
