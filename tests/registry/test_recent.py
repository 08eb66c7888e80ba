"""The dictionary of bounded size, which drops the least recently written key."""

from ashcross.registry.recent import RecentDict


def test_least_recently_written_key_is_dropped() -> None:
    recent: RecentDict[str, int] = RecentDict(2)
    recent.put("a", 1)
    recent.put("b", 2)
    recent.put("a", 3)
    assert recent.get("b") == 2  # reading does not make it the most recent
    recent.put("c", 4)
    assert (recent.get("a"), recent.get("b"), recent.get("c")) == (3, None, 4)
    assert "b" not in recent
    assert len(recent) == 2
