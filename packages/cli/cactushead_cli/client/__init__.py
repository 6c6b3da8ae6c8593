"""Client of the callers' and operators' HTTP interface."""

from .answers import DocumentView, JobView
from .client import Client, Submission, TaskInput, TimelineQuery
from .errors import (
    ClientError,
    EntryError,
    EntryUnreachableError,
    ExchangeBrokenError,
    JobFailedError,
    NoEntryAnswersError,
    RefusedError,
    UnreadableReplyError,
    UsageError,
)
from .fields import Fields, JsonValue
from .transport import HttpCall, HttpcoreTransport, HttpReply, Transport

__all__ = [
    'Client',
    'ClientError',
    'DocumentView',
    'EntryError',
    'EntryUnreachableError',
    'ExchangeBrokenError',
    'Fields',
    'HttpCall',
    'HttpReply',
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
    'UnreadableReplyError',
    'UsageError',
]
