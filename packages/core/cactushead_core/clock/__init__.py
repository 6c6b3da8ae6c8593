"""Hybrid logical clocks, which order events across processes."""

from .hybrid import COUNTER_BITS, MAX_AHEAD_MS, HybridClock, stamp_ms

__all__ = ['COUNTER_BITS', 'MAX_AHEAD_MS', 'HybridClock', 'stamp_ms']
