"""Tests of the start of a dispatcher process.

The default action of a signal during the start would end the process; an address in use must be reported as
an error in one line.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from ashcross.simulation.processes import wait_for
from tests.harness.toy_fleet import (
    MAXIMUM_WAIT_S,
    ROOT,
    LoggedProcess,
    ToyFleetBed,
)


def test_signal_during_start_does_not_end_process(tmp_path: Path) -> None:
    bed = ToyFleetBed(tmp_path)
    try:
        # The configuration is a pipe, which delays its reading: the signal arrives before anything listens.
        os.mkfifo(tmp_path / "slow.json")
        dispatcher = LoggedProcess(
            ["-m", "ashcross", "serve", "--config", str(tmp_path / "slow.json")], "stderr"
        )
        with (tmp_path / "slow.json").open("w", encoding="utf-8") as file:  # blocks until the program reads
            dispatcher.process.send_signal(signal.SIGHUP)
            time.sleep(0.1)
            file.write(json.dumps(bed.config))
            (tmp_path / "next.json").write_text(json.dumps(bed.config), encoding="utf-8")
            (tmp_path / "next.json").replace(tmp_path / "slow.json")
        wait_for("the requested reload", lambda: dispatcher.find_line("reloading -> (starting|serving)"))
        assert dispatcher.process.poll() is None
        dispatcher.process.send_signal(signal.SIGTERM)
        assert dispatcher.process.wait(MAXIMUM_WAIT_S) == 0
        dispatcher.close()
    finally:
        bed.close()


def test_address_in_use_is_reported_without_traceback(shared_bed: ToyFleetBed, tmp_path: Path) -> None:
    config = shared_bed.config | {"listen": f"{shared_bed.address[0]}:{shared_bed.address[1]}"}
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config), encoding="utf-8")
    second_dispatcher = subprocess.run(
        [sys.executable, "-B", "-m", "ashcross", "serve", "--config", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=MAXIMUM_WAIT_S,
        check=False,
    )
    assert second_dispatcher.returncode == 1
    assert "cannot listen" in second_dispatcher.stderr
    assert "Traceback" not in second_dispatcher.stderr
