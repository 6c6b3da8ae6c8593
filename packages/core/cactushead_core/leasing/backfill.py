"""Keeps room for the first queued run that doesn't fit yet (EASY backfill).

References:
    D. Lifka, "The ANL/IBM SP Scheduling System", 1995.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..tasks import Resources
from .runs import LeasedRun

# A run that has exceeded its expected time is expected to take this part of it
# more, so that a wrong estimate doesn't end a claim early.
OVERRUN = 0.1


@dataclass(frozen=True, slots=True)
class Claim:
    """Claim of a waiting run on resources that will become free.

    Attributes:
        at_s: When the run is expected to fit.
        spare: What is expected to be free then beside it.
    """

    at_s: float
    spare: Resources

    def admits(self, run: LeasedRun, now_s: float) -> bool:
        """Whether a run can start now without delaying the claimant.

        Explanation:
            It must be expected to end before, or fit beside it.

        Args:
            run: A run that fits into the free resources now.
            now_s: The agent's clock.
        """
        return now_s + run.expected_s <= self.at_s or self.spare.can_fit(
            run.needs
        )

    def beside(self, run: LeasedRun, now_s: float) -> 'Claim':
        """Returns the claim after such a run has started.

        Args:
            run: The run.
            now_s: The agent's clock.
        """
        if now_s + run.expected_s <= self.at_s:
            return self
        return Claim(self.at_s, self.spare - run.needs)


def make_claim(
    waiting: LeasedRun,
    running: Iterable[LeasedRun],
    free: Resources,
    now_s: float,
) -> Claim | None:
    """Returns the claim of a run that doesn't fit now.

    Args:
        waiting: The run.
        running: The runs that hold resources.
        free: The free resources.
        now_s: The agent's clock.

    Returns:
        The claim; None if the run doesn't fit even after all of them.
    """
    ends = sorted(
        ((_expected_end_s(run, now_s), run.needs) for run in running),
        key=_end_of,
    )
    for end_s, needs in ends:
        free += needs
        if free.can_fit(waiting.needs):
            return Claim(end_s, free - waiting.needs)
    return None


def _expected_end_s(run: LeasedRun, now_s: float) -> float:
    remaining_s = run.start_sent_s + run.expected_s - now_s
    return now_s + max(remaining_s, OVERRUN * run.expected_s)


def _end_of(end: tuple[float, Resources]) -> float:
    return end[0]
