"""Best-effort jobs and their tasks, as exchanged between entries and agents."""

from .messages import (
    CancelBestEffortJob,
    CrashingJobFound,
    CrashSuspect,
    OfferTasks,
    RunResult,
    RunsEnded,
    TaskRun,
    UpstreamCrashed,
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
    'CancelBestEffortJob',
    'CrashSuspect',
    'CrashingJobFound',
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
    'UpstreamCrashed',
    'UpstreamLoad',
    'UpstreamReport',
]
