"""The reactor of a dispatcher: Twisted's epoll reactor on the monotonic clock.

Twisted measures every wait (`callLater`, `LoopingCall`, connect timeouts) by `reactor.seconds`, which is
`time.time` by default: a step of the wall clock would move deadlines, sweeps and drains.
"""

from __future__ import annotations

import time
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor


class MonotonicReactor(EPollReactor):
    """An epoll reactor whose waits do not depend on steps of the wall clock."""

    seconds = staticmethod(time.monotonic)


def install() -> Any:
    """Create and install the reactor of the process.

    Raises `ReactorAlreadyInstalledError` if another reactor has been imported before.
    """
    reactor: Any = MonotonicReactor()  # type: ignore[no-untyped-call]
    installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor
