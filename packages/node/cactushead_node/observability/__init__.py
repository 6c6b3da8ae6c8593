"""Logs, metrics and the time line of a process.

Explanation:
    The histograms are in `metrics` and are not named here: agents import
    this package and keep plain sums.
"""

from .gather import TimelineGatherer
from .logs import set_up_logs
from .meters import Meters, PlainMeters
from .observer import ProcessObserver
from .timeline import Timeline, event_line, make_filter

__all__ = [
    'Meters',
    'PlainMeters',
    'ProcessObserver',
    'Timeline',
    'TimelineGatherer',
    'event_line',
    'make_filter',
    'set_up_logs',
]
