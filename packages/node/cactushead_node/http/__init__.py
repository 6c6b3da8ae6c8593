"""HTTP server: ASGI applications, exchanges and request body limits."""

from .app import HttpApp
from .asgi import Receive, Scope, SendMessage
from .budget import MAX_BODY_BYTES, BodyBudget, Reservation
from .errors import (
    BodyBudgetError,
    BodyError,
    BodyTimeoutError,
    BodyTooLargeError,
    CallerDisconnectedError,
)
from .exchange import Exchange
from .guard import ConnectionCounters, ConnectionGuard
from .reply import JSON_TYPE, Header, Reply
from .server import serve_http

__all__ = [
    'MAX_BODY_BYTES',
    'JSON_TYPE',
    'BodyBudget',
    'BodyBudgetError',
    'BodyError',
    'BodyTooLargeError',
    'CallerDisconnectedError',
    'ConnectionCounters',
    'ConnectionGuard',
    'Exchange',
    'Header',
    'HttpApp',
    'Receive',
    'Reply',
    'Reservation',
    'Scope',
    'SendMessage',
    'BodyTimeoutError',
    'serve_http',
]
