"""What a fault did, and what the upstreams' start records show of it."""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise

from .starts import TaskStart


@dataclass(frozen=True, slots=True)
class FaultNote:
    """One step of a fault.

    Attributes:
        at_s: When, from the start of the run.
        wall_s: The same as wall clock.
        step: What was done.
        process: Name of the process that it was done to, empty for none.
    """

    at_s: float
    wall_s: float
    step: str
    process: str = ''


@dataclass(frozen=True, slots=True)
class FaultEffect:
    """Starts after one step of a fault.

    Attributes:
        step: What was done.
        longest_gap_s: Longest time without a start anywhere, from the step
            on; None if nothing started after it.
        last_start_s: When the process last started a task, from the step on;
            None if it started none.
    """

    step: str
    longest_gap_s: float | None
    last_start_s: float | None


def fault_effect(note: FaultNote, starts: Sequence[TaskStart]) -> FaultEffect:
    """Returns what the start records show after a step of a fault.

    Args:
        note: The step.
        starts: All starts of the run.
    """
    later = [start for start in starts if start.time_s >= note.wall_s]
    own = [start.time_s for start in later if start.upstream == note.process]
    moments_s = sorted(start.time_s for start in later)
    gaps_s = [
        after_s - before_s
        for before_s, after_s in pairwise([note.wall_s, *moments_s])
    ]
    return FaultEffect(
        note.step,
        max(gaps_s, default=None),
        max(own) - note.wall_s if own else None,
    )
