"""Evacuation of data centres: no task starts there until it is withdrawn."""

from .events import EvacuationRequested
from .messages import (
    EvacuationRecord,
    EvacuationReply,
    EvacuationState,
    SubmitEvacuation,
)

__all__ = [
    'EvacuationRecord',
    'EvacuationReply',
    'EvacuationRequested',
    'EvacuationState',
    'SubmitEvacuation',
]
