"""Logging: the limit on the rate of warnings."""

from __future__ import annotations

from loguru import logger

from ashcross.logs import RateLimitedLog


def test_repeated_warning_is_suppressed_and_counted() -> None:
    now_s, lines = 0.0, list[str]()
    sink = logger.add(lines.append, format="{message}")
    try:
        log = RateLimitedLog(lambda: now_s, interval_s=5.0)
        for _ in range(4):
            log.warn("engine", "odd")
        log.warn("client", "odd")
        now_s = 5.0
        log.warn("engine", "odd")
    finally:
        logger.remove(sink)
    assert [line.strip() for line in lines] == [
        "engine: odd",
        "client: odd",
        "engine: odd (3 more on this topic suppressed since the last line)",
    ]
