"""Value objects of the event time line."""

import math
from dataclasses import dataclass

from ..jobs.model import JobId


@dataclass(frozen=True, slots=True)
class TimelineEvent:
    """One recorded event of one process.

    Attributes:
        process: Name of the process.
        sequence: Number of the event within the process, from 1; a gap means
            that the process has dropped events.
        stamp: Hybrid logical time stamp, which orders the events of all
            processes.
        wall_s: The process's wall clock, in seconds since 1970.
        kind: What happened; one of the names in `EventKind`.
        job: The job it is about, if any.
        task_index: The task it is about, -1 for none.
        subject: The upstream, service or process that it is about.
        detail: A short text, such as a cause or a version.
    """

    process: str
    sequence: int
    stamp: int
    wall_s: float
    kind: str
    job: JobId | None = None
    task_index: int = -1
    subject: str = ''
    detail: str = ''


@dataclass(frozen=True, slots=True)
class TimelineFilter:
    """Selects events of a time line; the defaults select all.

    Attributes:
        job: Idempotency key of a job.
        service: Name of a service.
        since_s: Earliest wall clock time.
        until_s: Latest wall clock time.
    """

    job: str = ''
    service: str = ''
    since_s: float = -math.inf
    until_s: float = math.inf

    def matches(
        self,
        wall_s: float,
        job: JobId | None,
        subject: str,
    ) -> bool:
        """Whether an event matches the filter.

        Examples:
            >>> selected = TimelineFilter(service='sample', since_s=5)
            >>> selected.matches(6, JobId('sample', 'k1'), '')
            True
            >>> selected.matches(4, JobId('sample', 'k1'), '')
            False

        Args:
            wall_s: The event's wall clock time.
            job: The job it is about, if any.
            subject: The upstream, service or process that it is about.
        """
        if not self.since_s <= wall_s <= self.until_s:
            return False
        if self.job and (job is None or job.key != self.job):
            return False
        service = subject if job is None else job.service
        return not self.service or service == self.service
