"""The operator's file as checked records.

The keys of the file are fixed. Fields of the records have the names of the keys, except `cluster` for `tier`.
"""

from __future__ import annotations

import re
from hashlib import blake2b
from pathlib import Path
from typing import Annotated, NoReturn

import msgspec
from msgspec import Meta

from ashcross.cluster.leader_lease import MIN_LEASE_PERIODS
from ashcross.errors import shown
from ashcross.operator_config.cue_parser import CueError, CueFile, parse_file
from ashcross.quotas import quota_language
from ashcross.quotas.quota_language import Quota

MAX_MEMBERS = 1_024
DIGEST_BYTES = 6
CLUSTER_KEY = "tier"  # the key of the file that holds the `ClusterRecord`
MSGSPEC_PATH = re.compile(r" - at `\$(?P<path>[^`]*)`")  # the path of a value in an error text of msgspec


class MemberRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One dispatcher of the cluster."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]  # the `name` in the dispatcher's configuration
    address: Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]  # where it receives datagrams


class ClusterRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The cluster's members and timing, the same on all members except for `via`."""

    key: Annotated[str, Meta(pattern=r"^[0-9a-fA-F]{32,128}$")]  # the cluster's secret, 16 to 64 bytes in hex
    members: Annotated[list[MemberRecord], Meta(min_length=1, max_length=MAX_MEMBERS)]
    lease_ms: Annotated[int, Meta(ge=500, le=600_000)] = 4_000  # the length of a leader lease
    period_ms: Annotated[int, Meta(ge=20, le=10_000)] = 200  # the time between two health checks
    # by member name: another address at which this process reaches the member; tests put relays there
    via: dict[str, str] = {}


class OperatorRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    cluster: ClusterRecord = msgspec.field(name=CLUSTER_KEY)
    quotas: str = ""  # a text in the quota language


class OperatorConfig:
    """A checked operator's file.

    `digest` is a number of 48 bits by which dispatchers compare their members, lease and quotas.
    """

    def __init__(self, cluster: ClusterRecord, quotas: tuple[Quota, ...]) -> None:
        self.cluster = cluster
        self.quotas = quotas
        self.digest = self._digest()

    def _digest(self) -> int:
        """Return the digest of what has to be the same on all members."""
        members = [(member.name, member.address) for member in self.cluster.members]
        quotas = [quota.canonical_text() for quota in self.quotas]
        content = msgspec.json.encode((members, self.cluster.lease_ms, quotas))
        return int.from_bytes(blake2b(content, digest_size=DIGEST_BYTES).digest(), "big")

    def member_number(self, name: str, source: str) -> int:
        """Return a dispatcher's position in the list of members. Raises `CueError` if it is not listed."""
        names = [member.name for member in self.cluster.members]
        if name in names:
            return names.index(name)
        raise CueError(
            f"{source}: {CLUSTER_KEY}.members",
            f"a member with this dispatcher's name {shown(name)}",
            f"{len(names)} members: {shown(names)}",
            "add the dispatcher to the list on all dispatchers, or give it a name of the list",
        )


def load(path: str) -> OperatorConfig:
    """Read and check a file. Raises `CueError`, or `QuotaError` if its quotas are not valid."""
    file = parse_file(_read_text(path), path)
    try:
        record = msgspec.convert(file.content, OperatorRecord)
    except msgspec.ValidationError as error:
        _raise_conversion_error(file, str(error))
    _check_names(file, record.cluster)
    _check_lease(file, record.cluster)
    quotas_line = file.positions["quotas"].line if "quotas" in file.positions else 1
    return OperatorConfig(record.cluster, quota_language.parse(record.quotas, path, quotas_line))


def _read_text(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        remedy = "name another file, or let it be read"
        raise CueError(path, "a file that can be read", str(error), remedy) from None


def _check_names(file: CueFile, cluster: ClusterRecord) -> None:
    names: set[str] = set()
    for position, member in enumerate(cluster.members):
        if member.name in names:
            found = f"{shown(member.name)} again at position {position} (from 0)"
            raise CueError(file.place(f"{CLUSTER_KEY}.members"), "each name once", found)
        names.add(member.name)


def _check_lease(file: CueFile, cluster: ClusterRecord) -> None:
    if cluster.lease_ms < MIN_LEASE_PERIODS * cluster.period_ms:
        raise CueError(
            file.place(f"{CLUSTER_KEY}.lease_ms"),
            f"{MIN_LEASE_PERIODS} times period_ms ({cluster.period_ms}) or more",
            str(cluster.lease_ms),
        )


def _raise_conversion_error(file: CueFile, error_text: str) -> NoReturn:
    """Raise a `CueError` for an error text of msgspec, with the place of the value in the file."""
    match = MSGSPEC_PATH.search(error_text)
    path = match["path"].lstrip(".") if match else ""
    reason = error_text[: match.start()] if match else error_text
    quoted = re.findall(r"`([^`]+)`", reason)
    key = next((word for word in quoted if word in path or not path), "")
    found = shown(_value_at(file.content, path))
    wanted = "a value of the documented form"
    raise CueError(file.place(path or key), wanted, f"{found} ({reason})") from None


def _value_at(content: object, path: str) -> object:
    """Return the value at a path of names and indices, or the nearest enclosing value that exists."""
    value = content
    for step in re.findall(r"\w+|\[\d+\]", path):
        if step.startswith("[") and isinstance(value, list):
            value = value[int(step[1:-1])]
        elif isinstance(value, dict) and step in value:
            value = value[step]
    return value
