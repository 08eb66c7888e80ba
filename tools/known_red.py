#!/usr/bin/env python3
"""Run pytest, and let those tests alone fail that KNOWN-RED.txt names, a line each.

    tests/test_x.py::test_y | cause | issue

Exit 0 if all others pass and each that is named ran and failed. A named test that passes, that was not run,
a line that cannot be read, or a fourth line fails the run.
"""

import subprocess
import sys
import tempfile
from pathlib import Path
from xml.etree import ElementTree

MOST = 3


def read(path: Path) -> dict[str, str]:
    """The tests that may fail, with the line of each."""
    if not path.exists():
        return {}
    known = {}
    for line in path.read_text(encoding="utf-8").splitlines():
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise SystemExit(f"KNOWN-RED.txt: wanted `file::test | cause | issue`, found {line!r}")
        if parts[0] in known:
            raise SystemExit(f"KNOWN-RED.txt: {parts[0]} stands there twice")
        known[parts[0]] = line
    if len(known) > MOST:
        raise SystemExit(f"KNOWN-RED.txt: wanted {MOST} lines at most, found {len(known)}")
    return known


def outcomes(report: Path) -> dict[str, bool]:
    """Of each test that ran, whether it passed; skipped ones did not run."""
    out: dict[str, bool] = {}
    for case in ElementTree.parse(report).getroot().iter("testcase"):
        name = f"{case.get('classname', '').replace('.', '/')}.py::{case.get('name')}"
        kinds = {child.tag for child in case}
        if "skipped" not in kinds:
            out[name] = out.get(name, True) and not kinds & {"failure", "error"}
    return out


def main(arguments: list[str]) -> int:
    """The whole run."""
    known = read(Path("KNOWN-RED.txt"))
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.xml"
        done = subprocess.run(
            [sys.executable, "-m", "pytest", f"--junit-xml={report}", *arguments], check=False
        )
        if not known:
            return done.returncode
        if done.returncode not in (0, 1) or not report.exists():
            return done.returncode or 1
        ran = outcomes(report)
    red = [name for name, passed in ran.items() if not passed]
    wrong = [f"fails, and is not known: {name}" for name in red if name not in known]
    wrong += [f"is known to fail, and passes: {name}" for name in known if ran.get(name) is True]
    wrong += [f"is known to fail, and did not run: {name}" for name in known if name not in ran]
    for line in known.values():
        print(f"known red: {line}")
    for line in wrong:
        print(line)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
