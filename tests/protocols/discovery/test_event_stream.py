"""Tests of the request that opens the event stream."""

from __future__ import annotations

from ashcross.protocols.discovery import event_stream


def test_request_contains_the_last_event_number() -> None:
    lines = event_stream.request("10.0.0.1:8500", "/bulletins", 41).split(b"\r\n")
    assert lines[0] == b"GET /bulletins HTTP/1.1"
    assert b"Host: 10.0.0.1:8500" in lines
    assert b"Last-Event-ID: 41" in lines
    assert lines[-2:] == [b"", b""]
