"""The time line of events over all processes."""

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
