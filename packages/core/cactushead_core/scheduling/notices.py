"""What the scheduler tells the leader beside its placements."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SchedulerNotice:
    """Base class of all notices of the scheduler."""


@dataclass(frozen=True, slots=True)
class UpstreamEjected(SchedulerNotice):
    """An upstream gets no tasks for a while.

    Attributes:
        upstream: Name of the upstream.
        cause: What was seen of it and of its peers.
        until_s: When it is tried again, on the leader's clock.
    """

    upstream: str
    cause: str
    until_s: float


@dataclass(frozen=True, slots=True)
class UpstreamReadmitted(SchedulerNotice):
    """An ejected upstream is tried again, with one task at first.

    Attributes:
        upstream: Name of the upstream.
    """

    upstream: str
