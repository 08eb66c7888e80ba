"""Sets of listed members as whole numbers: bit i is set for member i, so a union is a bitwise or."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TypeAlias

PeerSet: TypeAlias = int
NO_PEERS: PeerSet = 0


def from_bytes(data: bytes) -> PeerSet:
    """The set in a datagram: bit i of byte i // 8 stands for member i."""
    return int.from_bytes(data, "little")


def to_bytes(peers: PeerSet, member_count: int) -> bytes:
    """The set as a datagram carries it, of the same length for each set of a cluster."""
    return peers.to_bytes((member_count + 7) // 8, "little")


def singleton(number: int) -> PeerSet:
    """The set of one member."""
    return 1 << number


def contains(peers: PeerSet, number: int) -> bool:
    """Is this member in the set?"""
    return peers >> number & 1 == 1


def is_subset(peers: PeerSet, others: PeerSet) -> bool:
    """Are all of the first set in the second?"""
    return peers & ~others == 0


def member_numbers(peers: PeerSet) -> Iterator[int]:
    """The members in the set, lowest first."""
    return (number for number in range(peers.bit_length()) if contains(peers, number))


def first(peers: PeerSet) -> int | None:
    """The lowest member in the set; None if it is empty."""
    if peers == NO_PEERS:
        return None
    lowest_bit = peers & -peers
    return lowest_bit.bit_length() - 1


def is_majority(peers: PeerSet, member_count: int) -> bool:
    """Are more than half of the listed members in the set?"""
    return 2 * peers.bit_count() > member_count
