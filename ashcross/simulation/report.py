"""One plot of one script: service, refusals and latency on the virtual clock, with the faults marked."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib
from hdrh.histogram import HdrHistogram

from ashcross.simulation.scenario import Scenario
from ashcross.simulation.world import START_US, Result

matplotlib.use("svg")
from matplotlib import pyplot

BIN_S = 0.5
COLOURS = {"served": "tab:green", "refused": "tab:orange", "failed": "tab:red"}
LATENCY_MOST_US = 600_000_000


def draw(script: Scenario, result: Result, path: Path) -> dict[str, Any]:
    """Write the plot; the figures that it shows, latencies in milliseconds of virtual time."""
    matplotlib.rcParams["svg.hashsalt"] = "ashcross"  # the same file for the same seed
    length_s = script.length_ms / 1000
    bins = [i * BIN_S for i in range(int(length_s / BIN_S) + 2)]
    figure, (counts, times) = pyplot.subplots(2, 1, sharex=True, figsize=(11, 6))
    at = {how: [(a - START_US) / 1e6 for a, _, one in result.latencies_us if one == how] for how in COLOURS}
    counts.hist(list(at.values()), bins=bins, stacked=True, color=list(COLOURS.values()), label=list(COLOURS))
    counts.set_ylabel(f"answers in {BIN_S:g} s")
    histogram = HdrHistogram(1, LATENCY_MOST_US, 3)
    for how, colour in COLOURS.items():
        points = [((a - START_US) / 1e6, wait / 1000) for a, wait, one in result.latencies_us if one == how]
        if points:
            times.scatter(*zip(*points, strict=True), s=8, color=colour, label=how)
    for _, wait_us, how in result.latencies_us:
        if how == "served":
            histogram.record_value(max(1, wait_us))
    times.set_yscale("log")
    times.set_ylabel("ms from the last byte")
    times.set_xlabel("virtual seconds")
    for axis in (counts, times):
        for fault in script.faults:
            axis.axvspan(fault.at_ms / 1000, (fault.at_ms + fault.for_ms) / 1000, alpha=0.12, color="grey")
    for number, fault in enumerate(script.faults):
        height = counts.get_ylim()[1] * (0.95 - 0.08 * (number % 6))
        counts.text(fault.at_ms / 1000, height, fault.kind, fontsize=7)
    for one in result.breaks:
        times.axvline((one.at_us - START_US) / 1e6, color="black", linestyle=":")
    counts.legend(loc="upper right")
    figure.suptitle(f"seed {script.seed}: {len(script.faults)} faults, {len(result.breaks)} rules broken")
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
    figures: dict[str, Any] = {how: len(items) for how, items in at.items()}
    for quantile in (50, 99):
        figures[f"p{quantile}_ms"] = round(histogram.get_value_at_percentile(quantile) / 1000, 3)
    return figures
