"""Best-effort jobs at the entry that took them: who gets which task."""

from .dispatcher import Dispatcher
from .events import BestEffortSubmitted, CancelRequested

__all__ = ['BestEffortSubmitted', 'Dispatcher', 'CancelRequested']
