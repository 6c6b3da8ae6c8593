"""The configuration of all queues and services, replaced as a unit."""

from .messages import (
    ConfigurationRecord,
    ConfigurationUpdate,
    NewestReply,
    NewestRequest,
    SubmissionReply,
    SubmitConfiguration,
)
from .model import Configuration, QueueDocument, ServicePool
from .routing import QueueTable

__all__ = [
    'Configuration',
    'SubmissionReply',
    'ConfigurationUpdate',
    'ConfigurationRecord',
    'NewestRequest',
    'NewestReply',
    'QueueDocument',
    'QueueTable',
    'ServicePool',
    'SubmitConfiguration',
]
