"""JSON form of service documents.

Explanation:
    This module imports pydantic, so the package's `__init__` doesn't import
    it: agents use documents but never parse one, and pydantic would only
    cost them memory.
"""

import hashlib
import json
from typing import Annotated, Any, Literal, Self

from pydantic import Field, model_validator

from ..errors import DocumentError, Finding
from ..validation import load_json
from ..validation.schema_base import Schema, validate
from .model import (
    Label,
    Limits,
    RequestKind,
    Selector,
    ServiceDocument,
    ServiceState,
    StopPolicy,
    StopRemainder,
)
from .names import NAME_PATTERN

DIGEST_SIZE_BYTES = 16
MAX_VERSION = 2**53 - 1
MAX_TASKS = 1_000_000
MAX_JOB_TASKS = 1000
MAX_STARTS_PER_S = 1e6
MAX_DURATION_S = 3600
MAX_STARTS = 10
MAX_REQUEST_KINDS = 1000
MAX_UPSTREAM_NAMES = 10_000
MAX_LABELS = 100

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
_LabelValue = Annotated[str, Field(max_length=200)]
_TaskCount = Annotated[int, Field(ge=1, le=MAX_TASKS)]


class _Upstreams(Schema):
    names: Annotated[list[Name], Field(max_length=MAX_UPSTREAM_NAMES)] = []
    labels: Annotated[
        dict[Name, _LabelValue],
        Field(max_length=MAX_LABELS),
    ] = {}


class _Limits(Schema):
    concurrent_tasks: _TaskCount = 10_000
    starts_per_s: Annotated[float, Field(ge=0, le=MAX_STARTS_PER_S)] = 0.0
    queue_tasks: _TaskCount = 10_000
    caller_share: Annotated[float, Field(gt=0, le=1)] = 1.0
    job_tasks: Annotated[int, Field(ge=1, le=MAX_JOB_TASKS)] = 1000


class _Request(Schema):
    repeatable: bool = False
    timeout_s: Annotated[float, Field(gt=0, le=MAX_DURATION_S)] = 30.0
    max_starts: Annotated[int, Field(ge=1, le=MAX_STARTS)] = 1

    @model_validator(mode='after')
    def _check_restarts(self) -> Self:
        if self.max_starts > 1 and not self.repeatable:
            raise ValueError(
                f'max_starts is {self.max_starts}, but a request kind that is '
                'not repeatable starts at most once',
            )
        return self


class _Stop(Schema):
    drain_s: Annotated[float, Field(ge=0, le=MAX_DURATION_S)] = 30.0
    remainder: Literal['cancel', 'finish'] = 'finish'


class _Document(Schema):
    service: Name
    version: Annotated[int, Field(ge=1, le=MAX_VERSION)]
    team: Name
    upstreams: _Upstreams = _Upstreams()
    limits: _Limits = _Limits()
    requests: Annotated[
        dict[Name, _Request],
        Field(min_length=1, max_length=MAX_REQUEST_KINDS),
    ]
    stop: _Stop = _Stop()
    state: Literal['serving', 'draining', 'stopped'] = 'serving'


def parse_document(
    body: bytes,
    service: str | None = None,
) -> ServiceDocument:
    """Parses and validates a service document.

    Examples:
        >>> text = b'{"service": "sample", "version": 1, "team": "a",'
        >>> text += b'"requests": {"echo": {"repeatable": true}}}'
        >>> parse_document(text).request_kind('echo').repeatable
        True

    Args:
        body: The document's JSON text.
        service: Service that the document must name, such as that of the
            URL it was submitted to; None for any.

    Returns:
        The document, with the digest of its content.

    Raises:
        DocumentError: The text is not a valid document; the exception has
            all findings.
    """
    loaded = load_json(body)
    parsed, findings = validate(_Document, loaded)
    findings.extend(_check_service(loaded.content, service))
    if parsed is None or findings:
        raise DocumentError('document', findings)
    return _to_model(parsed, _digest(loaded.content))


def document_json(document: ServiceDocument) -> dict[str, Any]:
    """Returns the JSON form of a document, with all defaults filled in.

    Args:
        document: The document.

    Returns:
        A dict for `json.dumps`, whose text `parse_document` accepts.
    """
    return {
        'service': document.service,
        'version': document.version,
        'team': document.team,
        'upstreams': _selector_json(document.upstreams),
        'limits': _limits_json(document.limits),
        'requests': {kind.name: _kind_json(kind) for kind in document.requests},
        'stop': {
            'drain_s': document.stop.drain_s,
            'remainder': document.stop.remainder.value,
        },
        'state': document.state.value,
    }


def _check_service(content: Any, service: str | None) -> list[Finding]:
    """Returns a finding if a document names another service than expected."""
    if service is None or not isinstance(content, dict):
        return []
    named = content.get('service')
    if named == service or not isinstance(named, str):
        return []
    finding = f'names {named!r:.80}, but was submitted for {service!r:.80}'
    return [Finding('service', finding)]


def _digest(content: Any) -> bytes:
    """Returns a digest that ignores white space and the order of keys."""
    canonical = json.dumps(content, sort_keys=True, separators=(',', ':'))
    digest = hashlib.blake2b(
        canonical.encode('ascii'),
        digest_size=DIGEST_SIZE_BYTES,
    )
    return digest.digest()


def _to_model(parsed: _Document, digest: bytes) -> ServiceDocument:
    """Converts a validated model to the immutable service document."""
    labels = sorted(parsed.upstreams.labels.items())
    return ServiceDocument(
        service=parsed.service,
        version=parsed.version,
        team=parsed.team,
        upstreams=Selector(
            names=tuple(parsed.upstreams.names),
            labels=tuple(Label(name, text) for name, text in labels),
        ),
        limits=Limits(**parsed.limits.model_dump()),
        requests=tuple(
            RequestKind(name=name, **kind.model_dump())
            for name, kind in parsed.requests.items()
        ),
        stop=StopPolicy(
            drain_s=parsed.stop.drain_s,
            remainder=StopRemainder(parsed.stop.remainder),
        ),
        state=ServiceState(parsed.state),
        digest=digest,
    )


def _selector_json(selector: Selector) -> dict[str, Any]:
    return {
        'names': list(selector.names),
        'labels': {label.name: label.value for label in selector.labels},
    }


def _limits_json(limits: Limits) -> dict[str, Any]:
    return {
        'concurrent_tasks': limits.concurrent_tasks,
        'starts_per_s': limits.starts_per_s,
        'queue_tasks': limits.queue_tasks,
        'caller_share': limits.caller_share,
        'job_tasks': limits.job_tasks,
    }


def _kind_json(kind: RequestKind) -> dict[str, Any]:
    return {
        'repeatable': kind.repeatable,
        'timeout_s': kind.timeout_s,
        'max_starts': kind.max_starts,
    }
