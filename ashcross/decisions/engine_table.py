"""The engines of the endpoint list, and the order in which they are compared."""

from __future__ import annotations

from ashcross.decisions.context import Context
from ashcross.decisions.engines import Engine
from ashcross.decisions.events import Endpoint, EndpointListKind, EndpointListUpdate, EndpointState
from ashcross.decisions.requests import Attempt, Request

# Number of engines above which a fleet is large. In a large fleet each engine reports seldom, so reviews are
# rarer in proportion to its size.
LARGE_FLEET = 256
RECENT_ENGINES = 64  # number of recently used engines that are remembered in a large fleet
MAXIMUM_ADDRESSES = 4_096  # number of addresses whose last process is remembered, also once it has gone


class EngineTable:
    """Holds a record of each engine process on the endpoint list, and the order of the ready engines.

    Rule 3 (drains kept): an engine that the last list shows as not ready gets no new attempts.
    """

    def __init__(self, context: Context) -> None:
        self._kinds = {kind.name: kind for kind in context.settings.engine_kinds}
        self._random = context.random
        self.by_name: dict[str, Engine] = {}
        # in the random order of the last review; may contain engines that are not ready any more
        self.ready: list[Engine] = []
        self._recent: dict[tuple[str, int], Engine] = {}  # by process, most recently used last
        self._last_at: dict[str, Engine] = {}  # the last process listed at each address, latest last

    def is_large(self) -> bool:
        """Return whether the fleet has too many engines to review them all at each change of the list."""
        return len(self.by_name) > LARGE_FLEET

    def apply(self, event: EndpointListUpdate) -> None:
        """Apply an endpoint list, or changes of the last one."""
        if event.kind is EndpointListKind.STALE:
            # The list is out of date, so any engine may be draining. Rule 3 requires that we know of a drain
            # by now, so no engine may get new attempts.
            for engine in self.by_name.values():
                engine.ready = False
        if event.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            listed = {endpoint.name for endpoint in event.endpoints}
            for name in [name for name in self.by_name if name not in listed]:
                self.by_name.pop(name).ready = False
        for endpoint in event.endpoints:
            self._apply_endpoint(endpoint)

    def _apply_endpoint(self, endpoint: Endpoint) -> None:
        engine = self.by_name.pop(endpoint.name, None)
        if endpoint.state is EndpointState.REMOVED:
            if engine is not None:
                engine.ready = False  # `self.ready` may still contain it
            return
        if engine is None or not _is_same_process(engine.endpoint, endpoint):
            if engine is not None:
                engine.ready = False
            engine = self._new_engine(endpoint)  # a new process shares nothing with the former one
            self._note_successor(engine)
        was_ready = engine.ready
        engine.endpoint = endpoint
        engine.ready = endpoint.state is EndpointState.READY
        self.by_name[endpoint.name] = engine
        if engine.ready and not was_ready and self.is_large():
            self.ready.append(engine)  # its place is random only after the next review

    def _new_engine(self, endpoint: Endpoint) -> Engine:
        kind = self._kinds.get(endpoint.engine_kind)
        if kind is None:
            return Engine(endpoint, cores=1, memory_mb=0)
        return Engine(endpoint, cores=kind.cores, memory_mb=kind.memory_mb)

    def _note_successor(self, engine: Engine) -> None:
        """Note which process the new one may have replaced: attempts for that one may have reached it."""
        address = engine.endpoint.address
        if not address:
            return
        former = self._last_at.pop(address, None)
        if former is not None:
            former.successor = engine
        self._last_at[address] = engine
        if len(self._last_at) > MAXIMUM_ADDRESSES:
            del self._last_at[next(iter(self._last_at))]

    def refresh_ready(self) -> list[Engine]:
        """Return the ready engines in a new random order, which replaces the order so far."""
        self.ready = [engine for engine in self.by_name.values() if engine.ready]
        self._random.shuffle(self.ready)
        return self.ready

    def attempt_started(self, request: Request, attempt: Attempt, now: int) -> None:  # noqa: ARG002 (observer)
        """Remember in a large fleet that a connection to the engine is open."""
        if not self.is_large():
            return
        process_key = attempt.engine.process_key()
        self._recent.pop(process_key, None)
        self._recent[process_key] = attempt.engine
        if len(self._recent) > RECENT_ENGINES:
            del self._recent[next(iter(self._recent))]

    def recently_used(self, avoid: Engine | None) -> list[Engine]:
        """Return ready engines to which a connection is probably open, in random order, without `avoid`."""
        recent = [engine for engine in self._recent.values() if engine.ready and engine is not avoid]
        self._random.shuffle(recent)
        return recent


def _is_same_process(known: Endpoint, listed: Endpoint) -> bool:
    """Return whether two entries of one engine name are the same process, at the same address."""
    return known.boot_us == listed.boot_us and known.address == listed.address
