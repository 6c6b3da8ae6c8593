"""Best-effort jobs and their tasks, as exchanged between entries and agents."""

from .messages import (
    CancelBestEffortJob,
    OfferTasks,
    RunResult,
    RunsEnded,
    TaskRun,
    UpstreamLoad,
    UpstreamReport,
)
from .model import (
    BestEffortJob,
    JobEnd,
    JobPhase,
    JobStep,
    Resources,
    RunEnd,
    TaskRef,
)

__all__ = [
    'BestEffortJob',
    'JobEnd',
    'JobPhase',
    'JobStep',
    'OfferTasks',
    'Resources',
    'RunEnd',
    'RunResult',
    'RunsEnded',
    'TaskRef',
    'TaskRun',
    'UpstreamLoad',
    'UpstreamReport',
    'CancelBestEffortJob',
]
