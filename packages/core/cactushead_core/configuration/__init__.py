"""The configuration of all queues and services, replaced as a unit."""

from .arrivals import ConfigurationStatus
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
    'ConfigurationStatus',
    'NewestRequest',
    'NewestReply',
    'QueueDocument',
    'QueueTable',
    'ServicePool',
    'SubmitConfiguration',
]
