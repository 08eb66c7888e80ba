"""The buffer pool and its chains."""

from hypothesis import given
from hypothesis import strategies as st

from ashcross.registry.buffers import BufferChain, BufferPool


def test_released_buffer_is_reused() -> None:
    pool = BufferPool(8, maximum_spare=2)
    first = pool.acquire()
    pool.release(first)
    assert len(first) == 8
    assert pool.acquire() is first
    assert pool.lent == 1


def test_number_of_spare_buffers_is_bounded() -> None:
    pool = BufferPool(8, maximum_spare=2)
    for buffer in [pool.acquire() for _ in range(5)]:
        pool.release(buffer)
    assert pool.spare == 2
    assert pool.lent == 0


@given(st.lists(st.binary(max_size=40)), st.integers(1, 16))
def test_chain_returns_its_bytes_and_releases_its_buffers(fragments: list[bytes], size: int) -> None:
    pool = BufferPool(size, maximum_spare=100)
    chain = BufferChain(pool)
    for _ in range(2):  # the second time with reused buffers, which hold old bytes
        for fragment in fragments:
            chain.append(fragment)
        assert len(chain) == sum(map(len, fragments))
        assert pool.lent == -(-len(chain) // size)
        assert chain.drain() == b"".join(fragments)
        assert (len(chain), pool.lent) == (0, 0)
