"""Steps of injected faults and their effects on task starts."""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise

from .starts import TaskStart


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """One step of an injected fault.

    Attributes:
        at_s: Time of the step, in seconds from the start of the run.
        wall_s: Wall clock time of the step.
        step: Description of the step.
        process: Name of the process that it affects, empty for none.
    """

    at_s: float
    wall_s: float
    step: str
    process: str = ''


@dataclass(frozen=True, slots=True)
class FaultEffect:
    """Task starts after one step of a fault.

    Attributes:
        step: Description of the step.
        longest_gap_s: Longest interval without a task start on any upstream
            after the step; None if no task was started after it.
        last_start_s: Time from the step to the last task start on the
            affected process; None if it started none after the step.
    """

    step: str
    longest_gap_s: float | None
    last_start_s: float | None


def measure_fault_effect(
    event: FaultEvent, starts: Sequence[TaskStart]
) -> FaultEffect:
    """Returns the effect of a step of a fault, from the start records.

    Args:
        event: The step.
        starts: All task starts of the run.
    """
    later = [start for start in starts if start.time_s >= event.wall_s]
    own = [start.time_s for start in later if start.upstream == event.process]
    start_times_s = sorted(start.time_s for start in later)
    gaps_s = [
        after_s - before_s
        for before_s, after_s in pairwise([event.wall_s, *start_times_s])
    ]
    return FaultEffect(
        event.step,
        max(gaps_s, default=None),
        max(own) - event.wall_s if own else None,
    )
