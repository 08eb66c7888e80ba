"""Datagrams between dispatchers: msgspec records in MessagePack, with a generation and a keyed digest.

A datagram is `generation (1 byte) | body | digest (16 bytes)`. The digest is BLAKE2b (RFC 7693) of all
before it, keyed with the cluster's key. What does not fit is dropped by its receiver, with a count.

Records are arrays on the wire: the order of fields and the tags are fixed, the names of fields and classes
are not sent. Versions whose arrays differ need another `GENERATION`.
"""

from __future__ import annotations

from hashlib import blake2b
from hmac import compare_digest

import msgspec

from ashcross.cluster.token_budget import QuotaKey
from ashcross.errors import AshcrossError

GENERATION = 1
DIGEST_BYTES = 16
MAX_DATAGRAM_BYTES = 1_200  # passes any path without fragments


class MessageError(AshcrossError):
    """A datagram that cannot be used."""

    remedy = "check that all dispatchers have the same key and list of members, and versions that talk"


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Gossip on one member: its state (`membership.MemberState`), process, and the number that orders it."""

    member: int
    state: int
    incarnation_id: int
    incarnation_number: int


class LeaseKey(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Names a candidacy: its number, who stands, and which process of that name."""

    number: int
    leader: int
    incarnation_id: int

    @property
    def candidate(self) -> tuple[int, int]:
        """The process that stands, whatever the number it stands under."""
        return self.leader, self.incarnation_id


class Ballot(msgspec.Struct, array_like=True, frozen=True):
    """A candidate's round, and the set of members that have promised in it (`peer_set.to_bytes`)."""

    number: int
    leader: int
    incarnation_id: int
    round: int
    promises: bytes

    @property
    def key(self) -> LeaseKey:
        """The candidacy that the round belongs to."""
        return LeaseKey(self.number, self.leader, self.incarnation_id)


class Header(msgspec.Struct, array_like=True, frozen=True):
    """Who sends, and the gossip that goes along."""

    sender: int
    incarnation_id: int
    incarnation_number: int
    configuration_digest: int  # of the list of members and the quotas, as the sender has them
    ballot: Ballot | None = None
    updates: tuple[MemberUpdate, ...] = ()


class RequestItem(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Tokens of one quantity that a holder wants, and those it holds or may still give back."""

    quota: int
    key: bytes
    wanted: int
    held: int

    @property
    def quota_key(self) -> QuotaKey:
        """The quantity."""
        return QuotaKey(self.quota, self.key)


class GrantItem(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Tokens of one quantity that are lent, and how long until the next may be there (0: not told)."""

    quota: int
    key: bytes
    granted: int
    wait_us: int

    @property
    def quota_key(self) -> QuotaKey:
        """The quantity."""
        return QuotaKey(self.quota, self.key)


class Ping(msgspec.Struct, tag=1, array_like=True, frozen=True):
    """Health check; answered by an `Ack` with the same number."""

    header: Header
    seq: int


class Ack(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """Answer to a `Ping` or `PingRequest`: `target`, the sender itself or who was to be pinged, is alive."""

    header: Header
    seq: int
    target: int


class PingRequest(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """Ping `target` on behalf of the sender."""

    header: Header
    seq: int
    target: int


class TokenRequest(msgspec.Struct, tag=4, array_like=True, frozen=True):
    """A holder asks the leader of a candidacy for tokens."""

    header: Header
    lease: LeaseKey
    seq: int
    items: tuple[RequestItem, ...]


class TokenGrant(msgspec.Struct, tag=5, array_like=True, frozen=True):
    """Answer to a `TokenRequest`: loans that last `span_us` from when the request was made."""

    header: Header
    lease: LeaseKey
    seq: int
    span_us: int
    items: tuple[GrantItem, ...]


class ShutdownNotice(msgspec.Struct, tag=6, array_like=True, frozen=True):
    """The sender is about to end; what it was lent and did not spend is free again."""

    header: Header


class RoundNotice(msgspec.Struct, tag=7, array_like=True, frozen=True):
    """Passes a new round on at once; its header is all it carries."""

    header: Header


Message = Ping | Ack | PingRequest | TokenRequest | TokenGrant | ShutdownNotice | RoundNotice


class Codec:
    """Writes and reads the datagrams of one cluster; `key` is its secret, 16 to 64 bytes."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)

    def _digest(self, data: bytes | memoryview) -> bytes:
        return blake2b(data, digest_size=DIGEST_BYTES, key=self._key).digest()

    def encode(self, message: Message) -> bytes:
        """The datagram of a message; `MessageError` over `MAX_DATAGRAM_BYTES`."""
        data = bytes((GENERATION,)) + self._encoder.encode(message)
        size = len(data) + DIGEST_BYTES
        if size > MAX_DATAGRAM_BYTES:
            raise MessageError("a datagram", f"{MAX_DATAGRAM_BYTES} bytes at most", str(size))
        return data + self._digest(data)

    def decode(self, data: bytes) -> Message:
        """The message of a datagram; `MessageError` if it is none of this cluster and generation."""
        if not DIGEST_BYTES + 1 < len(data) <= MAX_DATAGRAM_BYTES:
            wanted = f"{DIGEST_BYTES + 2} to {MAX_DATAGRAM_BYTES} bytes"
            raise MessageError("a datagram", wanted, str(len(data)))
        body = data[:-DIGEST_BYTES]
        digest = data[-DIGEST_BYTES:]
        if not compare_digest(self._digest(body), digest):
            raise MessageError("a datagram's digest", "that of the cluster's key", "another")
        if body[0] != GENERATION:
            raise MessageError("a datagram's generation", str(GENERATION), str(body[0]))
        try:
            return self._decoder.decode(memoryview(body)[1:])
        except msgspec.MsgspecError as error:
            raise MessageError("a datagram's body", "a message", str(error)) from None
