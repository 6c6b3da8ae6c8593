"""Errors in reading a request."""

from http import HTTPStatus

from cactushead_core.errors import CactusheadError


class CallerDisconnectedError(CactusheadError):
    """The caller hung up before it had its reply."""


class BodyError(CactusheadError):
    """A body that is not taken; nothing of the request was run.

    Attributes:
        status: Status of the reply.
        summary: The error that the reply names.
    """

    status = HTTPStatus.BAD_REQUEST
    summary = 'invalid request'


class BodyTooLargeError(BodyError):
    """The body of a request is larger than the limit."""

    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    summary = 'request too large'


class BodyTimeoutError(BodyError):
    """The body of a request didn't arrive in time."""

    status = HTTPStatus.REQUEST_TIMEOUT
    summary = 'request too slow'


class BodyBudgetError(BodyError):
    """The bodies that are being read take too much memory."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    summary = 'too many large requests at once'
