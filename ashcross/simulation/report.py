"""Plots one run over virtual time: answers by outcome, latencies, faults and violations."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib
from hdrh.histogram import HdrHistogram

from ashcross.simulation.scenario import Scenario
from ashcross.simulation.world import START_US, Result

matplotlib.use("svg")
from matplotlib import pyplot

BIN_S = 0.5  # width of a bar
OUTCOME_COLOURS = {"served": "tab:green", "refused": "tab:orange", "failed": "tab:red"}
MAX_LATENCY_US = 600_000_000


def write_plot(scenario: Scenario, result: Result, path: Path) -> dict[str, Any]:
    """Write an SVG file and return its figures: answers by outcome and latency quantiles in virtual ms."""
    matplotlib.rcParams["svg.hashsalt"] = "ashcross"  # a fixed salt makes files of the same seed identical
    length_s = scenario.length_ms / 1000
    bins = [i * BIN_S for i in range(int(length_s / BIN_S) + 2)]
    plot, (count_axes, latency_axes) = pyplot.subplots(2, 1, sharex=True, figsize=(11, 6))
    times_s = {
        outcome: [
            (at_us - START_US) / 1e6
            for at_us, _, answer_outcome in result.latencies_us
            if answer_outcome == outcome
        ]
        for outcome in OUTCOME_COLOURS
    }
    count_axes.hist(
        list(times_s.values()),
        bins=bins,
        stacked=True,
        color=list(OUTCOME_COLOURS.values()),
        label=list(OUTCOME_COLOURS),
    )
    count_axes.set_ylabel(f"answers in {BIN_S:g} s")
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for outcome, colour in OUTCOME_COLOURS.items():
        points = [
            ((at_us - START_US) / 1e6, latency_us / 1000)
            for at_us, latency_us, answer_outcome in result.latencies_us
            if answer_outcome == outcome
        ]
        if points:
            latency_axes.scatter(*zip(*points, strict=True), s=8, color=colour, label=outcome)
    for _, latency_us, outcome in result.latencies_us:
        if outcome == "served":
            histogram.record_value(max(1, latency_us))
    latency_axes.set_yscale("log")
    latency_axes.set_ylabel("ms from the last byte of the call")
    latency_axes.set_xlabel("virtual seconds")
    for axes in (count_axes, latency_axes):
        for fault in scenario.faults:
            axes.axvspan(fault.at_ms / 1000, (fault.at_ms + fault.for_ms) / 1000, alpha=0.12, color="grey")
    for number, fault in enumerate(scenario.faults):
        height = count_axes.get_ylim()[1] * (0.95 - 0.08 * (number % 6))
        count_axes.text(fault.at_ms / 1000, height, fault.kind, fontsize=7)
    for violation in result.breaks:
        latency_axes.axvline((violation.at_us - START_US) / 1e6, color="black", linestyle=":")
    count_axes.legend(loc="upper right")
    plot.suptitle(f"seed {scenario.seed}: {len(scenario.faults)} faults, {len(result.breaks)} violations")
    plot.savefig(path, metadata={"Date": None})
    pyplot.close(plot)
    figures: dict[str, Any] = {outcome: len(times) for outcome, times in times_s.items()}
    for percentile in (50, 99):
        figures[f"p{percentile}_ms"] = round(histogram.get_value_at_percentile(percentile) / 1000, 3)
    return figures
