"""Final states of recent jobs, for callers that resubmit them."""

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
