"""The event time line of all processes: model, messages and merging."""

from .merge import merge_timelines
from .messages import ClockStamp, TimelineEvents, TimelineQuery
from .model import TimelineEvent, TimelineFilter

__all__ = [
    'ClockStamp',
    'TimelineEvent',
    'TimelineEvents',
    'TimelineFilter',
    'TimelineQuery',
    'merge_timelines',
]
