"""Crashes of upstreams and the tasks that were running there."""

import itertools
from collections import deque
from collections.abc import Iterable

from ..tasks import CrashingJobFound, CrashSuspect, TaskRef, UpstreamCrashed

# Crashes under a task after which it is given up, even if they don't look
# alike.
MAX_CRASHES = 3
# The same, if more of them look alike under another job: the next one is given
# up anyway, since a task may start at most twice more after three crashes.
MAX_CRASHES_AMBIGUOUS = 4
# The same, with those whose start calls were not answered: such a call may have
# come after the crash.
MAX_CRASHES_UNCONFIRMED = 5
# Two crashes look alike if the task had run for about the same time: their
# cause repeats itself, while a task beside it has run for any time. If tasks of
# two jobs look alike in the same two crashes, a third crash decides.
AGE_TOLERANCE_S = 0.03
AGE_TOLERANCE = 0.05

# A task's runs by crash.
_Suspects = dict[str, CrashSuspect]


class CrashHistory:
    """Crashes by task that no other task is known to have caused.

    Examples:
        >>> one, other = TaskRef('a', 0, 0), TaskRef('b', 0, 0)
        >>> history = CrashHistory(retention_s=10.0)
        >>> for crash, other_age_s in (('u1', 0.3), ('u2', 0.1)):
        ...     suspects = (
        ...         CrashSuspect(one, 0.02),
        ...         CrashSuspect(other, other_age_s),
        ...     )
        ...     history.record(UpstreamCrashed(crash, suspects), now_s=1.0)
        >>> history.is_crashing('a'), history.is_crashing('b')
        (True, False)
        >>> history.found('a', 'queue', now_s=1.0)
        CrashingJobFound(job='a', queue='queue', crashes=('u1', 'u2'))
    """

    def __init__(self, retention_s: float) -> None:
        """Starts without crashes.

        Args:
            retention_s: How long a crash is kept.
        """
        self._retention_s = retention_s
        self._suspects: dict[str, dict[TaskRef, _Suspects]] = {}
        self._explained_s: dict[str, float] = {}
        self._order: deque[tuple[float, UpstreamCrashed]] = deque()

    def is_crashing(self, job: str) -> bool:
        """Whether a task of a job is considered the cause of crashes.

        Args:
            job: Id of the job.
        """
        tasks = self._suspects.get(job, {})
        return any(self._is_cause(job, suspects) for suspects in tasks.values())

    def is_ambiguous(self, job: str) -> bool:
        """Whether a job and another one may both have caused the same crashes.

        Args:
            job: Id of the job.
        """
        return any(
            1 < _alike_count(suspects.values()) <= self._rival(job, suspects)
            for suspects in self._suspects.get(job, {}).values()
        )

    def is_suspect(self, job: str) -> bool:
        """Whether upstreams crashed under a job and the cause is unknown.

        Args:
            job: Id of the job.
        """
        return job in self._suspects

    def record(self, report: UpstreamCrashed, now_s: float) -> None:
        """Records a crash, unless its cause is known.

        Args:
            report: The crash and the tasks that may be the cause.
            now_s: The monotonic clock of the process.
        """
        self._order.append((now_s, report))
        if report.crash in self._explained_s:
            return
        for suspect in report.suspects:
            task = suspect.task
            tasks = self._suspects.setdefault(task.job, {})
            tasks.setdefault(task, {})[report.crash] = suspect

    def found(self, job: str, queue: str, now_s: float) -> CrashingJobFound:
        """Returns the message that names a job as the cause of its crashes.

        Args:
            job: Id of the job.
            queue: Its queue.
            now_s: The monotonic clock of the process.
        """
        crashes = {
            crash
            for suspects in self._suspects.get(job, {}).values()
            if self._is_cause(job, suspects)
            for crash in suspects
        }
        message = CrashingJobFound(job, queue, tuple(sorted(crashes)))
        self.explain(message, now_s)
        return message

    def explain(self, message: CrashingJobFound, now_s: float) -> None:
        """Clears all tasks of the crashes that one job caused.

        Args:
            message: The job and its crashes.
            now_s: The monotonic clock of the process.
        """
        self._explained_s.update(dict.fromkeys(message.crashes, now_s))
        for _, report in self._order:
            if report.crash in message.crashes:
                self._clear(report)

    def evict_expired(self, now_s: float) -> None:
        """Removes crashes that are older than the retention time.

        Args:
            now_s: The monotonic clock of the process.
        """
        order = self._order
        while order and now_s - order[0][0] > self._retention_s:
            self._clear(order.popleft()[1])
        for crash, explained_s in list(self._explained_s.items()):
            if now_s - explained_s > self._retention_s:
                self._explained_s.pop(crash)

    def _is_cause(self, job: str, suspects: _Suspects) -> bool:
        """Whether the crashes under a task's runs are due to the task."""
        started = sum(one.started for one in suspects.values())
        if (
            len(suspects) >= MAX_CRASHES_UNCONFIRMED
            or started >= MAX_CRASHES_AMBIGUOUS
        ):
            return True
        alike = _alike_count(suspects.values())
        rival = self._rival(job, suspects)
        return alike > max(rival, 1) or (
            started >= MAX_CRASHES and alike >= rival
        )

    def _rival(self, job: str, suspects: _Suspects) -> int:
        """Returns how many of the same crashes look alike under another job."""
        return max(
            (
                _alike_count(
                    one for crash, one in tried.items() if crash in suspects
                )
                for other, tasks in self._suspects.items()
                if other != job
                for tried in tasks.values()
            ),
            default=0,
        )

    def _clear(self, report: UpstreamCrashed) -> None:
        for suspect in report.suspects:
            task = suspect.task
            tasks = self._suspects.get(task.job, {})
            suspects = tasks.get(task, {})
            suspects.pop(report.crash, None)
            if not suspects:
                tasks.pop(task, None)
            if not tasks:
                self._suspects.pop(task.job, None)


def _alike_count(suspects: Iterable[CrashSuspect]) -> int:
    """Returns the largest number of crashes that look alike."""
    ages_s = sorted(one.age_s for one in suspects if one.started)
    counts = [1] if ages_s else [0]
    for shorter_s, longer_s in itertools.pairwise(ages_s):
        alike = (
            longer_s - shorter_s <= AGE_TOLERANCE_S + AGE_TOLERANCE * longer_s
        )
        counts.append(counts[-1] + 1 if alike else 1)
    return max(counts)
