"""Which runs stand still at their upstream."""

from collections.abc import Iterable

from .clock import UNKNOWN_MS
from .model import RunningRow
from .runs import LeasedRun, Phase, RunTable

# Two lists that follow one another are that far apart where nothing ends.
MIN_STALL_S = 0.2
# A run that is eight times slower than expected moves a percent in that share
# of its expected time.
STALL_FRACTION = 0.08
MILLISECONDS = 1000


def find_stalled(
    runs: RunTable,
    rows: Iterable[RunningRow],
    clock_ms: int,
) -> list[LeasedRun]:
    """Takes the progress of the listed runs and returns those without any.

    Explanation:
        Time is measured on the upstream's clock, which stands in each list:
        a list that was read late, or an upstream that was frozen, makes no
        run look as if it stood still.

    Args:
        runs: The agent's runs.
        rows: Runs that the upstream lists as running.
        clock_ms: The upstream's clock when it made the list.
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
