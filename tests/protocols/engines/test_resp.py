"""Tests of the RESP codec: fields and load reports."""

from __future__ import annotations

from ashcross.protocols.engines import resp


def test_fields_and_load_reports_are_parsed() -> None:
    assert resp.fields(b"total=3,l=active:7;cpu:0.61,odd") == {"total": "3", "l": "active:7;cpu:0.61"}
    assert resp.fields(b"-") == {}
    assert resp.join_fields({}) == b"-"
    assert resp.join_fields({"sort": "lookup", "band": "2"}) == b"sort=lookup,band=2"
    assert resp.load_report("active:7;cpu:0.61;x0:nan;x1:;odd;y:inf") == {"active": 7.0, "cpu": 0.61}
