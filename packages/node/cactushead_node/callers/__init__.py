"""HTTP interface for callers and operators."""

from .app import CallerApp, make_app
from .port import RequestEventFactory, RequestPort, StatusPort

__all__ = [
    'CallerApp',
    'RequestEventFactory',
    'RequestPort',
    'StatusPort',
    'make_app',
]
