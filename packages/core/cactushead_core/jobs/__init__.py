"""Jobs, their tasks, answers and refusals."""

from .model import (
    Attempt,
    JobAnswer,
    JobId,
    JobRequest,
    JobState,
    JobStatus,
    Refusal,
    RefusalReason,
    TaskSpec,
    digest_request,
)

__all__ = [
    'Attempt',
    'JobAnswer',
    'JobId',
    'JobRequest',
    'JobState',
    'JobStatus',
    'Refusal',
    'RefusalReason',
    'TaskSpec',
    'digest_request',
]
