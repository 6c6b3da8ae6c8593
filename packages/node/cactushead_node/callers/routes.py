"""URL paths of the HTTP interface."""

from dataclasses import dataclass
from enum import StrEnum
from urllib.parse import unquote

VERSION_SEGMENT = 'v1'


class Resource(StrEnum):
    """Kind of resource that a path identifies."""

    JOBS = 'jobs'
    JOB = 'job'
    DOCUMENTS = 'documents'
    DOCUMENT = 'document'
    TIMELINE = 'timeline'
    METRICS = 'metrics'
    HEALTH = 'health'
    READINESS = 'readiness'


@dataclass(frozen=True, slots=True)
class Route:
    """A resource and the parameters in its path.

    Attributes:
        resource: Kind of resource that the path identifies.
        service: Name of the service, if the path has one.
        key: Idempotency key of the job, if the path has one.
    """

    resource: Resource
    service: str = ''
    key: str = ''


def find_route(raw_path: str) -> Route | None:
    """Returns the route of a path, or None for an unknown path.

    Examples:
        >>> find_route('/v1/services/sample/jobs/a%3Fb').key
        'a?b'
        >>> find_route('/v2/services') is None
        True

    Args:
        raw_path: The path, still percent-encoded. Each segment is decoded after
            the split, so an encoded `/` is part of its segment.
    """
    try:
        segments = [
            unquote(segment, errors='strict') for segment in raw_path.split('/')
        ]
    except UnicodeDecodeError:
        return None
    return _match_path(segments[1:])


def _match_path(segments: list[str]) -> Route | None:
    match segments:
        case ['healthz']:
            return Route(Resource.HEALTH)
        case ['readyz']:
            return Route(Resource.READINESS)
        case [version, *rest] if version == VERSION_SEGMENT:
            return _match_versioned(rest)
    return None


def _match_versioned(segments: list[str]) -> Route | None:
    match segments:
        case ['services', service, 'jobs']:
            return Route(Resource.JOBS, service)
        case ['services', service, 'jobs', key]:
            return Route(Resource.JOB, service, key)
        case ['documents']:
            return Route(Resource.DOCUMENTS)
        case ['documents', service]:
            return Route(Resource.DOCUMENT, service)
        case ['timeline']:
            return Route(Resource.TIMELINE)
        case ['metrics']:
            return Route(Resource.METRICS)
    return None
