"""Creates the scheduler of a new leader from the configuration."""

from ..config import EntryConfig, PlacementPolicyName, TaskOrderName
from ..scheduling import (
    ArrivalOrder,
    FairOrder,
    FirstFitPlacement,
    PlacementPolicy,
    RandomPlacement,
    Scheduler,
    SpreadPlacement,
)


def make_scheduler(config: EntryConfig) -> Scheduler:
    """Returns an empty scheduler with the configured policies.

    Args:
        config: Configuration of the entry.
    """
    fair = config.policy.order is TaskOrderName.FAIR
    return Scheduler(
        FairOrder if fair else ArrivalOrder,
        _make_placement(config),
        queue_depth=config.policy.queue_depth,
    )


def _make_placement(config: EntryConfig) -> PlacementPolicy:
    match config.policy.placement:
        case PlacementPolicyName.FIRST_FIT:
            return FirstFitPlacement()
        case PlacementPolicyName.RANDOM:
            return RandomPlacement(config.seed)
    return SpreadPlacement(config.data_centre)
