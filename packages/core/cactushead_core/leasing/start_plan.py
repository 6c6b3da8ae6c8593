"""The choice of the queued runs that start now."""

from collections.abc import Sequence
from dataclasses import dataclass

from ..tasks import Resources
from .backfill import Claim, make_claim
from .runs import LeasedRun


@dataclass(frozen=True, slots=True)
class StartPlan:
    """What becomes of queued runs.

    Attributes:
        starts: Runs that start, in this order.
        rejected: Runs that may not wait and don't start.
        held_back: Number of runs that would fit and wait for a claim.
    """

    starts: tuple[LeasedRun, ...]
    rejected: tuple[LeasedRun, ...]
    held_back: int = 0


def plan_starts(
    ordered: Sequence[LeasedRun],
    running: Sequence[LeasedRun],
    free: Resources,
    now_s: float,
    *,
    claims: bool,
) -> StartPlan:
    """Starts runs in order; later ones may fill room that a claim leaves.

    Args:
        ordered: The queued runs in starting order.
        running: The runs that hold resources.
        free: The free resources.
        now_s: The agent's clock.
        claims: Whether the first timely run that doesn't fit claims room.
    """
    room = _Room(free, now_s)
    starts: list[LeasedRun] = []
    rejected: list[LeasedRun] = []
    held_back = 0
    for run in ordered:
        if room.start(run):
            starts.append(run)
            continue
        held_back += room.free.can_fit(run.needs)
        if not run.may_wait:
            rejected.append(run)
        elif claims and room.claim is None and run.start_by_s >= now_s:
            room.claim = make_claim(run, running, room.free, now_s)
    return StartPlan(tuple(starts), tuple(rejected), held_back)


class _Room:
    """Free resources of an upstream and the claim on them.

    Attributes:
        free: The free resources.
        claim: The claim, None if there is none.
    """

    def __init__(self, free: Resources, now_s: float) -> None:
        self.free = free
        self.claim: Claim | None = None
        self._now_s = now_s

    def start(self, run: LeasedRun) -> bool:
        """Allocates resources; returns whether the run may start."""
        if not self.free.can_fit(run.needs):
            return False
        if self.claim is not None:
            if not self.claim.admits(run, self._now_s):
                return False
            self.claim = self.claim.beside(run, self._now_s)
        self.free -= run.needs
        return True
