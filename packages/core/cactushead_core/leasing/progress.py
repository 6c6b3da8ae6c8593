"""Detects runs that make no progress at their upstream."""

from collections.abc import Iterable

from .clock import UNKNOWN_MS
from .model import RunningRow
from .runs import LeasedRun, Phase, RunTable

# Interval between two consecutive lists while no run ends.
MIN_STALL_S = 0.2
# A run that is eight times slower than expected advances by one percent in this
# fraction of its expected duration.
STALL_FRACTION = 0.08
MILLISECONDS = 1000


def find_stalled(
    runs: RunTable,
    rows: Iterable[RunningRow],
    clock_ms: int,
) -> list[LeasedRun]:
    """Updates the progress of the listed runs and returns the stalled ones.

    Explanation:
        Time is measured on the upstream's clock, whose reading is part of
        each list, so neither a list that is processed late nor a paused
        upstream makes a run appear stalled.

    Args:
        runs: The agent's runs.
        rows: Runs that the upstream lists as running.
        clock_ms: The upstream's clock when it created the list.
    """
    if clock_ms == UNKNOWN_MS:
        return []
    stalled = []
    for row in rows:
        run = runs.find(row.task)
        if run is None or run.run != row.run or row.percent < 0:
            continue
        if run.percent != row.percent:
            run.percent = row.percent
            run.progress_ms = clock_ms
        elif run.phase is Phase.RUNNING and _is_stalled(run, clock_ms):
            stalled.append(run)
    return stalled


def _is_stalled(run: LeasedRun, clock_ms: int) -> bool:
    min_stall_s = max(MIN_STALL_S, run.expected_s * STALL_FRACTION)
    return clock_ms - run.progress_ms >= min_stall_s * MILLISECONDS
