"""The pool and its chains."""

from hypothesis import given
from hypothesis import strategies as st

from ashcross.registry.buffers import BufferChain, BufferPool


def test_buffers_have_one_size_and_are_used_again() -> None:
    pool = BufferPool(8, maximum_spare=2)
    first = pool.take()
    pool.give(first)
    assert len(first) == 8
    assert pool.take() is first
    assert pool.lent == 1


def test_spare_buffers_are_bounded() -> None:
    pool = BufferPool(8, maximum_spare=2)
    for buffer in [pool.take() for _ in range(5)]:
        pool.give(buffer)
    assert pool.spare == 2
    assert pool.lent == 0


@given(st.lists(st.binary(max_size=40)), st.integers(1, 16))
def test_a_chain_returns_what_went_in_and_gives_all_back(parts: list[bytes], size: int) -> None:
    pool = BufferPool(size, maximum_spare=100)
    chain = BufferChain(pool)
    for _ in range(2):  # the second time over buffers that hold old content
        for part in parts:
            chain.append(part)
        assert len(chain) == sum(map(len, parts))
        assert pool.lent == -(-len(chain) // size)
        assert chain.drain() == b"".join(parts)
        assert (len(chain), pool.lent) == (0, 0)
