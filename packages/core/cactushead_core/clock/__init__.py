"""Hybrid logical clocks, which order events across processes."""

from .hybrid import MAX_AHEAD_MS, HybridClock, stamp_ms

__all__ = ['MAX_AHEAD_MS', 'HybridClock', 'stamp_ms']
