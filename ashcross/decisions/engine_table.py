"""The engines of the endpoint list, and the order in which they are compared."""

from __future__ import annotations

from ashcross.decisions.context import Context
from ashcross.decisions.engines import Engine
from ashcross.decisions.events import Endpoint, EndpointListKind, EndpointListUpdate, EndpointState
from ashcross.decisions.requests import Attempt, Request

LARGE_FLEET = 256  # engines; in a larger fleet each reports seldom, and reviews are as much rarer
RECENT_ENGINES = 64  # engines of the last attempts that are known as such in a large fleet


class EngineTable:
    """Which engines there are and which are ready; each process has a record of its own.

    Rule 3 (drains kept): an engine that is not ready on the last list gets nothing new.
    """

    def __init__(self, context: Context) -> None:
        self._kinds = {kind.name: kind for kind in context.settings.engine_kinds}
        self._random = context.random
        self.by_name: dict[str, Engine] = {}
        self.ready: list[Engine] = []  # shuffled; may name engines that are not ready any more
        self._recent: dict[tuple[str, int], Engine] = {}  # by process, the latest last

    def is_large(self) -> bool:
        """Are there so many engines that a review of all at each watch event costs too much?"""
        return len(self.by_name) > LARGE_FLEET

    def apply(self, event: EndpointListUpdate) -> None:
        """Take in a list, or changes of it."""
        if event.kind is EndpointListKind.STALE:
            # which engines drain is not known any more, and rule 3 counts each drain as known by now
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
                engine.ready = False  # the comparison order may still name it
            return
        if engine is None or endpoint.boot_us != engine.endpoint.boot_us:
            if engine is not None:
                engine.ready = False
            engine = self._new_engine(endpoint)  # a new process: all that was learned is void
        was_ready = engine.ready
        engine.endpoint = endpoint
        engine.ready = endpoint.state is EndpointState.READY
        self.by_name[endpoint.name] = engine
        if engine.ready and not was_ready and self.is_large():
            self.ready.append(engine)  # until the next review

    def _new_engine(self, endpoint: Endpoint) -> Engine:
        kind = self._kinds.get(endpoint.engine_kind)
        if kind is None:
            return Engine(endpoint, cores=1, memory_mb=0)
        return Engine(endpoint, cores=kind.cores, memory_mb=kind.memory_mb)

    def refresh_ready(self) -> list[Engine]:
        """Gather the ready engines anew, in a new random order."""
        self.ready = [engine for engine in self.by_name.values() if engine.ready]
        self._random.shuffle(self.ready)
        return self.ready

    def attempt_started(self, request: Request, attempt: Attempt, now: int) -> None:  # noqa: ARG002 (observer)
        """Remember, in a large fleet alone, that there is a connection to the engine."""
        if not self.is_large():
            return
        process = attempt.engine.process_key()
        self._recent.pop(process, None)
        self._recent[process] = attempt.engine
        if len(self._recent) > RECENT_ENGINES:
            del self._recent[next(iter(self._recent))]

    def recently_used(self, avoid: Engine | None) -> list[Engine]:
        """Ready engines to which there is a connection, in random order, without `avoid`."""
        recent = [engine for engine in self._recent.values() if engine.ready and engine is not avoid]
        self._random.shuffle(recent)
        return recent
