"""Sets of listed members as integers: bit i is set for member i, so a union is a bitwise or."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TypeAlias

PeerSet: TypeAlias = int
NO_PEERS: PeerSet = 0


def from_bytes(data: bytes) -> PeerSet:
    """Return the set that a datagram holds: bit i % 8 of byte i // 8 stands for member i."""
    return int.from_bytes(data, "little")


def to_bytes(peers: PeerSet, member_count: int) -> bytes:
    """Return the set as a datagram holds it; all sets of a cluster have the same length."""
    return peers.to_bytes((member_count + 7) // 8, "little")


def singleton(number: int) -> PeerSet:
    """Return the set that has this member alone."""
    return 1 << number


def contains(peers: PeerSet, number: int) -> bool:
    """Return whether this member is in the set."""
    return peers >> number & 1 == 1


def is_subset(peers: PeerSet, others: PeerSet) -> bool:
    """Return whether all members of `peers` are in `others`."""
    return peers & ~others == 0


def member_numbers(peers: PeerSet) -> Iterator[int]:
    """Return the numbers of the members in the set in ascending order."""
    return (number for number in range(peers.bit_length()) if contains(peers, number))


def first(peers: PeerSet) -> int | None:
    """Return the lowest member number in the set; None if the set is empty."""
    if peers == NO_PEERS:
        return None
    lowest_bit = peers & -peers
    return lowest_bit.bit_length() - 1


def is_majority(peers: PeerSet, member_count: int) -> bool:
    """Return whether more than half of the listed members are in the set."""
    return 2 * peers.bit_count() > member_count
