"""Log lines: loguru on standard error, and a limit on lines that a fault could repeat."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any

from loguru import logger

# the wall clock may be stepped: the seconds behind it are of the monotonic clock, and order the lines
FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {extra[monotonic_s]:.3f} {level: <7} {name}: {message}"
GAP_S = 5.0


def start(level: str) -> None:
    """Send lines of this level and above to standard error."""
    logger.remove()
    logger.configure(patcher=_stamp)
    # no variables in tracebacks: they could hold statements
    logger.add(sys.stderr, level=level, format=FORMAT, backtrace=False, diagnose=False)


def _stamp(record: Any) -> None:
    record["extra"]["monotonic_s"] = time.monotonic()


def watch_twisted() -> None:
    """Pass on what Twisted logs of faults in protocols and Deferreds; the rest of its lines is dropped."""
    from twisted.logger import globalLogBeginner

    observer: Any = _fault
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)


def _fault(event: dict[str, Any]) -> None:
    failure = event.get("log_failure")
    if failure is not None:
        seldom.warn("twisted", str(event.get("log_format", "fault"))[:200], failure.value)


class Seldom:
    """Logs one line for each topic and gap, and counts what it kept back."""

    def __init__(self, clock: Callable[[], float] = time.monotonic, gap_s: float = GAP_S) -> None:
        self._clock, self._gap_s = clock, gap_s
        self._heard: Callable[[str, str, BaseException | None], None] | None = None
        self._next_s: dict[str, float] = {}
        self._kept: dict[str, int] = {}

    def follow(
        self,
        clock: Callable[[], float],
        heard: Callable[[str, str, BaseException | None], None] | None = None,
    ) -> None:
        """Go by another clock (s) from now on, and pass each warning on before its topic's limit counts."""
        self._clock, self._heard = clock, heard
        self._next_s.clear()
        self._kept.clear()

    def warn(self, topic: str, text: str, error: BaseException | None = None) -> None:
        """A warning on a topic; topics are few and fixed. An error brings its traceback."""
        if self._heard is not None:
            self._heard(topic, text, error)
        now_s = self._clock()
        if now_s < self._next_s.get(topic, now_s):
            self._kept[topic] = self._kept.get(topic, 0) + 1
            return
        kept = self._kept.pop(topic, 0)
        self._next_s[topic] = now_s + self._gap_s
        line = f"{topic}: {text}" + (f" ({kept} more like it since the last line)" if kept else "")
        logger.opt(exception=error).warning("{}", line)


seldom = Seldom()
