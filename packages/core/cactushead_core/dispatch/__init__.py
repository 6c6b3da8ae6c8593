"""Dispatch of best-effort jobs by the entry that accepted them."""

from .dispatcher import Dispatcher
from .events import BestEffortSubmitted, CancelRequested

__all__ = ['BestEffortSubmitted', 'Dispatcher', 'CancelRequested']
