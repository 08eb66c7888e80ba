"""Tests with the configurations of two invented customers (deploy/sites), whose classes and limits differ.

They guard against code that assumes the class names or limits of one deployment.
"""

from __future__ import annotations

import copy
import time
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from twisted.internet.testing import MemoryReactorClock

from ashcross.protocols.clients import json_rpc
from ashcross.protocols.engines import resp
from ashcross.service.assembly import build
from ashcross.service.config_schema import parse_config
from tests.harness.peers import EXAMPLE, ROOT, FakeEngine, TestBed

SITES = sorted((ROOT / "deploy" / "sites").glob("*.toml"))
# Words of the site files, mapped to the words of the settings.
IDEMPOTENCY = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
REPORT_FIELDS = {"inflight": "active", "util": "cpu", "x0": "x0", "x1": "x1"}
REPORT_MODES = {"answers": "inline", "probe": "on_probe", "none": "off"}


def settings_of(site: dict[str, Any]) -> dict[str, Any]:
    """Return the operators' settings for one instance of a site."""
    tier, rules, allow, family = site["tier"][0], site["rules"], site["allow"], site["fam"]["class"]
    kinds = tier["kind"]
    classes = [
        {
            "Name": site_class["name"],
            "Idempotency": IDEMPOTENCY[site_class["effect"]],
            "Group": site_class.get("group", "all"),
            "Window": site_class.get("window_ms", 0) * 1000,
            "Aim": site_class["aim_ms"] * 1000,
            "AimStretch": site_class["aim_stretch"],
            "GiveUp": site_class["deadline_ms"] * 1000,
            "Points": site_class["worth"],
            "LateShare": site_class["late_worth"],
        }
        | ({"RunsOn": site_class["only_kinds"]} if "only_kinds" in site_class else {})
        for site_class in site["class"]
    ]
    return {
        "Classes": classes,
        "FailureDomains": site["net"]["zones"],
        "FamilyInfo": {
            "ClassLoad": [family_class.get("load", False) for family_class in family],
            "ClassThreads": [family_class.get("threads", 1) for family_class in family],
            "ClassWaits": [family_class.get("waits", False) for family_class in family],
            "CostInAnswers": site["fam"]["tells_cost"],
            "CpuOfKind": [kind["cores"] for kind in kinds],
            "GrantsCount": site["fam"]["grants"],
            "LargestShare": 0.4,
            "MemoryShort": "queue",
            "Priorities": site["fam"]["priorities"],
            "SizeMb": [4096.0] * len(kinds),
        },
        "Guarantees": {
            "AnswerSlack": 20_000,
            "AskWithin": 10_000_000,
            "ColdFrom": kinds[0]["cold_from"][0],
            "DrainGrace": rules["drain_grace_ms"] * 1000,
            "Fall": rules["fall_ms"] * 1000,
            "FallMultiple": rules["fall_multiple"],
            "RampTime": int(kinds[0]["cold_s"][1] * 1e6),
        },
        "Instances": site["scale"]["balancers"][1],
        "Me": 1,
        "MembershipMode": "automatic",
        "Limits": {
            "ConnIdle": tier["conn"]["idle_s"] * 1_000_000,
            "DialTimeout": 250_000,
            "MaxAttempts": allow["max_attempts"],
            "MaxOpen": 4_000,
            "MaxRetryAfter": site["clients"]["max_retry_after_ms"] * 1000,
            "MayCancel": allow["cancel"],
            "Multiplex": tier["conn"]["streams"],
            "Probes": False,
            "RetryAfter": allow["retry_after"],
            "SecondCopies": allow["second_copies"],
        },
        "MachineTypes": [kind["name"] for kind in kinds],
        "MyZone": site["net"]["zones"][0],
        "OverShareWorth": site["load"]["over_share_worth"],
        "Report": {
            "Fields": [REPORT_FIELDS[name] for name in tier["report"]["fields"]],
            "How": REPORT_MODES[tier["report"]["how"]],
        },
        "Step": site["day"]["tick_ms"] * 1000,
        "Tenants": [{"Name": tenant["name"], "AllowancePerS": 100.0} for tenant in site["tenant"]],
    }


class SiteBed:
    """A dispatcher process with the settings of one site, and a scripted engine."""

    def __init__(self, path: Path, folder: Path, cancel: bool = True) -> None:
        self.site = tomllib.loads(path.read_text(encoding="utf-8"))
        self.site["allow"]["cancel"] = cancel
        self.test_bed = TestBed(folder, engines=1, settings=settings_of(self.site))
        self.test_bed.start_serving()
        self.classes = {site_class["name"]: site_class for site_class in self.site["class"]}
        self.tenant = self.site["tenant"][-1]["name"]

    def connected_engine(self) -> FakeEngine:
        return self.test_bed.serve_one(self.query(1, "f" * 16, self.classes_with("safe")[0]["name"]))

    def classes_with(self, effect: str) -> list[dict[str, Any]]:
        return [site_class for site_class in self.site["class"] if site_class["effect"] == effect]

    def query(self, call_id: int, request_id: str, class_name: str, **more: Any) -> bytes:
        site_class = self.classes[class_name]
        key = {"unique": f"{int(request_id, 16):032x}"} if site_class["effect"] == "keyed" else {}
        parameters = {"limit_ms": site_class["deadline_ms"] * 0.9, "team": self.tenant} | key | more
        return self.test_bed.query(call_id, request_id, class_name, **parameters)


@pytest.fixture(params=SITES, ids=lambda path: path.stem)
def site_bed(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[SiteBed]:
    # A cancelled query with a key is retried within its repeat window, so it would not fail: the test of
    # queries that may not be repeated (`may_not` in its name) runs without cancels.
    bed = SiteBed(request.param, tmp_path, cancel="may_not" not in request.function.__name__)
    yield bed
    bed.test_bed.close()


def test_two_sites_have_different_shapes() -> None:
    sites = [tomllib.loads(path.read_text(encoding="utf-8")) for path in SITES]
    assert len(sites) == 2
    assert len({len(site["class"]) for site in sites}) == 2
    for site in sites:
        effects = [site_class["effect"] for site_class in site["class"]]
        assert "unsafe" in effects
        assert min(site_class.get("window_ms", 1 << 30) for site_class in site["class"]) <= 2_000


def test_each_class_is_served_under_its_name_and_key(site_bed: SiteBed) -> None:
    client, engine = site_bed.test_bed.connect_client(), None
    for call_id, site_class in enumerate(site_bed.site["class"], 1):
        request_id = site_bed.test_bed.new_request_id()
        client.send(site_bed.query(call_id, request_id, site_class["name"]))
        engine = engine or site_bed.test_bed.accept_engine()
        command, sent_id, encoded_fields, _ = engine.next_command()
        fields = resp.fields(encoded_fields)
        assert (command, sent_id.decode(), fields["sort"]) == (b"PULL", request_id, site_class["name"])
        key = f"{int(request_id, 16):032x}" if site_class["effect"] == "keyed" else None
        assert fields.get("op") == key
        engine.serve(request_id)
        answer = client.next_answer()
        assert answer is not None
        assert (answer.call_id, answer.result is not None) == (call_id, True)
    for call_id, class_name in enumerate(("lookup", "match-report"), 50):  # classes of other customers
        client.send(site_bed.test_bed.query(call_id, site_bed.test_bed.new_request_id(), class_name))
        answer = client.next_answer()
        assert answer is not None
        assert answer.code == json_rpc.UNKNOWN_METHOD
    client.send(
        site_bed.query(60, site_bed.test_bed.new_request_id(), site_bed.site["class"][0]["name"], team="acme")
    )
    answer = client.next_answer()
    assert answer is not None
    assert answer.code == json_rpc.INVALID_PARAMS


def test_query_that_may_not_be_repeated_fails_without_retry(site_bed: SiteBed) -> None:
    """An unsafe query fails after `crashed`, as it may have run; one with a key after its repeat window."""
    client, engine = site_bed.test_bed.connect_client(), site_bed.connected_engine()
    keyed_class = min(site_bed.classes_with("keyed"), key=lambda site_class: site_class["window_ms"])
    for call_id, site_class in enumerate((site_bed.classes_with("unsafe")[0], keyed_class), 1):
        request_id = site_bed.test_bed.new_request_id()
        client.send(site_bed.query(call_id, request_id, site_class["name"]))
        assert engine.next_request_id() == request_id
        time.sleep(site_class.get("window_ms", 0) / 1000)  # a longer sleep does no harm
        engine.send(request_id.encode(), b"crashed", b"-", b"")
        answer = client.next_answer()
        assert answer is not None
        assert (answer.call_id, answer.code) == (call_id, json_rpc.FAILED)
        next_request_id = site_bed.test_bed.new_request_id()
        client.send(site_bed.query(call_id + 10, next_request_id, site_bed.classes_with("safe")[0]["name"]))
        assert engine.next_request_id() == next_request_id
        engine.serve(next_request_id)
        answer = client.next_answer()
        assert answer is not None
        assert answer.result is not None
    site_bed.test_bed.engines["e1"].socket.settimeout(0.0)
    with pytest.raises(BlockingIOError):  # a retry would have opened another connection
        site_bed.test_bed.engines["e1"].accept()


def test_short_repeat_window_limits_retry_dial_time() -> None:
    """A retry is decided within nine tenths of its repeat window and must be sent before the window ends."""
    for window_us, max_retry_delay_us in ((12_000_000, 50_000), (400_000, 20_000)):
        content = copy.deepcopy(EXAMPLE)
        content["settings"]["Classes"][2]["Window"] = window_us
        reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
        limits = build(parse_config(content), reactor).engines.limits
        assert limits.max_retry_delay_us == max_retry_delay_us


def test_request_with_key_is_retried_within_repeat_window(site_bed: SiteBed) -> None:
    client, engine = site_bed.test_bed.connect_client(), site_bed.connected_engine()
    keyed_class = min(site_bed.classes_with("keyed"), key=lambda site_class: site_class["window_ms"])
    request_id = site_bed.test_bed.new_request_id()
    client.send(site_bed.query(1, request_id, keyed_class["name"]))
    first_command = engine.next_command()
    engine.send(request_id.encode(), b"crashed", b"-", b"")
    second_connection = site_bed.test_bed.accept_engine()
    second_command = second_connection.next_command()
    assert [command[:2] for command in (first_command, second_command)] == [
        [b"PULL", request_id.encode()]
    ] * 2
    assert resp.fields(first_command[2])["op"] == resp.fields(second_command[2])["op"]
    second_connection.serve(request_id)
    answer = client.next_answer()
    assert answer is not None
    assert answer.result is not None
