"""Decisions on which task starts where and when."""

from .model import PlacedTask, QueuedTask, UpstreamState
from .order import ArrivalOrder, TaskOrder
from .placement import FirstFitPlacement, PlacementPolicy, RandomPlacement
from .scheduler import Scheduler

__all__ = [
    'ArrivalOrder',
    'FirstFitPlacement',
    'PlacedTask',
    'PlacementPolicy',
    'QueuedTask',
    'RandomPlacement',
    'Scheduler',
    'TaskOrder',
    'UpstreamState',
]
