"""Tests of hybrid logical clocks."""

from hypothesis import given, settings
from hypothesis import strategies as st

from cactushead_core.clock import MAX_AHEAD_MS, HybridClock, stamp_ms

from .inversions import compare

WALL_MS = 1_700_000_000_000


def test_stamps_increase_when_wall_clock_steps_back():
    clock = HybridClock()
    stamps = [clock.local_event(WALL_MS - step) for step in range(100)]
    assert stamps == sorted(set(stamps))
    assert stamp_ms(stamps[-1]) == WALL_MS


def test_stamps_follow_wall_clock_once_it_catches_up():
    clock = HybridClock()
    clock.receive(HybridClock().local_event(WALL_MS + 50), WALL_MS)
    assert stamp_ms(clock.local_event(WALL_MS + 10)) == WALL_MS + 50
    assert stamp_ms(clock.local_event(WALL_MS + 51)) == WALL_MS + 51


def test_stamps_increase_when_counter_overflows():
    clock = HybridClock()
    first = clock.local_event(WALL_MS)
    for _ in range(70_000):
        clock.local_event(WALL_MS)
    assert stamp_ms(clock.local_event(WALL_MS)) == WALL_MS + 1
    assert clock.local_event(WALL_MS) > first


def test_stamp_that_is_hours_ahead_is_not_adopted():
    clock = HybridClock()
    hours_ahead = HybridClock().local_event(WALL_MS + 3 * 3_600_000)
    received = clock.receive(hours_ahead, WALL_MS)
    assert stamp_ms(received) == WALL_MS
    assert clock.refused_stamps == 1
    assert clock.largest_ahead_ms == 3 * 3_600_000


@settings(derandomize=True, deadline=None, max_examples=50)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.integers(0, 2),
            st.integers(-MAX_AHEAD_MS // 2, MAX_AHEAD_MS // 2),
        ),
        max_size=50,
    ),
)
def test_effect_is_after_its_cause(exchanges):
    clocks = [HybridClock() for _ in range(3)]
    for sender, receiver, off_ms in exchanges:
        sent = clocks[sender].local_event(WALL_MS + off_ms)
        received = clocks[receiver].receive(sent, WALL_MS)
        assert received > sent
        ahead_ms = stamp_ms(received) - WALL_MS
        assert ahead_ms <= MAX_AHEAD_MS // 2
    assert not any(clock.refused_stamps for clock in clocks)


def test_no_effect_is_stamped_before_its_cause():
    result = compare(skew_s=0.05, jobs=100, seed=1)
    assert result.wall_inverted > 0
    assert result.hybrid_inverted == 0
