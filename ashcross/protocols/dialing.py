"""Connects one Twisted protocol to an address."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol


class _SingleProtocolFactory(Factory):
    """A factory that returns an existing protocol."""

    noisy = False

    def __init__(self, protocol: Protocol) -> None:
        self._protocol = protocol

    def buildProtocol(self, addr: Any) -> Protocol:
        """Return the existing protocol."""
        return self._protocol


def dial(reactor: Any, address: tuple[str, int], timeout_s: float, protocol: Protocol) -> Deferred[Any]:
    """Connect a protocol; the Deferred fails if the dial is refused or takes longer than `timeout_s`."""
    host, port = address
    timeout: Any = timeout_s  # the endpoint is annotated with int seconds, but its timer takes floats
    factory: Any = _SingleProtocolFactory(protocol)
    return TCP4ClientEndpoint(reactor, host, port, timeout=timeout).connect(factory)
