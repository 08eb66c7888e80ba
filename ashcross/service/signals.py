"""Signal handlers, installed first of all: a signal that arrives early is kept until the service is up."""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType
from typing import NamedTuple

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


class SignalRequests(NamedTuple):
    """The actions that signals have requested since the last `Signals.take`."""

    stop: bool
    reload: bool


class Signals:
    """The pending requests of signals; a callback is notified of each signal."""

    def __init__(self) -> None:
        self.stop = False
        self.reload = False
        self._wake: Callable[[], None] | None = None

    def install(self) -> None:
        """Handle the signals from now on; the default action of each would end the process."""
        for stop_signal in STOP_SIGNALS:
            signal.signal(stop_signal, self._on_stop)
        signal.signal(RELOAD_SIGNAL, self._on_reload)

    def watch(self, wake: Callable[[], None]) -> None:
        """Call `wake` for each signal from now on, and at once if a request is pending."""
        self._wake = wake
        if self.stop or self.reload:
            wake()

    def take(self) -> SignalRequests:
        """Return the pending requests and clear them."""
        requested = SignalRequests(stop=self.stop, reload=self.reload)
        self.stop = False
        self.reload = False
        return requested

    def _on_stop(self, _number: int, _frame: FrameType | None) -> None:
        self.stop = True
        self._notify()

    def _on_reload(self, _number: int, _frame: FrameType | None) -> None:
        self.reload = True
        self._notify()

    def _notify(self) -> None:
        if self._wake is not None:
            self._wake()
