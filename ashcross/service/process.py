"""The process of `serve`: it sets up reactor, descriptor limit and signals, and runs one service."""

from __future__ import annotations

import gc
from collections.abc import Callable
from functools import partial

from loguru import logger
from twisted.internet.error import CannotListenError

from ashcross import logs
from ashcross.audit import audit
from ashcross.service.backoff import retry_transient_errors
from ashcross.service.config_file import set_descriptor_limit
from ashcross.service.config_schema import Config
from ashcross.service.listener import EarlyListener, listen_at
from ashcross.service.reactor import install as install_reactor
from ashcross.service.service import Service
from ashcross.service.signals import Signals

EXIT_STOPPED = 0
EXIT_CANNOT_SERVE = 1

# of the three generations: new objects, and collections of the generation before it
GARBAGE_COLLECTION_THRESHOLDS = (700, 5, 1)


def run(
    config: Config,
    signals: Signals,
    read_config: Callable[[], Config],
    listener: EarlyListener | None = None,
    attach: Callable[[Service], None] | None = None,
) -> int:
    """Serve until a signal stops the process, and return the exit code.

    `read_config` reads the configuration again at a reload. `attach` adds the subsystems that the operator's
    file enables.
    """
    retry_s = config.transport.start_retry_ms / 1000

    def should_stop() -> bool:
        return signals.stop

    try:
        reactor = retry_transient_errors(install_reactor, retry_s, should_stop)
    except OSError as error:
        logger.error("cannot create the epoll reactor: {}", error)
        return EXIT_CANNOT_SERVE
    set_descriptor_limit(config.max_descriptors)
    logs.watch_twisted()
    audit.detailed = config.transport.log_level == "DEBUG"
    service = Service(config, reactor)
    if attach is not None:
        attach(service)
    try:
        if listener is None:
            listener = retry_transient_errors(partial(listen_at, config.listen), retry_s, should_stop)
        service.start(listener)
    except (CannotListenError, OSError) as error:
        logger.error("cannot listen: address={}:{} error={}", *config.listen, error)
        return EXIT_CANNOT_SERVE
    _handle_signals(signals, service, read_config)
    # The objects that exist now live as long as the process: the garbage collector need not scan them again.
    gc.collect()
    gc.freeze()
    # A closed connection is a reference cycle of some kilobytes; by the defaults, thousands would pile up.
    gc.set_threshold(*GARBAGE_COLLECTION_THRESHOLDS)
    reactor.run(installSignalHandlers=False)
    return EXIT_STOPPED


def _handle_signals(signals: Signals, service: Service, read_config: Callable[[], Config]) -> None:
    """Reload or drain the service for each signal, including signals that arrived before this call."""

    def handle() -> None:
        requested = signals.take()
        if requested.reload:
            service.reload(read_config)
        if requested.stop:
            service.drain()

    # A signal handler may run between any two instructions. `callFromThread` defers the work to the reactor,
    # which does it between two batches of events.
    reactor = service.components.reactor
    signals.watch(lambda: reactor.callFromThread(handle))
