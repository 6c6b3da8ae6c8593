"""Task scheduling: admission, ordering, placement and health checks."""

from .fair import FairOrder
from .model import PlacedTask, QueuedTask, UpstreamState
from .notices import SchedulerNotice, UpstreamEjected, UpstreamReadmitted
from .order import ArrivalOrder, TaskOrder
from .placement import (
    FirstFitPlacement,
    PlacementPolicy,
    RandomPlacement,
    SpreadPlacement,
)
from .scheduler import Scheduler

__all__ = [
    'ArrivalOrder',
    'FairOrder',
    'FirstFitPlacement',
    'PlacedTask',
    'PlacementPolicy',
    'QueuedTask',
    'RandomPlacement',
    'Scheduler',
    'SchedulerNotice',
    'SpreadPlacement',
    'TaskOrder',
    'UpstreamEjected',
    'UpstreamReadmitted',
    'UpstreamState',
]
