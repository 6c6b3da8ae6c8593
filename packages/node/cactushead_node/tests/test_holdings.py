"""Tests of the limits of what many hold together."""

import pytest

from cactushead_node.holdings import (
    Holding,
    LargestFirstPool,
    OldestFirstPool,
    PoolExhaustedError,
)


class Holder:
    """Remembers whether its holding was ended."""

    def __init__(self, pool, **options):
        self.ended = False
        self.holding = Holding(pool, self.end, **options)

    def end(self):
        self.ended = True


# Guards against a sum that passes the limit, or that counts what has ended.
@pytest.mark.parametrize('make_pool', [OldestFirstPool, LargestFirstPool])
def test_sum_stays_within_the_limit(make_pool):
    pool = make_pool(100)
    holders = [Holder(pool) for _ in range(50)]
    for number, holder in enumerate(holders):
        holder.holding.grow(number % 7 + 1)
        assert pool.used <= 100
        assert pool.used == sum(other.holding.size for other in holders)
    assert pool.evicted == sum(holder.ended for holder in holders)
    for holder in holders:
        holder.holding.release()
    assert pool.used == 0


# Guards against the end of a small holding for the growth of a large one.
def test_largest_holding_ends_though_it_is_the_one_that_grows():
    pool = LargestFirstPool(10)
    small, large = Holder(pool), Holder(pool)
    small.holding.grow(4)
    large.holding.grow(5)
    large.holding.grow(2)
    assert (small.ended, large.ended, pool.used) == (False, True, 4)


# Guards against the end of a holding that makes progress.
def test_renewed_holding_outlives_an_older_one():
    pool = OldestFirstPool(3)
    first, second, third, fourth = (Holder(pool) for _ in range(4))
    for holder in (first, second, third):
        holder.holding.grow(1)
    first.holding.renew()
    fourth.holding.grow(1)
    ended = [holder.ended for holder in (first, second, third, fourth)]
    assert ended == [False, True, False, False]


# Guards against the end of a holding whose request is handled.
def test_kept_holdings_refuse_others():
    pool = OldestFirstPool(2)
    kept = [Holder(pool, evictable=False) for _ in range(2)]
    for holder in kept:
        holder.holding.grow(1)
    late = Holder(pool)
    with pytest.raises(PoolExhaustedError):
        late.holding.grow(1)
    assert (pool.used, pool.refused, pool.evicted) == (2, 1, 0)
    kept[0].holding.evictable = True
    late.holding.grow(1)
    assert [holder.ended for holder in (*kept, late)] == [True, False, False]


# Guards against holdings of nothing, as of requests without a body, that are
# kept for ever and ended in place of others.
def test_holding_of_nothing_is_not_kept():
    pool = OldestFirstPool(1)
    empty, last = Holder(pool), Holder(pool)
    empty.holding.grow(0)
    empty.holding.release()
    pool.evict_one()
    last.holding.grow(1)
    assert (empty.ended, last.ended, pool.evicted) == (False, False, 0)


# Guards against room that a refused holding keeps.
def test_refused_growth_leaves_the_holding_as_it_was():
    pool = OldestFirstPool(10)
    holder = Holder(pool)
    holder.holding.grow(6)
    with pytest.raises(PoolExhaustedError):
        holder.holding.resize(11)
    assert (holder.holding.size, pool.used) == (6, 6)
    holder.holding.resize(2)
    assert pool.used == 2
