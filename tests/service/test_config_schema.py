"""Tests of the configuration schema: defaults, and errors that name the invalid key."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest

from ashcross.bench_adapter import codec
from ashcross.service.config_reader import ConfigError
from ashcross.service.config_schema import TransportSettings, parse_config

EXAMPLE: dict[str, Any] = json.loads(
    (Path(__file__).parents[2] / "examples" / "config.json").read_text(encoding="utf-8")
)


def changed(path: str, value: Any) -> dict[str, Any]:
    content = copy.deepcopy(EXAMPLE)
    *parent_keys, last_key = path.split(".")
    parent: Any = content
    for key in parent_keys:
        parent = parent[int(key)] if key.isdigit() else parent[key]
    if value is None:
        parent.pop(last_key, None)
    else:
        parent[int(last_key) if last_key.isdigit() else last_key] = value
    return content


def test_example_is_read_completely() -> None:
    config = parse_config(EXAMPLE)
    assert config.listen == ("127.0.0.1", 8080)
    assert config.discovery == ("127.0.0.1", 8500)
    assert config.seed == 0x0F1E2D3C4B5A6978
    assert config.last_event_number == 1
    assert config.max_descriptors == 1024
    assert [entry.endpoint.name for entry in config.known_events[0].endpoints] == ["e1", "e2", "e3"]
    assert config.host.class_names == {"lookup": 0, "report": 1, "load": 2}
    assert config.host.longest_give_up_us == 15_000_000
    assert config.host.connection_idle_us == 15_000_000
    assert config.transport == TransportSettings()


def test_adapter_and_dispatcher_decode_settings_alike() -> None:
    decoded, names = codec.decode_settings(json.dumps(EXAMPLE["settings"]))
    config = parse_config(EXAMPLE)
    assert (decoded, names) == (config.settings, config.host.class_names)


def test_environment_overrides_listen_address_and_name() -> None:
    config = parse_config(EXAMPLE, {"ROUTER_NAME": "n3", "ROUTER_LISTEN": "127.0.0.2:8081"})
    assert (config.name, config.listen) == ("n3", ("127.0.0.2", 8081))


@pytest.mark.parametrize(
    ("path", "value", "key"),
    [
        ("listen", None, "listen"),
        ("listen", "nowhere", "listen"),
        ("listen", "127.0.0.1:99999", "listen"),
        ("seed", None, "seed"),
        ("seed", "xyz", "seed"),
        ("limits", 5, "limits"),
        ("limits.sockets", "many", "limits.sockets"),
        ("limits.sockets", 2, "limits.sockets"),
        ("limits.memory_mb", 16, "limits.memory_mb"),
        ("limits.memory_mb", "much", "limits.memory_mb"),
        ("transport", {"unsent_share": 0.9}, "transport.statements_share"),
        ("bulletin", "127.0.0.1", "bulletin"),
        ("known.items.0.roster.endpoints", 5, "known.items[0].roster.endpoints"),
        ("known.no", -1, "known.no"),
        ("settings", None, "settings"),
        ("settings.Classes", [], "settings.Classes"),
        ("settings.Classes.0.Aim", None, "settings.Classes[0].Aim"),
        ("settings.Classes.0.Aim", "soon", "settings.Classes[0].Aim"),
        ("settings.Classes.1.Idempotency", "maybe", "settings.Classes[1].Idempotency"),
        ("settings.Classes.1.Name", "lookup", "settings.Classes"),
        ("settings.Classes.1.Name", None, "settings.Classes[1].Name"),
        ("settings.Limits.MaxAttempts", 1.5, "settings.Limits.MaxAttempts"),
        ("settings.Limits.MayCancel", "yes", "settings.Limits.MayCancel"),
        ("settings.Tenants.0.AllowancePerS", True, "settings.Tenants[0].AllowancePerS"),
        ("settings.Report.Fields", [1], "settings.Report.Fields"),
        ("settings.FamilyInfo.ClassThreads", ["a"], "settings.FamilyInfo.ClassThreads"),
        ("transport", {"odd": 1}, "transport.odd"),
        ("transport", {"buffer_bytes": 0}, "transport.buffer_bytes"),
        ("transport", {"log_level": "LOUD"}, "transport.log_level"),
        ("transport", {"clients_share": 0.9}, "transport.links_share"),
    ],
)
def test_error_names_invalid_key(path: str, value: Any, key: str) -> None:
    with pytest.raises(ConfigError) as caught:
        parse_config(changed(path, value))
    assert str(caught.value).startswith(f"{key}: ")
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize("memory_mb", [30, 32, 48, 64, 80, 128, 192, 2048])
@pytest.mark.parametrize("sockets", [64, 256, 384, 1024])
def test_resource_limits_fit_memory_and_descriptors(memory_mb: int, sockets: int) -> None:
    content = changed("limits", {"cores": 0.3, "memory_mb": memory_mb, "sockets": sockets})
    config = parse_config(content)
    transport = config.transport
    limits = config.limits
    memory_bytes = (
        limits.statements_bytes
        + limits.unsent_bytes
        + limits.waiting_buffers * transport.buffer_bytes
        + limits.requests * transport.request_record_bytes
    )
    assert memory_bytes <= (memory_mb - transport.program_memory_mb) << 20
    assert limits.engine_connections + limits.client_connections + transport.reserved_descriptors <= sockets
    # The usual number of clients needs a third of the descriptors that remain for connections.
    assert limits.client_connections >= (sockets - transport.reserved_descriptors) // 3
    assert limits.requests >= 32
    assert limits.spare_buffers <= limits.waiting_buffers
