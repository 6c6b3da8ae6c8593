"""Logs, metrics and the time line of a process.

Explanation:
    The histograms are in `metrics` and are not named here: agents import
    this package and keep plain counters.
"""

from .gather import TimelineGatherer
from .logs import set_up_logs
from .timeline import Timeline, event_line, make_filter

__all__ = [
    'Timeline',
    'TimelineGatherer',
    'event_line',
    'make_filter',
    'set_up_logs',
]
