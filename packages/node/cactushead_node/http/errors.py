"""Errors while a request is received."""

from http import HTTPStatus

from cactushead_core.errors import CactusheadError


class CallerDisconnectedError(CactusheadError):
    """The caller closed the connection before the reply was sent."""


class BodyError(CactusheadError):
    """The body was rejected before any part of the request was processed.

    Attributes:
        status: HTTP status code of the reply.
        summary: Value of the `error` field in the reply.
    """

    status = HTTPStatus.BAD_REQUEST
    summary = 'invalid request'


class BodyTooLargeError(BodyError):
    """The request body is larger than the limit."""

    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    summary = 'request too large'


class BodyTimeoutError(BodyError):
    """The request body was not received before the time-out."""

    status = HTTPStatus.REQUEST_TIMEOUT
    summary = 'request too slow'


class BodyBudgetError(BodyError):
    """The bodies that are being received have exhausted the budget."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    summary = 'too many large requests at once'
