"""The schema of the configuration: its types, defaults, and the key of the file for each field."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ashcross.decisions.settings import SchedulerSettings
from ashcross.errors import shown
from ashcross.protocols.discovery.endpoint_list import EndpointListError, address, parse_content
from ashcross.registry.endpoint_registry import EndpointListEvent
from ashcross.registry.request_registry import MIN_REMEMBERED_IDS
from ashcross.service.config_reader import ConfigError, Json, Section
from ashcross.service.settings_codec import HostSettings, decode

LISTEN_VARIABLE = "ROUTER_LISTEN"
NAME_VARIABLE = "ROUTER_NAME"

# A start retries to read its file for this long. It is also the default for the retries to listen.
START_RETRY_MS = 10_000
MIN_FRACTION = 0.05  # smallest value of each key of `transport` that is a fraction
MAX_FRACTION = 0.95  # largest value of each of these keys
MAX_RESERVED_DESCRIPTORS = 48  # largest value of `spare_descriptors`
MAX_MEMORY_FRACTIONS = 0.9  # largest sum of the fractions of memory
MAX_DESCRIPTOR_FRACTIONS = 0.95  # largest sum of the fractions of descriptors
MIN_DESCRIPTORS = 64  # smallest value of `limits.sockets`
MIN_SPARE_MEMORY_MB = 3  # smallest memory in addition to what the program itself needs
MIN_REQUESTS = 32  # open requests that are allowed however little memory there is
IDS_MEMORY_FRACTION = 0.05  # share of the free memory for the ids of forwarded requests
ID_BYTES = 260  # a text of 16 characters and its place in an ordered dictionary, with room to grow
MIN_WAITING_BUFFERS = 16  # pooled buffers that are allowed however little memory there is
WAITING_BUFFERS_PER_SPARE = 4  # one spare buffer is kept for this many pooled buffers
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


@dataclass(frozen=True, slots=True)
class TransportSettings:
    """Sizes, fractions and timeouts of the program around the scheduler; none decides about a query.

    PROTOCOL marks a value that the operators' protocol prescribes.
    """

    buffer_bytes: int = 16_384  # size of each pooled buffer
    max_call_bytes: int = 131_072  # body of a client's call
    max_open_requests_per_connection: int = 32  # on one client connection (PROTOCOL)
    client_buffer_bytes: int = 16_384  # read at once from a client, and written to it before it has read
    max_page_bytes: int = 6_000  # one page of a result (PROTOCOL)
    max_answer_bytes: int = 48_000  # a complete result (PROTOCOL)
    max_bulk_string_bytes: int = 8_192  # one bulk string in an engine's answer
    max_pages: int = 64  # pages of one result
    max_connections_per_engine: int = 8
    program_memory_mb: int = 27  # memory that the program needs with few open requests
    # The following four fractions divide the memory that remains.
    statements_memory_fraction: float = 0.2  # for statements of open requests
    unsent_memory_fraction: float = 0.25  # for answers that clients have not read
    buffers_memory_fraction: float = 0.2  # for pooled buffers, which hold incomplete messages
    records_memory_fraction: float = 0.2  # for the records of open requests
    request_record_bytes: int = 4_096  # records of one open request in the registry and the scheduler
    reserved_descriptors: int = 32  # for everything but connections, and for connections that are closing
    # The following two fractions divide the descriptors that remain.
    engine_descriptors_fraction: float = 0.4  # for connections to engines
    client_descriptors_fraction: float = 0.5  # for connections from clients
    # The dispatcher closes an idle engine connection after this fraction of the engines' idle timeout.
    engine_idle_fraction: float = 0.7
    max_protocol_violations: int = 8  # invalid calls after which a client's connection is closed
    incomplete_call_timeout_ms: int = 1_750  # a connection without a complete call is closed after this time
    # A client connection without open requests is closed after this time; clients close theirs after 4 s.
    client_idle_timeout_ms: int = 5_000
    max_accepts_per_batch: int = 8  # connections accepted at once before other sockets are served
    linger_timeout_ms: int = 500  # time for the client of a closing connection to read its answers and close
    max_linger_bytes: int = 262_144  # input that is read and discarded from a closing connection
    max_lingering_connections: int = 8  # closing connections that wait for their clients at the same time
    answer_stall_timeout_ms: int = 750  # an incomplete engine answer without progress is given up after this
    max_retry_dial_ms: int = 50  # a retry whose dial took longer is not sent; less for short repeat windows
    health_check_timeout_ms: int = 250
    cancel_wait_ms: int = 25  # time from a KILL until the scheduler may send the query again
    max_event_bytes: int = 1_048_576  # one event of service discovery
    # Service discovery sends a comment each second: the timeout covers two missing comments.
    discovery_silence_timeout_ms: int = 2_200
    discovery_min_backoff_ms: int = 100  # it doubles with each attempt to connect
    discovery_max_backoff_ms: int = 500
    replay_timeout_ms: int = 1_000  # after it, the held events of a replay of the whole list are delivered
    # An endpoint list without news from discovery is stale after this time; PROTOCOL: notified by 7 s.
    list_max_age_ms: int = 6_500
    # The same after a move of discovery to an address that does not respond; PROTOCOL: 4 s after SIGHUP.
    moved_list_max_age_ms: int = 3_500
    start_retry_ms: int = START_RETRY_MS  # how long a start retries to listen
    max_discovery_wait_ms: int = 3_000  # a start without an endpoint list counts as ready after this time
    max_shutdown_request_ms: int = 3_000  # longest request deadline that delays a shutdown (PROTOCOL)
    kill_grace_ms: int = 700  # time from that deadline until the process may be killed
    shutdown_margin_ms: int = 400  # every request is answered this long before the kill
    close_margin_ms: int = 300  # last part of the shutdown margin, in which clients close their connections
    min_shutdown_ms: int = 1_000  # shortest drain; new requests stop arriving within 600 ms of the signal
    lag_warning_ms: int = 100  # a batch that begins later than this after it was due is logged
    log_level: str = "INFO"


# The keys of `transport` in the file, in the order in which errors list them, and the field that each sets.
TRANSPORT_KEYS = {
    "buffer_bytes": "buffer_bytes",
    "call_bytes": "max_call_bytes",
    "open_per_connection": "max_open_requests_per_connection",
    "link_buffer_bytes": "client_buffer_bytes",
    "page_bytes": "max_page_bytes",
    "answer_bytes": "max_answer_bytes",
    "bulk_bytes": "max_bulk_string_bytes",
    "pages": "max_pages",
    "links_per_engine": "max_connections_per_engine",
    "program_mb": "program_memory_mb",
    "statements_share": "statements_memory_fraction",
    "unsent_share": "unsent_memory_fraction",
    "waiting_share": "buffers_memory_fraction",
    "records_share": "records_memory_fraction",
    "record_bytes": "request_record_bytes",
    "spare_descriptors": "reserved_descriptors",
    "links_share": "engine_descriptors_fraction",
    "clients_share": "client_descriptors_fraction",
    "idle_share": "engine_idle_fraction",
    "strikes": "max_protocol_violations",
    "silent_ms": "incomplete_call_timeout_ms",
    "client_idle_ms": "client_idle_timeout_ms",
    "accepts": "max_accepts_per_batch",
    "linger_ms": "linger_timeout_ms",
    "linger_bytes": "max_linger_bytes",
    "lingering": "max_lingering_connections",
    "stalled_ms": "answer_stall_timeout_ms",
    "stale_ms": "max_retry_dial_ms",
    "probe_timeout_ms": "health_check_timeout_ms",
    "kill_wait_ms": "cancel_wait_ms",
    "event_bytes": "max_event_bytes",
    "bulletin_silence_ms": "discovery_silence_timeout_ms",
    "bulletin_retry_ms": "discovery_min_backoff_ms",
    "bulletin_retry_most_ms": "discovery_max_backoff_ms",
    "replay_ms": "replay_timeout_ms",
    "trust_ms": "list_max_age_ms",
    "move_trust_ms": "moved_list_max_age_ms",
    "start_patience_ms": "start_retry_ms",
    "start_wait_ms": "max_discovery_wait_ms",
    "stop_most_ms": "max_shutdown_request_ms",
    "stop_grace_ms": "kill_grace_ms",
    "stop_margin_ms": "shutdown_margin_ms",
    "stop_close_ms": "close_margin_ms",
    "stop_quiet_ms": "min_shutdown_ms",
    "lag_warn_ms": "lag_warning_ms",
    "log_level": "log_level",
}
RETIRED_TRANSPORT_KEYS = ("settle_ms",)  # allowed in older files, without effect
MEMORY_FRACTION_KEYS = ("statements_share", "unsent_share", "waiting_share", "records_share")

# Keys of the file that take effect only at a restart, and the field of `Config` that each one sets. `known`
# and `seed` are absent: they describe a start, and a reload is expected to find other values.
RESTART_KEYS = {
    "name": "name",
    "listen": "listen",
    "limits.sockets": "max_descriptors",
    "limits.memory_mb": "memory_mb",
    "settings": "settings",
    "transport": "transport",
}


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Numbers and bytes that may be held at once and together fit the memory and descriptor limits."""

    requests: int
    remembered_ids: int  # of forwarded requests that are over
    statements_bytes: int
    unsent_bytes: int
    waiting_buffers: int
    spare_buffers: int
    engine_connections: int
    client_connections: int


@dataclass(frozen=True, slots=True)
class Config:
    """The checked configuration of a dispatcher."""

    name: str
    listen: tuple[str, int]
    seed: int
    cores: float
    max_descriptors: int
    memory_mb: int
    discovery: tuple[str, int] | None
    known_events: tuple[EndpointListEvent, ...]
    last_event_number: int  # number of the last known event
    settings: SchedulerSettings
    host: HostSettings
    transport: TransportSettings
    limits: ResourceLimits

    def restart_keys(self, new_config: Config) -> list[str]:
        """Return the keys that differ in `new_config` and cannot change while the program runs."""
        keys = [
            key for key, field in RESTART_KEYS.items() if getattr(self, field) != getattr(new_config, field)
        ]
        if (self.discovery is None) != (new_config.discovery is None):
            keys.append("bulletin (added)" if self.discovery is None else "bulletin (removed)")
        return keys


def parse_config(content: Json, environ: Mapping[str, str] | None = None) -> Config:
    """Check the content of a file and return the configuration; raises `ConfigError` with the invalid key."""
    environ = {} if environ is None else environ
    top = Section(content, "")
    settings, host = decode(top.get("settings"), "settings")
    known_events, last_event_number = _known_events(top)
    transport = _transport(top.section("transport"))
    limits = top.section("limits")
    max_descriptors = limits.integer("sockets", 1024, minimum=MIN_DESCRIPTORS)
    min_memory_mb = transport.program_memory_mb + MIN_SPARE_MEMORY_MB
    memory_mb = limits.integer("memory_mb", 192, minimum=min_memory_mb)
    return Config(
        name=environ.get(NAME_VARIABLE) or top.text("name", "dispatcher"),
        listen=_listen_address(top, environ),
        seed=_seed(top),
        cores=limits.number("cores", 1.0, minimum=0.01),
        max_descriptors=max_descriptors,
        memory_mb=memory_mb,
        discovery=None if top.get("bulletin") is None else _address(top, "bulletin"),
        known_events=known_events,
        last_event_number=last_event_number,
        settings=settings,
        host=host,
        transport=transport,
        limits=resource_limits(transport, memory_mb, max_descriptors, host.max_open_requests),
    )


def resource_limits(
    transport: TransportSettings, memory_mb: int, max_descriptors: int, max_requests: int
) -> ResourceLimits:
    """Divide memory and descriptors; `max_requests` is the bound of the settings on open requests."""
    free_bytes = (memory_mb - transport.program_memory_mb) << 20
    descriptors = max_descriptors - transport.reserved_descriptors
    records = int(free_bytes * transport.records_memory_fraction) // transport.request_record_bytes
    buffers = int(free_bytes * transport.buffers_memory_fraction) // transport.buffer_bytes
    waiting_buffers = max(MIN_WAITING_BUFFERS, buffers)
    return ResourceLimits(
        requests=min(max_requests, max(MIN_REQUESTS, records)),
        remembered_ids=max(MIN_REMEMBERED_IDS, int(free_bytes * IDS_MEMORY_FRACTION) // ID_BYTES),
        statements_bytes=int(free_bytes * transport.statements_memory_fraction),
        unsent_bytes=int(free_bytes * transport.unsent_memory_fraction),
        waiting_buffers=waiting_buffers,
        spare_buffers=waiting_buffers // WAITING_BUFFERS_PER_SPARE,
        engine_connections=int(descriptors * transport.engine_descriptors_fraction),
        client_connections=int(descriptors * transport.client_descriptors_fraction),
    )


def _address(top: Section, key: str, min_port: int = 1) -> tuple[str, int]:
    try:
        return address(top.get(key), min_port=min_port)
    except EndpointListError as error:
        raise ConfigError(top.key_path(key), error.wanted, error.found) from None


def _listen_address(top: Section, environ: Mapping[str, str]) -> tuple[str, int]:
    from_environment = environ.get(LISTEN_VARIABLE)
    if not from_environment:
        return _address(top, "listen", min_port=0)  # port 0 stands for any free port
    try:
        return address(from_environment, min_port=0)
    except EndpointListError as error:
        raise ConfigError(LISTEN_VARIABLE, error.wanted, error.found) from None


def _seed(top: Section) -> int:
    seed = top.get("seed")
    if isinstance(seed, str):
        try:
            return int(seed, 16)
        except ValueError:
            raise ConfigError("seed", "a string of hexadecimal digits", shown(seed)) from None
    return top.integer("seed")


def _known_events(top: Section) -> tuple[tuple[EndpointListEvent, ...], int]:
    known = top.section("known")
    events = []
    for i, item in enumerate(known.get("items") or ()):
        try:
            events.append(parse_content(item))
        except EndpointListError as error:
            raise ConfigError(f"known.items[{i}].{error.place}", error.wanted, error.found) from None
    last_event_number = events[-1].event_number if events else 0
    return tuple(events), known.integer("no", last_event_number)


def _transport(section: Section) -> TransportSettings:
    for key in section.unknown_keys((*TRANSPORT_KEYS, *RETIRED_TRANSPORT_KEYS)):
        raise ConfigError(section.key_path(key), f"one of {', '.join(TRANSPORT_KEYS)}", f"key {shown(key)}")
    defaults = TransportSettings()
    values: dict[str, Any] = {}  # each value has the type of the default of its field
    for key, field in TRANSPORT_KEYS.items():
        default = getattr(defaults, field)
        if isinstance(default, str):
            values[field] = section.choice(key, {level: level for level in LOG_LEVELS}, default)
        elif isinstance(default, float):
            values[field] = section.number(key, default, minimum=MIN_FRACTION, maximum=MAX_FRACTION)
        else:
            values[field] = section.integer(key, default, minimum=1)
    transport = TransportSettings(**values)
    _check_fractions(section, transport)
    return transport


def _check_fractions(section: Section, transport: TransportSettings) -> None:
    """Check the bound on reserved descriptors and the bounds on sums of fractions."""
    if transport.reserved_descriptors > MAX_RESERVED_DESCRIPTORS:
        path = section.key_path("spare_descriptors")
        raise ConfigError(path, f"at most {MAX_RESERVED_DESCRIPTORS}", str(transport.reserved_descriptors))
    memory_fractions = sum(getattr(transport, TRANSPORT_KEYS[key]) for key in MEMORY_FRACTION_KEYS)
    if memory_fractions > MAX_MEMORY_FRACTIONS:
        path = section.key_path(MEMORY_FRACTION_KEYS[0])
        wanted = f"a sum of at most {MAX_MEMORY_FRACTIONS:g} with {', '.join(MEMORY_FRACTION_KEYS[1:])}"
        raise ConfigError(path, wanted, f"a sum of {memory_fractions}")
    descriptor_fractions = transport.engine_descriptors_fraction + transport.client_descriptors_fraction
    if descriptor_fractions > MAX_DESCRIPTOR_FRACTIONS:
        path = section.key_path("links_share")
        wanted = f"a sum of at most {MAX_DESCRIPTOR_FRACTIONS:g} with clients_share"
        raise ConfigError(path, wanted, f"a sum of {descriptor_fractions}")
