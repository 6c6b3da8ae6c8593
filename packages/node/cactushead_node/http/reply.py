"""An HTTP reply."""

from dataclasses import dataclass
from http import HTTPStatus

JSON_TYPE = 'application/json'


@dataclass(frozen=True, slots=True)
class Header:
    """One header of a reply."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP reply.

    Attributes:
        status: The status code.
        body: The body.
        headers: Headers besides the body's type and length.
        content_type: Type of the body.
    """

    status: HTTPStatus
    body: bytes
    headers: tuple[Header, ...] = ()
    content_type: str = JSON_TYPE
