"""Graceful shutdown on SIGTERM: every request is answered before the process may be killed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ashcross.decisions.events import ShutdownStarted
from ashcross.logs import rate_limited_log
from ashcross.service.assembly import Components
from ashcross.service.phases import Phase

CHECK_S = 0.05  # interval at which the drain checks whether every request is answered
LINGER_CHECK_S = 0.02  # interval at which the exit checks whether the clients have closed
EXIT_MARGIN_US = 150_000  # the process begins to exit this long before it may be killed


class Shutdown:
    """The drain of a dispatcher and the end of its process.

    A draining dispatcher continues to serve requests and answers pings as not ready. The process may be
    killed when the longest time of a request (`max_shutdown_request_ms` at most) and then `kill_grace_ms`
    have passed since the drain began. The drain ends once every request is answered, `min_shutdown_ms` have
    passed, as clients may still send until then, and the pending input holds no further call; it ends
    `close_margin_ms` before the process may be killed at the latest. At `_answer_by_us`, `shutdown_margin_ms`
    before the process may be killed, the scheduler is told to reject or fail all open requests.
    """

    def __init__(self, components: Components, before_exit: Callable[[], None]) -> None:
        self._components = components
        self._before_exit = before_exit  # called once every request is answered
        self.listening_port: Any = None  # Twisted's port; None until the dispatcher listens
        self._answer_by_us = 0
        self._earliest_end_us = 0

    def start(self) -> None:
        """Begin to drain; do nothing if the drain has begun before."""
        if self._components.phases.current not in (Phase.STARTING, Phase.SERVING):
            return
        config = self._components.config
        transport = config.transport
        now = self._components.clock()
        self._components.phases.enter(Phase.DRAINING)
        longest_request_us = min(config.host.longest_give_up_us, transport.max_shutdown_request_ms * 1000)
        self._answer_by_us = (
            now + longest_request_us + (transport.kill_grace_ms - transport.shutdown_margin_ms) * 1000
        )
        self._earliest_end_us = now + transport.min_shutdown_ms * 1000
        self._check()

    def _check(self) -> None:
        """Call `_advance` every `CHECK_S` until the drain is over."""
        try:
            self._advance(self._components.clock())
        except Exception as error:  # the process must end in spite of a failed check
            phase = self._components.phases.current.value
            text = (
                f"shutdown check failed, it runs again after {CHECK_S} s while the dispatcher drains: "
                f"phase={phase} open={self._components.requests.open_count}"
            )
            rate_limited_log.warn("stop", text, error)
        if self._components.phases.current is Phase.DRAINING:
            self._components.reactor.callLater(CHECK_S, self._check)

    def _advance(self, now: int) -> None:
        """Finish if every request is answered or the time is up; notify the scheduler at `_answer_by_us`."""
        transport = self._components.config.transport
        kill_us = self._answer_by_us + transport.shutdown_margin_ms * 1000
        time_is_up = now >= kill_us - transport.close_margin_ms * 1000
        if time_is_up or (now >= self._earliest_end_us and self._all_answered()):
            self._components.clients.read_pending_input()
            # A request found in that input is served as usual, or failed by `_finish` if the time is up.
            if time_is_up or self._all_answered():
                linger_us = transport.linger_timeout_ms * 1000
                self._finish(min(now + linger_us, kill_us - EXIT_MARGIN_US))
                return
        core = self._components.core
        if now >= self._answer_by_us and not core.shutting_down:
            core.shutting_down = True
            core.enqueue_event(ShutdownStarted())

    def _all_answered(self) -> bool:
        return not self._components.requests.open_count and self._components.clients.all_answers_sent()

    def _finish(self, exit_by_us: int) -> None:
        """Fail all open requests, close our side of each connection, and exit once the clients have too."""
        self._components.phases.enter(Phase.STOPPED)
        if self.listening_port is not None:
            self.listening_port.stopListening()
        self._components.core.fail_remaining_requests()
        self._before_exit()
        if self._components.discovery is not None:
            self._components.discovery.stop()
        self._components.engines.close()
        self._components.clients.half_close_all()
        self._exit(exit_by_us)

    def _exit(self, exit_by_us: int) -> None:
        """Stop the reactor once all clients have closed, at `exit_by_us` (us of Unix time) at the latest."""
        if self._components.clients.lingering and self._components.clock() < exit_by_us:
            self._components.reactor.callLater(LINGER_CHECK_S, self._exit, exit_by_us)
        else:
            self._components.reactor.stop()
