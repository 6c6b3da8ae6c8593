"""Agents: announced upstreams, assignments, outcomes and leases."""

from .model import (
    Assignment,
    OutcomeStatus,
    TaskOutcome,
    TaskRef,
    TaskReport,
    TaskStage,
    UpstreamSpec,
)

__all__ = [
    'Assignment',
    'OutcomeStatus',
    'TaskOutcome',
    'TaskRef',
    'TaskReport',
    'TaskStage',
    'UpstreamSpec',
]
