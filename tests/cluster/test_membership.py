"""States of members: process starts, failures and returns."""

from __future__ import annotations

import random

from ashcross.cluster.failure_detector import FailureDetector
from ashcross.cluster.membership import Membership, MemberState
from ashcross.cluster.settings import LocalMember

PERIOD_US = 100_000


def membership(number: int, incarnation_id: int) -> Membership:
    return Membership(LocalMember(number, 2, incarnation_id), PERIOD_US, 0)


def test_new_process_gets_an_incarnation_number_above_the_known_one() -> None:
    old = membership(0, 11)
    other = membership(1, 22)
    assert other.message_received(0, 0, old.local.incarnation_id, 5)
    new = membership(0, 33)
    assert not other.message_received(10, 0, new.local.incarnation_id, new.incarnation_number)
    known = other.known_state(0)
    assert known is not None
    new.apply_update(20, known)
    assert new.incarnation_number == 6
    assert other.message_received(30, 0, new.local.incarnation_id, 6)
    assert not other.message_received(40, 0, old.local.incarnation_id, 5)  # an old datagram


def test_silent_member_dies_and_is_live_again_after_its_return() -> None:
    local = membership(0, 11)
    detector = FailureDetector(local, 0, random.Random(1))
    local.message_received(0, 1, 22, 1)
    now = 0
    while local.members[1].state is not MemberState.DEAD and now < 60_000_000:
        now += 25_000
        detector.on_timer(now)
    assert local.members[1].state is MemberState.DEAD
    assert 1_000_000 < now < 30_000_000
    assert local.message_received(now, 1, 22, 2)
    assert local.live_members(now) == 0b11
