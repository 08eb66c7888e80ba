"""Datagrams: their bytes, decoding, and the rejection of invalid ones."""

from __future__ import annotations

import pytest

from ashcross.cluster import messages
from ashcross.errors import AshcrossError

KEY = b"k" * 16
LEASE = messages.LeaseKey(9, 2, 1 << 30)
MINIMAL_HEADER = messages.Header(1, 5, 1, 7)
HEADER = messages.Header(
    1,
    1 << 31,
    3,
    1 << 47,
    messages.Ballot(9, 2, 1 << 30, 4, b"\x05"),
    (messages.MemberUpdate(0, 1, 77, 2), messages.MemberUpdate(2, 3, 1 << 31, 1 << 40)),
)
REQUEST_ITEMS = (messages.RequestItem(0, b"a", 3, 1), messages.RequestItem(1, b"", 1, 0))
GRANT_ITEMS = (messages.GrantItem(0, b"a", 3, 0), messages.GrantItem(1, b"", 0, 500_000))
# datagrams that the version before the records were renamed (0b4d661) encoded for the same messages
RECORDED = [
    pytest.param(
        messages.Ping(MINIMAL_HEADER, 1),
        "0193019601050107c09001bfba9d1967288a894002eb0524d6c76f",
        id="bare-Ping",
    ),
    pytest.param(
        messages.Ping(HEADER, 1 << 33),
        "0193019601ce8000000003cf0000800000000000950902ce4000000004c40105929400014d02940203ce8000"
        "0000cf0000010000000000cf00000002000000008b15f93668169650b259f9207782c838",
        id="Ping",
    ),
    pytest.param(
        messages.Ack(HEADER, 3, 1),
        "0194029601ce8000000003cf0000800000000000950902ce4000000004c40105929400014d02940203ce8000"
        "0000cf0000010000000000030149ebf683910428a845d4e1420ce200bb",
        id="Ack",
    ),
    pytest.param(
        messages.PingRequest(HEADER, 4, 2),
        "0194039601ce8000000003cf0000800000000000950902ce4000000004c40105929400014d02940203ce8000"
        "0000cf00000100000000000402487ac1e9510172b574c1551189856d1e",
        id="PingRequest",
    ),
    pytest.param(
        messages.TokenRequest(HEADER, LEASE, 5, REQUEST_ITEMS),
        "0195049601ce8000000003cf0000800000000000950902ce4000000004c40105929400014d02940203ce8000"
        "0000cf0000010000000000930902ce4000000005929400c4016103019401c400010074a9e5f1a30a4d1e739f"
        "2938e160057e",
        id="TokenRequest",
    ),
    pytest.param(
        messages.TokenGrant(HEADER, LEASE, 5, 250_000, GRANT_ITEMS),
        "0196059601ce8000000003cf0000800000000000950902ce4000000004c40105929400014d02940203ce8000"
        "0000cf0000010000000000930902ce4000000005ce0003d090929400c4016103009401c40000ce0007a1209a"
        "60665a84426ea8bb224dd13581ddb8",
        id="TokenGrant",
    ),
    pytest.param(
        messages.ShutdownNotice(HEADER),
        "0192069601ce8000000003cf0000800000000000950902ce4000000004c40105929400014d02940203ce8000"
        "0000cf00000100000000008fbdbc192bd91ce77f2681f21fc550c0",
        id="ShutdownNotice",
    ),
    pytest.param(
        messages.RoundNotice(HEADER),
        "0192079601ce8000000003cf0000800000000000950902ce4000000004c40105929400014d02940203ce8000"
        "0000cf0000010000000000f05123e79b91d5edef7844630ef457ff",
        id="RoundNotice",
    ),
]


@pytest.mark.parametrize(("message", "recorded"), RECORDED)
def test_datagrams_equal_those_of_an_earlier_version(message: messages.Message, recorded: str) -> None:
    """Guards against a field that moves or a tag that changes within one datagram generation.

    Versions of one generation have to read each other's datagrams.
    """
    codec = messages.Codec(KEY)
    assert codec.encode(message).hex() == recorded
    assert codec.decode(bytes.fromhex(recorded)) == message


def test_own_datagrams_are_decoded_and_invalid_ones_are_rejected() -> None:
    codec = messages.Codec(b"k" * 16)
    header = messages.Header(0, 1, 1, 7)
    item = messages.RequestItem(0, b"a", 1, 0)
    request = messages.TokenRequest(header, messages.LeaseKey(1, 2, 3), 9, (item,))
    data = codec.encode(request)
    assert codec.decode(data) == request
    flipped_bit = data[:-1] + bytes((data[-1] ^ 1,))
    for invalid in (b"", data[:-1], flipped_bit, b"\2" + data[1:], b"x" * 3_000):
        with pytest.raises(messages.MessageError):
            codec.decode(invalid)
    with pytest.raises(messages.MessageError):
        messages.Codec(b"j" * 16).decode(data)
    updates = tuple(messages.MemberUpdate(i, 1, 1 << 31, 1 << 40) for i in range(24))
    ballot = messages.Ballot(9, 9, 1 << 31, 9, bytes(128))
    header = messages.Header(1_023, 1 << 31, 1 << 40, 1 << 47, ballot, updates)
    largest = messages.Ping(header, 1)
    assert len(codec.encode(largest)) <= messages.MAX_DATAGRAM_BYTES


def test_error_on_a_wrong_key_names_a_remedy() -> None:
    with pytest.raises(AshcrossError, match="same key"):
        messages.Codec(b"k" * 16).decode(b"x" * 40)
