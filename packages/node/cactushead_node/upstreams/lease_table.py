"""Runs, leases and ends of an upstream that does not track them."""

from dataclasses import dataclass

from cactushead_core.leasing import (
    EndRow,
    RunningRow,
    StartAnswer,
    StartLeased,
    StopLeased,
)
from cactushead_core.tasks import RunEnd, TaskRef

# Bounds how long runs continue when the agent cannot renew their leases; the
# settings of the agent request no longer lease.
MAX_LEASE_MS = 1000
PROGRESS_UNKNOWN = -1


@dataclass(slots=True)
class _LeasedRun:
    """Run that is or may be active at the upstream.

    Attributes:
        run: Number of the run.
        lease_end_ms: Time at which its lease expires.
        end: End to report for a run that is being stopped, else None.
    """

    run: int
    lease_end_ms: int
    end: RunEnd | None = None


class LeaseTable:
    """Tracks leases in the agent's process for an upstream without them.

    Explanation:
        The upstream only starts, stops and completes tasks. This table
        tracks run numbers, fencing tokens, leases and the list of ends,
        under the rules that an upstream with leases implements itself. All
        times are read from one clock, in milliseconds.

    Examples:
        >>> leases = LeaseTable()
        >>> leases.record_stop(StopLeased(None, '', TaskRef('j', 0, 0), 1, 7))
        False
        >>> start = StartLeased(None, '', TaskRef('j', 0, 0), 1, '', 900, 7)
        >>> leases.check_start(start, clock_ms=0)
        <StartAnswer.REFUSED: 'refused'>
    """

    def __init__(self) -> None:
        """Creates an empty table."""
        self._runs: dict[TaskRef, _LeasedRun] = {}
        self._highest_runs: dict[TaskRef, int] = {}
        self._ends: list[EndRow] = []
        self._last_end_number = 0
        self._token = 0

    def observe_token(self, token: int) -> bool:
        """Records a fencing token and returns whether it is stale.

        Args:
            token: Fencing token of a request to the upstream.

        Returns:
            Whether a higher token was seen before; the request is rejected.
        """
        if token < self._token:
            return True
        self._token = token
        return False

    def check_start(
        self, request: StartLeased, clock_ms: int
    ) -> StartAnswer | None:
        """Returns the answer to a start, None if it has to be performed.

        Explanation:
            A repeated start of an active run is answered as started. A start
            is refused when its lease has expired, another run of the task is
            active, or the same or a later run has ended or been stopped.

        Args:
            request: Request to start a run.
            clock_ms: Current time.
        """
        active = self._runs.get(request.task)
        if self.observe_token(request.token):
            return StartAnswer.FENCED
        if active is not None and active.run == request.run:
            return StartAnswer.STARTED
        superseded = request.run <= self._highest_runs.get(request.task, 0)
        expired = request.lease_end_ms <= clock_ms
        if superseded or expired or active is not None:
            return StartAnswer.REFUSED
        return None

    def record_start(self, request: StartLeased, clock_ms: int) -> None:
        """Adds a run, with its lease limited to `MAX_LEASE_MS`.

        Args:
            request: Request to start the run.
            clock_ms: Current time.
        """
        lease_end_ms = min(request.lease_end_ms, clock_ms + MAX_LEASE_MS)
        self._runs[request.task] = _LeasedRun(request.run, lease_end_ms)

    def record_stop(self, request: StopLeased) -> bool:
        """Marks a run as being stopped and refuses later starts of it.

        Args:
            request: Request to stop the run.

        Returns:
            Whether this run or an earlier one of the task is active and has
            to be stopped.
        """
        self._record_highest_run(request.task, request.run)
        active = self._runs.get(request.task)
        if active is None or active.run > request.run:
            return False
        active.end = RunEnd.STOPPED
        return True

    def renew(self, lease_end_ms: int, clock_ms: int) -> None:
        """Renews the leases of all runs that are not being stopped.

        Args:
            lease_end_ms: New expiry; ignored if it is earlier than the old.
            clock_ms: Current time.
        """
        granted_ms = min(lease_end_ms, clock_ms + MAX_LEASE_MS)
        for run in self._active_runs().values():
            run.lease_end_ms = max(run.lease_end_ms, granted_ms)

    def expire(self, clock_ms: int) -> list[TaskRef]:
        """Marks runs with expired leases; returns the tasks to stop.

        Args:
            clock_ms: Current time.
        """
        expired_tasks = []
        for task, run in self._active_runs().items():
            if run.lease_end_ms <= clock_ms:
                run.end = RunEnd.LEASE_EXPIRED
                expired_tasks.append(task)
        return expired_tasks

    def record_end(self, task: TaskRef, end: RunEnd) -> None:
        """Removes a run and adds its end to the list of ends.

        Args:
            task: Task of the run.
            end: End of the run. If the run was being stopped, the reason of
                the stop is listed instead, unless the task was done.
        """
        run = self._runs.pop(task)
        self._record_highest_run(task, run.run)
        self._last_end_number += 1
        listed = end if end is RunEnd.DONE else run.end or end
        self._ends.append(EndRow(self._last_end_number, task, run.run, listed))

    def acknowledge(self, number: int) -> None:
        """Removes the acknowledged ends from the list.

        Args:
            number: Number of the newest acknowledged end.
        """
        self._ends = [row for row in self._ends if row.number > number]

    def running_runs(self) -> tuple[RunningRow, ...]:
        """Returns the runs that are or may be active at the upstream."""
        return tuple(
            RunningRow(task, run.run, PROGRESS_UNKNOWN)
            for task, run in self._runs.items()
        )

    def unacknowledged_ends(self) -> tuple[EndRow, ...]:
        """Returns the ends that have not been acknowledged."""
        return tuple(self._ends)

    def _active_runs(self) -> dict[TaskRef, _LeasedRun]:
        """Returns the runs that are not being stopped, by task."""
        return {
            task: run for task, run in self._runs.items() if run.end is None
        }

    def _record_highest_run(self, task: TaskRef, run: int) -> None:
        """Records a run number; this and lower runs may not start."""
        self._highest_runs[task] = max(self._highest_runs.get(task, 0), run)
