"""Service documents: model, schema and decisions on submission."""

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
