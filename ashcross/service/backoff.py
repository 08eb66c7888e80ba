"""Retries of operations that fail at a start because the system lacks a resource for a moment."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from ashcross.service.config_reader import ConfigUnreadableError

Result = TypeVar("Result")

RETRY_S = 0.05  # pause between two attempts
TRANSIENT_ERRORS = frozenset(
    (
        errno.EADDRINUSE,
        errno.EAGAIN,
        errno.EINTR,
        errno.EIO,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)


def retry_transient_errors(
    operation: Callable[[], Result], timeout_s: float, should_stop: Callable[[], bool]
) -> Result:
    """Return the result of `operation`, which is called again while it raises a transient error.

    The thread sleeps between two calls, as no client can be served yet. The last error is raised if it is not
    transient, if `timeout_s` has passed, or if `should_stop` returns true because the process is to end.
    """
    give_up_s = time.monotonic() + timeout_s
    while True:
        try:
            return operation()
        except (OSError, ConfigUnreadableError) as error:
            is_transient = error.errno in TRANSIENT_ERRORS
            if not is_transient or time.monotonic() >= give_up_s or should_stop():
                raise
        time.sleep(RETRY_S)
