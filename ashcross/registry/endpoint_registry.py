"""The engines that service discovery lists: their state, their address and the connections to them."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Protocol

from ashcross.decisions.events import Endpoint, EndpointListKind, EndpointListUpdate, EndpointState
from ashcross.logs import rate_limited_log
from ashcross.registry.request_registry import AttemptRecord, HealthCheckRecord

# Returns an endpoint with its start time. The second argument is how long ago (us) the list did not name it,
# None if that is unknown.
StartTimeResolver = Callable[[Endpoint, int | None], Endpoint]


def _as_announced(endpoint: Endpoint, _unseen_us: int | None) -> Endpoint:
    return endpoint


@dataclass(frozen=True, slots=True)
class DiscoveredEndpoint:
    """One entry of the endpoint list: the scheduler's `Endpoint`, and the address, which only dials need."""

    endpoint: Endpoint
    host: str
    port: int
    unreadable: bool = False  # only its name could be read: it gets no new attempt until its state is known


@dataclass(frozen=True, slots=True)
class EndpointListEvent:
    """One watch event of service discovery."""

    event_number: int
    version: int
    is_snapshot: bool
    endpoints: tuple[DiscoveredEndpoint, ...]
    unconfirmed_us: int | None = None  # how long ago the complete list was known without this event
    # delivered before the events that precede it: known engines that are not ready in it, or where it lists
    # another process, take no new attempt
    withheld_only: bool = False


class PooledConnection(Protocol):
    """The interface of an engine connection to the pool and to the engine's other connections.

    Times are microseconds of the dispatcher's clock.
    """

    @property
    def record(self) -> EngineRecord:
        """The engine of the connection."""

    @property
    def is_connected(self) -> bool:
        """Whether the connection is established and not closed."""

    @property
    def is_unresponsive(self) -> bool:
        """Whether a health check on the connection was not answered."""

    @property
    def attempts(self) -> Mapping[str, AttemptRecord]:
        """The attempts in flight on the connection, by request id."""

    @property
    def answer_count(self) -> int:
        """The number of answers received on the connection."""

    @property
    def last_used_us(self) -> int:
        """The time (us) of the last bytes on the connection, in either direction."""

    @property
    def last_heard_us(self) -> int:
        """The time (us) of the last bytes from the engine on the connection."""

    def start_attempt(self, attempt: AttemptRecord) -> None:
        """Put an attempt on the connection."""

    def start_health_check(self, health_check: HealthCheckRecord) -> None:
        """Put a health check on the connection."""

    def can_take_attempt(self, exclusive: bool) -> bool:
        """Return whether one more attempt may be put on the connection; an exclusive one needs it empty."""

    def is_idle(self) -> bool:
        """Return whether the connection is established and carries no attempt or health check."""

    def has_unsent_bytes(self) -> bool:
        """Return whether bytes that were written have not been passed to the kernel."""

    def sweep(self) -> None:
        """Close the connection if it is faulty."""

    def close(self) -> None:
        """Close the connection; the attempts in flight on it are reset."""


@dataclass(eq=False, slots=True)
class EngineRecord:
    """One engine process at one address; a new process or a new address is a new record."""

    name: str
    host: str
    port: int
    boot_us: int
    state: EndpointState
    first_event: int = 0  # the first event that listed it, counted by the registry
    connections: list[PooledConnection] = field(default_factory=list)

    @property
    def ready(self) -> bool:
        """Whether new attempts may be written to the engine."""
        return self.state is EndpointState.READY

    @property
    def address(self) -> tuple[str, int]:
        """The host and port at which the process was listed."""
        return self.host, self.port


def listens_instead_of(process: EngineRecord, other: EngineRecord) -> bool:
    """Return whether `process` is the one that listens at the address that both are listed with.

    A process may get the address of one that has gone and is still listed. The one that a later event listed
    first is the later one. The entries of one event have no order: there the start times decide, and of two
    equal ones the entry that is applied last.
    """
    return (process.first_event, process.boot_us) >= (other.first_event, other.boot_us)


class EndpointRegistry:
    """Engines by name; the records of removed engines are kept until their connections have ended."""

    def __init__(self, resolve_start_time: StartTimeResolver = _as_announced) -> None:
        self._resolve_start_time = resolve_start_time
        self.engines: dict[str, EngineRecord] = {}
        self.departed: list[EngineRecord] = []  # removed engines that still have connections
        self._endpoints: dict[str, Endpoint] = {}
        self._listening: dict[tuple[str, int], EngineRecord] = {}  # by address; the others there are withheld
        self._event_count = 0
        self.version = 0

    def apply_events(
        self, events: Iterable[EndpointListEvent], kind: EndpointListKind = EndpointListKind.DELTA
    ) -> EndpointListUpdate:
        """Apply watch events in order and return one update for the scheduler that covers all of them.

        The update is the complete list if an event was a snapshot or `kind` is CACHED, else the changes.
        """
        changed: dict[str, Endpoint] = {}
        has_snapshot = False
        for event in events:
            self._event_count += 1
            self.version = event.version
            if event.is_snapshot:
                has_snapshot = True
                self._remove_unlisted(event)
            for discovered in event.endpoints:
                if event.withheld_only or discovered.unreadable:
                    self._withhold_listed(discovered, changed)
                else:
                    self._apply(discovered, event.unconfirmed_us, changed)
        if kind is EndpointListKind.CACHED:
            return EndpointListUpdate(kind, self.version, tuple(self._endpoints.values()))
        if has_snapshot:
            return self.snapshot()
        return EndpointListUpdate(EndpointListKind.DELTA, self.version, tuple(changed.values()))

    def snapshot(self) -> EndpointListUpdate:
        """Return an update with the complete current list."""
        return EndpointListUpdate(EndpointListKind.FULL, self.version, tuple(self._endpoints.values()))

    def _remove_unlisted(self, snapshot: EndpointListEvent) -> None:
        listed = {discovered.endpoint.name for discovered in snapshot.endpoints}
        for name in [name for name in self.engines if name not in listed]:
            self._remove(name)

    def _apply(
        self, discovered: DiscoveredEndpoint, unseen_us: int | None, changed: dict[str, Endpoint]
    ) -> None:
        """Apply one entry of the list and add the endpoints that it changes for the scheduler."""
        endpoint = discovered.endpoint
        if endpoint.state is EndpointState.REMOVED:
            self._remove(endpoint.name)
            changed[endpoint.name] = endpoint
            return
        endpoint = self._resolve_start_time(endpoint, unseen_us)
        record = self.engines.get(endpoint.name)
        if record is None or not _is_same_process(record, discovered, endpoint):
            # a new process or a new address: no new attempt may be written on the old connections
            self._remove(endpoint.name)
            record = EngineRecord(
                endpoint.name,
                discovered.host,
                discovered.port,
                endpoint.boot_us,
                endpoint.state,
                self._event_count,
            )
            self.engines[endpoint.name] = record
        record.state = endpoint.state
        self._endpoints[endpoint.name] = endpoint
        changed[endpoint.name] = endpoint
        self._withhold_others_at_address(record, changed)

    def _withhold_others_at_address(self, record: EngineRecord, changed: dict[str, Endpoint]) -> None:
        """Withhold all but one of the processes that are listed at the address of `record`.

        Without this a query for a process that has gone would reach another one at its address, of another
        kind, zone or cell, or one in slow start.
        """
        listening = self._listening.get(record.address)
        gone: EngineRecord | None = record
        if listening is None or listens_instead_of(record, listening):
            gone, listening = listening, record
            self._listening[record.address] = record
        if gone is None or gone is listening or not gone.ready:
            return
        rate_limited_log.warn(
            "roster",
            "engine gets no new attempts, another one is listed at its address: "
            f"engine={gone.name!r} address={gone.host}:{gone.port} other={listening.name!r}",
        )
        self._withhold(gone.name, changed)

    def _withhold_listed(self, discovered: DiscoveredEndpoint, changed: dict[str, Endpoint]) -> None:
        """Withhold the engines that an entry shows not to be ready or to be replaced, without applying it."""
        endpoint = discovered.endpoint
        if discovered.unreadable or endpoint.state is not EndpointState.READY:
            self._withhold(endpoint.name, changed)
            return
        listening = self._listening.get((discovered.host, discovered.port))
        for record in (self.engines.get(endpoint.name), listening):
            if record is not None and not _is_same_process(record, discovered, endpoint):
                self._withhold(record.name, changed)

    def _withhold(self, name: str, changed: dict[str, Endpoint]) -> None:
        """Mark a known engine as draining, so that it gets nothing new; a later event gives its state."""
        record = self.engines.get(name)
        if record is not None and record.ready:
            record.state = EndpointState.DRAINING
            endpoint = replace(self._endpoints[name], state=EndpointState.DRAINING)
            self._endpoints[name] = endpoint
            changed[name] = endpoint

    def _remove(self, name: str) -> None:
        self._endpoints.pop(name, None)
        record = self.engines.pop(name, None)
        if record is not None:
            record.state = EndpointState.REMOVED
            if self._listening.get(record.address) is record:
                del self._listening[record.address]
            if record.connections:
                self.departed.append(record)

    def records(self) -> list[EngineRecord]:
        """Return all engines to which there may be connections."""
        self.departed = [record for record in self.departed if record.connections]
        return [*self.engines.values(), *self.departed]

    def connection_count(self) -> int:
        """Return the number of connections to engines, established or connecting."""
        return sum(len(record.connections) for record in self.records())


def _is_same_process(record: EngineRecord, discovered: DiscoveredEndpoint, endpoint: Endpoint) -> bool:
    return (
        record.name == endpoint.name
        and record.host == discovered.host
        and record.port == discovered.port
        and record.boot_us == endpoint.boot_us
    )
