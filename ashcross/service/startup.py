"""The start of a dispatcher: known endpoints, listening, and the wait for service discovery."""

from __future__ import annotations

from socket import AF_INET
from typing import Any

from loguru import logger

from ashcross.decisions.events import EndpointListKind
from ashcross.service.assembly import Components
from ashcross.service.listener import BACKLOG, EarlyListener
from ashcross.service.phases import Phase


class Startup:
    """Startup of a dispatcher, from assembled components to the serving phase.

    The endpoints in the configuration may be out of date, and an engine that has begun to drain since they
    were written must get no queries. Nothing is therefore forwarded until service discovery has sent its
    backlog, however long that takes. Readiness does not wait as long: the dispatcher answers pings as ready
    once the backlog is there, or after `start_wait_ms` without it.
    """

    def __init__(self, components: Components) -> None:
        self._components = components

    def load_known_endpoints(self) -> None:
        """Pass the endpoints of the configuration to the dispatcher core."""
        core = self._components.core
        endpoints = self._components.endpoints
        known_list = endpoints.apply_events(self._components.config.known_events, EndpointListKind.CACHED)
        if self._components.discovery is None:
            core.enqueue_event(known_list)
        else:
            core.set_list_freshness(False)
        core.process_batch()

    def listen(self, listener: EarlyListener | None) -> Any:
        """Accept clients, on the socket of `listener` if there is one, and return Twisted's port.

        Raises `CannotListenError` if the address cannot be bound.
        """
        components = self._components
        host, port_number = components.config.listen
        components.core.listening_since_us = components.clock()
        if listener is None:
            port = components.reactor.listenTCP(
                port_number, components.clients, backlog=BACKLOG, interface=host
            )
        else:
            components.core.listening_since_us -= listener.age_us(components.config.cores)
            descriptor = listener.socket.fileno()
            port = components.reactor.adoptStreamPort(descriptor, AF_INET, components.clients)
            listener.socket.close()  # `adoptStreamPort` has duplicated the descriptor
        components.clients.accept_from(port)
        return port

    def wait_for_discovery(self) -> None:
        """Start discovery, whose backlog ends the startup; without discovery, start serving at once."""
        if self._components.discovery is None:
            self._components.phases.start_serving()
            return
        self._components.discovery.start()
        wait_s = self._components.config.transport.max_discovery_wait_ms / 1000
        self._components.reactor.callLater(wait_s, self._discovery_wait_over)

    def _discovery_wait_over(self) -> None:
        """Start serving without the endpoint list; no query is forwarded until it arrives."""
        if self._components.phases.current is Phase.STARTING:
            logger.warning(
                "service discovery has sent no endpoint list within {} ms: answering pings as ready, "
                "but forwarding no queries until it does",
                self._components.config.transport.max_discovery_wait_ms,
            )
            self._components.phases.start_serving()
