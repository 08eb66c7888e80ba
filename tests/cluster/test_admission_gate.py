"""The dispatcher's admission gate: the decision module receives only admitted requests."""

from __future__ import annotations

from ashcross.decisions.events import RequestReceived
from tests.harness.dispatcher_bed import DispatcherBed


class ManualGate:
    """A gate that records calls and neither admits nor rejects a request by itself."""

    def __init__(self) -> None:
        self.finished: list[str] = []
        self.started: list[str] = []

    def request_received(self, request: object, team: str | None) -> None:
        pass

    def attempt_started(self, request: object) -> None:
        self.started.append(getattr(request, "request_id"))  # noqa: B009

    def request_finished(self, request: object) -> None:
        self.finished.append(getattr(request, "request_id"))  # noqa: B009


def test_module_receives_a_request_only_after_its_admission() -> None:
    bed, gate = DispatcherBed(), ManualGate()
    bed.dispatcher.gate = gate
    admitted, rejected = bed.accept("a" * 16), bed.accept("b" * 16)
    disconnected = bed.accept("c" * 16)
    bed.run()
    assert not bed.scheduler.of(RequestReceived)
    bed.dispatcher.admit(admitted.request_id)
    bed.dispatcher.reject(rejected.request_id, 1_500)
    bed.dispatcher.client_disconnected(disconnected)
    bed.dispatcher.admit(disconnected.request_id)
    bed.dispatcher.reject(admitted.request_id, 1_500)  # without effect, as it was admitted before
    bed.run()
    assert [event.request_id for event in bed.scheduler.of(RequestReceived)] == [admitted.request_id]
    assert gate.finished == [rejected.request_id, disconnected.request_id]
    assert rejected.is_over
    assert not admitted.is_over
