"""An HTTP reply."""

from dataclasses import dataclass
from http import HTTPStatus

JSON_TYPE = 'application/json'


@dataclass(frozen=True, slots=True)
class Header:
    """A header field of a reply."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP reply.

    Attributes:
        status: The status code.
        body: The body.
        headers: Headers other than `content-type` and `content-length`.
        content_type: Media type of the body.
    """

    status: HTTPStatus
    body: bytes
    headers: tuple[Header, ...] = ()
    content_type: str = JSON_TYPE
