"""Logs, metrics and the time line of a process.

Explanation:
    The histograms in `metrics` are not exported here, because agents import
    this package and keep only totals of durations, to save memory.
"""

from .gather import TimelineGatherer
from .logs import set_up_logs
from .metrics_recorder import MetricsRecorder, TotalsRecorder
from .observer import ProcessObserver
from .timeline import Timeline, event_json_line, make_filter

__all__ = [
    'MetricsRecorder',
    'TotalsRecorder',
    'ProcessObserver',
    'Timeline',
    'TimelineGatherer',
    'event_json_line',
    'make_filter',
    'set_up_logs',
]
