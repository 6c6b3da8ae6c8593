"""Notices of the scheduler on health changes of upstreams."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SchedulerNotice:
    """Base class of the notices."""


@dataclass(frozen=True, slots=True)
class UpstreamEjected(SchedulerNotice):
    """An upstream was ejected and gets no tasks for some time.

    Attributes:
        upstream: Name of the upstream.
        cause: Failures or slowdown observed, compared with its peers.
        until_s: When the ejection ends, on the leader's clock.
    """

    upstream: str
    cause: str
    until_s: float


@dataclass(frozen=True, slots=True)
class UpstreamReadmitted(SchedulerNotice):
    """An ejected upstream gets tasks again, one at first.

    Attributes:
        upstream: Name of the upstream.
    """

    upstream: str
