"""The decoder of the operators' settings, shared by the dispatcher and the bench adapter."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ashcross.decisions.settings import (
    ClassSettings,
    DeduplicationScope,
    EngineKindSettings,
    MemoryShortagePolicy,
    RetrySafety,
    SchedulerSettings,
    TenantSettings,
)
from ashcross.errors import shown
from ashcross.service.config_reader import ConfigError, Section, item_or_default

# Only this module uses the words of the operators' settings; it maps them to the terms of the code.
RETRY_SAFETY = {
    "retryable": RetrySafety.IDEMPOTENT,
    "dedup": RetrySafety.IDEMPOTENT_WITH_KEY,
    "fragile": RetrySafety.NOT_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
MEMORY_SHORTAGE_POLICIES = {
    "queue": MemoryShortagePolicy.WAIT,
    "trim": MemoryShortagePolicy.SHRINK,
    "swap": MemoryShortagePolicy.PAGE,
}
LOAD_REPORT_MODES = {"inline": "inline", "on_probe": "on_probe", "off": "off"}
MEMBERSHIP_MODES = {"automatic": False, "subscribe": True}  # true if the dispatcher must watch the list

DEFAULT_CONNECT_TIMEOUT_US = 1_000_000
DEFAULT_OPEN_REQUESTS = 10_000  # the limit on open requests if the settings have none


@dataclass(frozen=True, slots=True)
class HostSettings:
    """The settings that the program around the scheduler uses."""

    class_names: dict[str, int]  # the index of each class by its name
    classes_with_key: frozenset[str]  # names of the classes whose queries need an idempotency key
    tenants: frozenset[str]
    ordered_classes: frozenset[str]  # names of the classes that keep the order of queries on each table
    longest_give_up_us: int
    answer_slack_us: int
    connection_idle_us: int
    connect_timeout_us: int
    max_attempts_per_connection: int
    max_open_requests: int


def decode(content: Any, path: str = "") -> tuple[SchedulerSettings, HostSettings]:
    """Check the settings and return them in typed form; unknown keys are skipped.

    `path` is the key of the settings in the configuration, for errors. Raises `ConfigError`.
    """
    section = Section(content, path)
    class_sections = section.sections("Classes", min_count=1)
    classes = _classes(section, class_sections)
    settings = _scheduler_settings(section, classes)
    names = {item.text("Name"): index for index, item in enumerate(class_sections)}
    if len(names) < len(class_sections):
        class_names = [item.text("Name") for item in class_sections]
        repeated = next(name for index, name in enumerate(class_names) if name in class_names[:index])
        raise ConfigError(
            section.key_path("Classes"), "a unique Name in each class", f"{shown(repeated)} more than once"
        )
    return settings, _host_settings(section, settings, names)


def _classes(section: Section, class_sections: list[Section]) -> tuple[ClassSettings, ...]:
    family = section.section("FamilyInfo")
    slots = family.numbers("ClassThreads")
    loads = family.numbers("ClassLoad")
    waits = family.numbers("ClassWaits")
    return tuple(
        ClassSettings(
            retry_safety=item.choice("Idempotency", RETRY_SAFETY, "fragile"),
            deduplication_scope=item.choice("Group", DEDUPLICATION_SCOPES, "all"),
            repeat_window_us=item.integer("Window", 0),
            latency_objective_us=item.integer("Aim", minimum=1),
            latency_objective_per_work=item.number("AimStretch", 0.0),
            give_up_after_us=item.integer("GiveUp", minimum=1),
            priority_weight=item.number("Points", 1.0),
            late_value_share=item.number("LateShare", 0.0),
            slots=int(item_or_default(slots, index, 1)),
            loads_tables=bool(item_or_default(loads, index, 0)),
            waits_for_table_loads=bool(item_or_default(waits, index, 0)),
            ordered=item.boolean("InTurn", False),
            allowed_zones=item.texts("FailureDomainsOpen"),
            allowed_engine_kinds=item.texts("RunsOn"),
        )
        for index, item in enumerate(class_sections)
    )


def _engine_kinds(section: Section) -> tuple[EngineKindSettings, ...]:
    family = section.section("FamilyInfo")
    cores = family.numbers("CpuOfKind")
    memory_mb = family.numbers("SizeMb")
    return tuple(
        EngineKindSettings(
            name=name,
            cores=item_or_default(cores, index, 1.0),
            memory_mb=item_or_default(memory_mb, index, 0.0),
        )
        for index, name in enumerate(section.texts("MachineTypes"))
    )


def _tenants(section: Section) -> tuple[TenantSettings, ...]:
    return tuple(
        TenantSettings(name=item.text("Name"), quota_per_s=item.number("AllowancePerS", 0.0))
        for item in section.sections("Tenants")
    )


def _scheduler_settings(section: Section, classes: tuple[ClassSettings, ...]) -> SchedulerSettings:
    """Read all settings of the scheduler; one line for each field."""
    family = section.section("FamilyInfo")
    limits = section.section("Limits")
    rules = section.section("Guarantees")
    prices = section.section("Deductions")
    report = section.section("Report")
    report_mode = report.choice("How", LOAD_REPORT_MODES, "off")
    _check_unused_keys(section, family)
    return SchedulerSettings(
        classes=classes,
        engine_kinds=_engine_kinds(section),
        tenants=_tenants(section),
        instance_index=section.integer("Me", 0),
        instance_count=section.integer("Instances", 1),
        zone=section.text("MyZone", ""),
        time_step_us=section.integer("Step", 1000),
        must_watch_endpoint_list=section.choice("MembershipMode", MEMBERSHIP_MODES, "automatic"),
        cancel_allowed=limits.boolean("MayCancel", False),
        hedging_allowed=limits.boolean("SecondCopies", False),
        retry_after_allowed=limits.boolean("RetryAfter", False),
        max_retry_after_us=limits.integer("MaxRetryAfter", 0),
        max_attempts=limits.integer("MaxAttempts", 1),
        health_checks_allowed=limits.boolean("Probes", False),
        load_report_fields=report.texts("Fields") if report_mode != "off" else (),
        load_reports_in_answers=report_mode == "inline",
        memory_grants_apply=family.boolean("GrantsCount", False),
        priorities_apply=family.boolean("Priorities", False),
        max_grant_share=family.number("LargestShare", 1.0),
        memory_shortage_policy=family.choice("MemoryShort", MEMORY_SHORTAGE_POLICIES, "queue"),
        cross_zone_price=prices.number("CrossZone", 0.0),
        connection_price=prices.number("Handshake", 0.0),
        health_check_price=prices.number("Probe", 0.0),
        connection_idle_us=limits.integer("ConnIdle", 0),
        connect_timeout_us=limits.integer("DialTimeout", DEFAULT_CONNECT_TIMEOUT_US),
        drain_grace_us=rules.integer("DrainGrace", 0),
        slow_start_initial_share=rules.number("ColdFrom", 1.0),
        slow_start_us=rules.integer("RampTime", 0),
        overload_threshold=rules.number("FallMultiple", 0.0),
        overload_window_us=rules.integer("Fall", 0),
        endpoint_list_max_age_us=rules.integer("AskWithin", 0),
        ordering_quiet_us=rules.integer("KeyQuiet", 0),
        retry_budget_window_us=rules.integer("CountedOver", 0),
        retry_budget_base=rules.number("FreeResends", 0.0),
        retry_budget_ratio=rules.number("ExtraPerRequest", 0.0),
    )


def _check_unused_keys(section: Section, family: Section) -> None:
    """Check the form of keys that the settings define and the scheduler does not use."""
    family.boolean("CostInAnswers", False)
    section.number("OverShareWorth", 1.0)


def _host_settings(section: Section, settings: SchedulerSettings, names: dict[str, int]) -> HostSettings:
    limits = section.section("Limits")
    classes = settings.classes
    return HostSettings(
        class_names=names,
        classes_with_key=frozenset(
            name
            for name, index in names.items()
            if classes[index].retry_safety is RetrySafety.IDEMPOTENT_WITH_KEY
        ),
        tenants=frozenset(tenant.name for tenant in settings.tenants),
        ordered_classes=frozenset(name for name, index in names.items() if classes[index].ordered),
        longest_give_up_us=max(item.give_up_after_us for item in classes),
        answer_slack_us=section.section("Guarantees").integer("AnswerSlack", 0),
        connection_idle_us=limits.integer("ConnIdle", 0),
        connect_timeout_us=settings.connect_timeout_us,
        max_attempts_per_connection=limits.integer("Multiplex", 1, minimum=1),
        max_open_requests=limits.integer("MaxOpen", DEFAULT_OPEN_REQUESTS, minimum=1),
    )
