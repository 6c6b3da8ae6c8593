"""What an entry keeps of recent jobs, for callers that resubmit them."""

from collections import deque

from ..tasks import JobEnd


class RecentJobEnds:
    """Cache of the final states of jobs, with a fixed retention time.

    Examples:
        >>> recent = RecentJobEnds(retention_s=10.0)
        >>> recent.add('a', JobEnd.COMPLETED, now_s=1.0)
        >>> recent.find('a')
        <JobEnd.COMPLETED: 'completed'>
        >>> recent.evict_expired(now_s=12.0)
        >>> recent.find('a') is None
        True
    """

    def __init__(self, retention_s: float) -> None:
        """Starts empty.

        Args:
            retention_s: How long a final state is kept.
        """
        self._retention_s = retention_s
        self._ends: dict[str, JobEnd] = {}
        self._order: deque[tuple[float, str]] = deque()

    def add(self, job: str, end: JobEnd, now_s: float) -> None:
        """Adds the final state of a job.

        Args:
            job: Id of the job.
            end: Its final state.
            now_s: The monotonic clock of the process.
        """
        self._ends[job] = end
        self._order.append((now_s, job))

    def find(self, job: str) -> JobEnd | None:
        """Returns the final state of a job, None if unknown or evicted.

        Args:
            job: Id of the job.
        """
        return self._ends.get(job)

    def evict_expired(self, now_s: float) -> None:
        """Removes final states that are older than the retention time.

        Args:
            now_s: The monotonic clock of the process.
        """
        order = self._order
        while order and now_s - order[0][0] > self._retention_s:
            self._ends.pop(order.popleft()[1], None)


class RecentRuns:
    """Highest run numbers of recent jobs, with a fixed retention time.

    Explanation:
        A job that is opened again numbers its runs above them, so that a late
        result of an earlier run is not taken for one of a later run.
    """

    def __init__(self, retention_s: float) -> None:
        """Starts empty.

        Args:
            retention_s: How long a number is kept.
        """
        self._retention_s = retention_s
        self._added: dict[str, tuple[float, int]] = {}

    def add(self, job: str, run: int, now_s: float) -> None:
        """Adds the highest run number of a job.

        Args:
            job: Id of the job.
            run: The number.
            now_s: The monotonic clock of the process.
        """
        # Keeps the order of the times.
        self._added.pop(job, None)
        self._added[job] = (now_s, run)

    def find(self, job: str) -> int:
        """Returns the highest run number of a job, 0 if none is known.

        Args:
            job: Id of the job.
        """
        return self._added.get(job, (0.0, 0))[1]

    def evict_expired(self, now_s: float) -> None:
        """Removes the numbers that are older than the retention time.

        Args:
            now_s: The monotonic clock of the process.
        """
        while self._added:
            job, (added_s, _) = next(iter(self._added.items()))
            if now_s - added_s <= self._retention_s:
                return
            self._added.pop(job)
