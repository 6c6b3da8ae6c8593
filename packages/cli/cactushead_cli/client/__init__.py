"""Client of the HTTP API that entries offer to callers and operators."""

from .client import Client, Submission, TaskInput, TimelineQuery
from .errors import (
    ClientError,
    EntryError,
    EntryUnreachableError,
    InvalidResponseError,
    JobFailedError,
    NoEntryAnswersError,
    RefusedError,
    RequestInterruptedError,
    UsageError,
)
from .fields import Fields, JsonValue
from .responses import DocumentView, JobView
from .transport import HttpcoreTransport, HttpRequest, HttpResponse, Transport

__all__ = [
    'Client',
    'ClientError',
    'DocumentView',
    'EntryError',
    'EntryUnreachableError',
    'RequestInterruptedError',
    'Fields',
    'HttpRequest',
    'HttpResponse',
    'HttpcoreTransport',
    'JobFailedError',
    'JobView',
    'JsonValue',
    'NoEntryAnswersError',
    'RefusedError',
    'Submission',
    'TaskInput',
    'TimelineQuery',
    'Transport',
    'InvalidResponseError',
    'UsageError',
]
