"""Runs, leases and ends of an upstream that keeps none itself."""

from dataclasses import dataclass

from cactushead_core.leasing import (
    EndRow,
    RunningRow,
    StartAnswer,
    StartLeased,
    StopLeased,
)
from cactushead_core.tasks import RunEnd, TaskRef

# The agent beside it may lose its renewals that long; see the agent's
# settings, which ask for no longer lease.
MAX_LEASE_MS = 1000
PROGRESS_UNKNOWN = -1


@dataclass(slots=True)
class _LeasedRun:
    """A run that the upstream has, or may have.

    Attributes:
        run: Its number.
        lease_end_ms: End of its lease.
        end: How it ends once it is gone, if it is being stopped.
    """

    run: int
    lease_end_ms: int
    end: RunEnd | None = None


class LeaseTable:
    """Keeps leases in the agent's process for a blocking upstream.

    Explanation:
        The upstream only starts, answers and stops. Run numbers, fencing
        tokens, leases and the list of ends are kept here, under the rules
        that a leased upstream keeps by itself.

    Examples:
        >>> leases = LeaseTable()
        >>> leases.record_stop(StopLeased(None, '', TaskRef('j', 0, 0), 1, 7))
        False
        >>> start = StartLeased(None, '', TaskRef('j', 0, 0), 1, '', 900, 7)
        >>> leases.check_start(start, clock_ms=0)
        <StartAnswer.REFUSED: 'refused'>
    """

    def __init__(self) -> None:
        """Starts without runs."""
        self._runs: dict[TaskRef, _LeasedRun] = {}
        self._highest_runs: dict[TaskRef, int] = {}
        self._ends: list[EndRow] = []
        self._last_end_number = 0
        self._token = 0

    def observe_token(self, token: int) -> bool:
        """Takes note of a fencing token.

        Args:
            token: Token of a call.

        Returns:
            Whether a higher one was seen before.
        """
        if token < self._token:
            return True
        self._token = token
        return False

    def check_start(
        self, call: StartLeased, clock_ms: int
    ) -> StartAnswer | None:
        """Returns the answer to a start, None if it shall be carried out.

        Args:
            call: The start.
            clock_ms: The book's clock.
        """
        known = self._runs.get(call.task)
        if self.observe_token(call.token):
            return StartAnswer.FENCED
        if known is not None and known.run == call.run:
            return StartAnswer.STARTED
        old = call.run <= self._highest_runs.get(call.task, 0)
        late = call.lease_end_ms <= clock_ms
        if old or late or known is not None:
            return StartAnswer.REFUSED
        return None

    def record_start(self, call: StartLeased, clock_ms: int) -> None:
        """Enters a run.

        Args:
            call: The start.
            clock_ms: The book's clock.
        """
        lease_end_ms = min(call.lease_end_ms, clock_ms + MAX_LEASE_MS)
        self._runs[call.task] = _LeasedRun(call.run, lease_end_ms)

    def record_stop(self, call: StopLeased) -> bool:
        """Refuses a run from now on.

        Args:
            call: The stop.

        Returns:
            Whether the upstream has that run or an earlier one.
        """
        self._record_highest_run(call.task, call.run)
        known = self._runs.get(call.task)
        if known is None or known.run > call.run:
            return False
        known.end = RunEnd.STOPPED
        return True

    def renew(self, lease_end_ms: int, clock_ms: int) -> None:
        """Renews the leases of all runs that aren't being stopped.

        Args:
            lease_end_ms: New end; an earlier one than before is passed over.
            clock_ms: The book's clock.
        """
        granted_ms = min(lease_end_ms, clock_ms + MAX_LEASE_MS)
        for run in self._active_runs().values():
            run.lease_end_ms = max(run.lease_end_ms, granted_ms)

    def expire(self, clock_ms: int) -> list[TaskRef]:
        """Returns the tasks whose lease has just ended; they are to stop.

        Args:
            clock_ms: The book's clock.
        """
        over = []
        for task, run in self._active_runs().items():
            if run.lease_end_ms <= clock_ms:
                run.end = RunEnd.LAPSED
                over.append(task)
        return over

    def record_end(self, task: TaskRef, end: RunEnd) -> None:
        """Lists the end of a run.

        Args:
            task: Its task.
            end: How it ended, unless it was being stopped.
        """
        run = self._runs.pop(task)
        self._record_highest_run(task, run.run)
        self._last_end_number += 1
        listed = end if end is RunEnd.DONE else run.end or end
        self._ends.append(EndRow(self._last_end_number, task, run.run, listed))

    def acknowledge(self, number: int) -> None:
        """Forgets the ends up to a number.

        Args:
            number: The newest that was taken.
        """
        self._ends = [row for row in self._ends if row.number > number]

    def running_runs(self) -> tuple[RunningRow, ...]:
        """Returns the runs that the upstream has or may have."""
        return tuple(
            RunningRow(task, run.run, PROGRESS_UNKNOWN)
            for task, run in self._runs.items()
        )

    def unacknowledged_ends(self) -> tuple[EndRow, ...]:
        """Returns the ends that aren't forgotten."""
        return tuple(self._ends)

    def _active_runs(self) -> dict[TaskRef, _LeasedRun]:
        return {
            task: run for task, run in self._runs.items() if run.end is None
        }

    def _record_highest_run(self, task: TaskRef, run: int) -> None:
        self._highest_runs[task] = max(self._highest_runs.get(task, 0), run)
