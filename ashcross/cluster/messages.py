"""Datagrams between dispatchers: msgspec records in MessagePack, with a generation and a keyed digest.

A datagram is `generation (1 byte) | body | digest (16 bytes)`. The digest is BLAKE2b (RFC 7693) of all
before it, keyed with the cluster's key. Receivers drop and count datagrams that do not decode.

Records are sent as arrays: the order of fields and the tags are fixed, the names of fields and classes are
not sent. Versions whose arrays differ need different values of `GENERATION`. All times are spans in
microseconds, as the clocks of two processes are never compared.
"""

from __future__ import annotations

from hashlib import blake2b
from hmac import compare_digest

import msgspec

from ashcross.cluster.token_budget import QuotaKey
from ashcross.errors import AshcrossError

GENERATION = 1  # of the datagram format; the first byte of each datagram
DIGEST_BYTES = 16
MAX_DATAGRAM_BYTES = 1_200  # small enough to pass any network path without fragmentation


class MessageError(AshcrossError):
    """A datagram that cannot be encoded or decoded."""

    remedy = "check that all dispatchers have the same key, list of members and datagram generation"


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Gossip about one member."""

    member: int  # its position in the list of members, from 0
    state: int  # a value of `membership.MemberState`
    incarnation_id: int  # the random number of its process
    incarnation_number: int  # orders updates about the member: a higher number overrides a lower one


class LeaseKey(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Identifies a candidacy, and the lease that it leads to."""

    number: int  # the candidacy's number, from 1; higher than all that the candidate knew of
    leader: int  # the candidate's position in the list of members, from 0
    incarnation_id: int  # the random number of the candidate's process

    @property
    def candidate(self) -> tuple[int, int]:
        """The member and process of the candidate, the same for all of its candidacies."""
        return self.leader, self.incarnation_id


class Ballot(msgspec.Struct, array_like=True, frozen=True):
    """A candidate's round, and the members known to have promised in it."""

    number: int  # the candidacy's number, from 1
    leader: int  # the candidate's position in the list of members, from 0
    incarnation_id: int  # the random number of the candidate's process
    round: int  # counts the rounds of the candidacy from 1
    promises: bytes  # the set of members that have promised, as `peer_set.to_bytes` encodes it

    @property
    def key(self) -> LeaseKey:
        """The candidacy that the round belongs to."""
        return LeaseKey(self.number, self.leader, self.incarnation_id)


class Header(msgspec.Struct, array_like=True, frozen=True):
    """The sender of a message, and the gossip that the message carries."""

    sender: int  # the sender's position in the list of members, from 0
    incarnation_id: int  # the random number of the sender's process
    incarnation_number: int  # orders the states of the sender, from 1; see `MemberUpdate`
    configuration_digest: int  # 48 bits, of the list of members, the lease and the quotas of the sender
    ballot: Ballot | None = None  # the round that the sender passes on; None before it knows any
    updates: tuple[MemberUpdate, ...] = ()  # the newest states of some members


class RequestItem(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A holder's request for tokens of one budget."""

    quota: int  # the quota's position in the operator's file, from 0
    key: bytes  # the key for which the quota counts; empty if it counts all teams together
    wanted: int  # tokens that the holder wants in addition, 0 or more
    held: int  # tokens of its loan that the holder has, available or reserved, 0 or more

    @property
    def quota_key(self) -> QuotaKey:
        """The budget."""
        return QuotaKey(self.quota, self.key)


class GrantItem(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The tokens of one budget that are lent to a holder: a loan as it is sent.

    `token_lender.Loan` is the lender's own record of it.
    """

    quota: int  # the quota's position in the operator's file, from 0
    key: bytes  # the key for which the quota counts; empty if it counts all teams together
    granted: int  # tokens lent in addition, 0 or more, at most as many as wanted
    # Hint: microseconds until the next token accrues at the full rate; 2^40 if the quota has no refill. 0: no
    # wait, or all wanted tokens granted. 500 000 (`NO_ROOM_WAIT_US`) goes with 0 tokens if the lender has no
    # room for an account. The holder clamps any other value to 20 000 to 500 000.
    wait_us: int

    @property
    def quota_key(self) -> QuotaKey:
        """The budget."""
        return QuotaKey(self.quota, self.key)


class Ping(msgspec.Struct, tag=1, array_like=True, frozen=True):
    """A health check; answered by an `Ack` with the same number."""

    header: Header
    seq: int  # the number of the sender's health check, or of the ping that it relays


class Ack(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """The answer to a `Ping` or a `PingRequest`: `target` is alive."""

    header: Header
    seq: int  # the number in the message that is answered
    target: int  # the member that was pinged: the sender itself, or the target of the `PingRequest`


class PingRequest(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """A request to ping `target` on behalf of the sender."""

    header: Header
    seq: int  # the number of the sender's health check
    target: int  # the member to ping, by its position in the list of members


class TokenRequest(msgspec.Struct, tag=4, array_like=True, frozen=True):
    """A holder's request for loans, to the leader under one candidacy."""

    header: Header
    lease: LeaseKey  # the candidacy under which the receiver is to lend
    seq: int  # the request's number; the numbers of one process rise
    items: tuple[RequestItem, ...]  # at most `token_borrowing.MAX_REQUEST_ITEMS` are answered


class TokenGrant(msgspec.Struct, tag=5, array_like=True, frozen=True):
    """The answer to a `TokenRequest`."""

    header: Header
    lease: LeaseKey  # the candidacy under which the sender lends
    seq: int  # the number of the request
    span_us: int  # microseconds that the loans last, counted from when the request was made
    items: tuple[GrantItem, ...]


class ShutdownNotice(msgspec.Struct, tag=6, array_like=True, frozen=True):
    """Announces that the sender is about to end, so that the others know that it has left."""

    header: Header


class RoundNotice(msgspec.Struct, tag=7, array_like=True, frozen=True):
    """Passes on a new round, which is in the header."""

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
        """Return the datagram of a message. Raises `MessageError` if it is over `MAX_DATAGRAM_BYTES`."""
        data = bytes((GENERATION,)) + self._encoder.encode(message)
        size = len(data) + DIGEST_BYTES
        if size > MAX_DATAGRAM_BYTES:
            wanted = f"{MAX_DATAGRAM_BYTES} bytes at most"
            remedy = "this is a bug in ashcross: report it with the log lines before it"
            raise MessageError("a datagram to send", wanted, f"{size} bytes", remedy)
        return data + self._digest(data)

    def decode(self, data: bytes) -> Message:
        """Return the message of a datagram.

        Raises `MessageError` if the datagram is not of this cluster or generation, or cannot be decoded.
        """
        if not DIGEST_BYTES + 1 < len(data) <= MAX_DATAGRAM_BYTES:
            wanted = f"{DIGEST_BYTES + 2} to {MAX_DATAGRAM_BYTES} bytes"
            raise MessageError("a received datagram", wanted, f"{len(data)} bytes")
        body = data[:-DIGEST_BYTES]
        digest = data[-DIGEST_BYTES:]
        if not compare_digest(self._digest(body), digest):
            found = f"{digest.hex()} at the end of {len(data)} bytes"
            raise MessageError("a datagram's digest", "one made with the cluster's key", found)
        if body[0] != GENERATION:
            raise MessageError("a datagram's generation", str(GENERATION), str(body[0]))
        try:
            return self._decoder.decode(memoryview(body)[1:])
        except msgspec.MsgspecError as error:
            wanted = "a message with the tag and fields of one of the cluster's"
            raise MessageError("a datagram's body", wanted, str(error)) from None
