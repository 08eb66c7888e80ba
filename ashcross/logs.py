"""Logging to standard error by loguru, and warnings at a limited rate."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any

from loguru import logger

# The wall clock can be stepped; the seconds of the monotonic clock behind it show the order of the lines.
LINE_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {extra[monotonic_s]:.3f} {level: <7} {name}: {message}"
TOPIC_INTERVAL_S = 5.0
MAX_TWISTED_MESSAGE_CHARACTERS = 200

# Gets the topic, the text and the error of a warning.
WarningListener = Callable[[str, str, BaseException | None], None]


def start(level: str) -> None:
    """Write log lines of this level and above to standard error."""
    logger.remove()
    logger.configure(patcher=_add_monotonic_time)
    # tracebacks without the values of variables, which could be statements of clients
    logger.add(sys.stderr, level=level, format=LINE_FORMAT, backtrace=False, diagnose=False)


def _add_monotonic_time(record: Any) -> None:  # loguru defines the type of its records only in its stubs
    record["extra"]["monotonic_s"] = time.monotonic()


def watch_twisted() -> None:
    """Log the errors in protocols and Deferreds that Twisted reports; its other log events are dropped."""
    from twisted.logger import globalLogBeginner

    observer: Any = _log_twisted_error  # Twisted types observers as a zope interface
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)


def _log_twisted_error(event: dict[str, Any]) -> None:
    failure = event.get("log_failure")
    if failure is not None:
        text = str(event.get("log_format", "unhandled error"))[:MAX_TWISTED_MESSAGE_CHARACTERS]
        rate_limited_log.warn("twisted", text, failure.value)


class RateLimitedLog:
    """Logs at most one warning for each topic in each interval, and counts the suppressed ones.

    `clock` returns seconds and never goes backwards. Topics are few and fixed: each keeps an entry.
    """

    def __init__(
        self, clock: Callable[[], float] = time.monotonic, interval_s: float = TOPIC_INTERVAL_S
    ) -> None:
        self._clock = clock
        self._interval_s = interval_s
        self._listener: WarningListener | None = None
        self._next_s: dict[str, float] = {}
        self._suppressed: dict[str, int] = {}

    def follow(self, clock: Callable[[], float], listener: WarningListener | None = None) -> None:
        """Forget all topics, use another clock, and call `listener` with each warning, suppressed or not."""
        self._clock = clock
        self._listener = listener
        self._next_s.clear()
        self._suppressed.clear()

    def warn(self, topic: str, text: str, error: BaseException | None = None) -> None:
        """Log a warning on a topic, with the traceback of the error if one is given."""
        if self._listener is not None:
            self._listener(topic, text, error)
        now_s = self._clock()
        if now_s < self._next_s.get(topic, now_s):
            self._suppressed[topic] = self._suppressed.get(topic, 0) + 1
            return
        suppressed = self._suppressed.pop(topic, 0)
        self._next_s[topic] = now_s + self._interval_s
        line = f"{topic}: {text}"
        if suppressed:
            line += f" ({suppressed} more on this topic suppressed since the last line)"
        logger.opt(exception=error).warning("{}", line)


rate_limited_log = RateLimitedLog()
