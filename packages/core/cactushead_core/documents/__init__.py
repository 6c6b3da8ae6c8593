"""Service documents: model, JSON schema and messages."""

from .model import (
    Limits,
    RequestKind,
    Selector,
    ServiceDocument,
    ServiceState,
    StopPolicy,
    StopRemainder,
)

__all__ = [
    'Limits',
    'RequestKind',
    'Selector',
    'ServiceDocument',
    'ServiceState',
    'StopPolicy',
    'StopRemainder',
]
