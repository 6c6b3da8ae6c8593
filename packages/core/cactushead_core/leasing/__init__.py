"""Tasks that run at an upstream under a lease that its agent renews."""

from .effects import RenewLeases, StartLeased, StopLeased, UpstreamCall
from .events import (
    HeartbeatReceived,
    LeasesRenewed,
    RenewalFailed,
    StartCallCompleted,
    StopCallCompleted,
    UpstreamDeregistered,
)
from .model import (
    EndRow,
    RunningRow,
    StartAnswer,
    UpstreamIdentity,
    UpstreamState,
)
from .node import LeasingAgent

__all__ = [
    'EndRow',
    'LeasesRenewed',
    'LeasingAgent',
    'RenewLeases',
    'RenewalFailed',
    'RunningRow',
    'StartAnswer',
    'StartCallCompleted',
    'StartLeased',
    'StopCallCompleted',
    'StopLeased',
    'HeartbeatReceived',
    'UpstreamCall',
    'UpstreamIdentity',
    'UpstreamDeregistered',
    'UpstreamState',
]
