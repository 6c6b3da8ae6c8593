"""Serving of HTTP, for whoever asks."""

from .app import HttpApp
from .budget import HIGHEST_BODY_BYTES, BodyBudget, Reservation
from .errors import (
    BodyBudgetError,
    BodyError,
    BodyTooLargeError,
    CallerGoneError,
    SlowBodyError,
)
from .exchange import Exchange, Receive, Scope, SendMessage
from .reply import JSON_TYPE, Header, Reply
from .server import serve_callers

__all__ = [
    'HIGHEST_BODY_BYTES',
    'JSON_TYPE',
    'BodyBudget',
    'BodyBudgetError',
    'BodyError',
    'BodyTooLargeError',
    'CallerGoneError',
    'Exchange',
    'Header',
    'HttpApp',
    'Receive',
    'Reply',
    'Reservation',
    'Scope',
    'SendMessage',
    'SlowBodyError',
    'serve_callers',
]
