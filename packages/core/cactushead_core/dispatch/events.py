"""Requests of callers about best-effort jobs."""

from dataclasses import dataclass

from ..events import CallerEvent
from ..tasks import BestEffortJob


@dataclass(frozen=True, slots=True)
class BestEffortSubmitted(CallerEvent):
    """A caller submits a job and waits for its outcome.

    Attributes:
        job: The job.
    """

    job: BestEffortJob


@dataclass(frozen=True, slots=True)
class CancelRequested(CallerEvent):
    """A caller cancels a job.

    Attributes:
        job: Id of the job.
    """

    job: str
