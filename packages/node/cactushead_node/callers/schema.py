"""Validation of requests: job bodies, idempotency keys and queries."""

import math
from dataclasses import replace
from typing import Annotated, Any
from urllib.parse import parse_qsl

import pydantic_core
from cactushead_core.errors import Finding, RequestError
from cactushead_core.jobs import (
    JobId,
    JobRequest,
    TaskSpec,
    digest_request,
)
from cactushead_core.validation import item_place, load_json
from cactushead_core.validation.schema_base import Schema, validate
from pydantic import Field

MAX_DEADLINE_S = 3600
MAX_TASKS = 1000
MAX_CORES = 100_000
MAX_MEMORY_MB = 1e9
MAX_KEY_LENGTH = 200
KEY_HEADER = 'Idempotency-Key'
TIMELINE_FILTERS = frozenset(('job', 'service', 'since_s', 'until_s', 'scope'))
TIMELINE_SCOPES = frozenset(('cell', 'process'))

# Control characters would corrupt log lines.
_TEXT_PATTERN = r'^[^\x00-\x1f\x7f]+$'
_Text = Annotated[str, Field(pattern=_TEXT_PATTERN, max_length=200)]


class _Task(Schema):
    input: Any
    cores: Annotated[float, Field(ge=0, le=MAX_CORES)] = 0.0
    memory_mb: Annotated[float, Field(ge=0, le=MAX_MEMORY_MB)] = 0.0


class _Job(Schema):
    caller: _Text
    kind: _Text
    deadline_s: Annotated[float, Field(gt=0, le=MAX_DEADLINE_S)]
    tasks: Annotated[
        list[_Task],
        Field(min_length=1, max_length=MAX_TASKS),
    ]


def parse_job(body: bytes, job: JobId) -> JobRequest:
    """Returns the validated job of a request body.

    Examples:
        >>> body = b'{"caller": "c", "kind": "echo", "deadline_s": 5,'
        >>> body += b'"tasks": [{"input": {"row": 7}}]}'
        >>> parse_job(body, JobId('sample', 'k1')).tasks[0].input_json
        b'{"row":7}'

    Args:
        body: The request's body.
        job: Identity of the job.

    Returns:
        The job request, with the digest of its content.

    Raises:
        RequestError: The body is not a valid job; contains all findings.
    """
    parsed, findings = validate(_Job, load_json(body))
    if parsed is None or findings:
        raise RequestError('job', findings)
    request = JobRequest(
        job=job,
        caller=parsed.caller,
        kind=parsed.kind,
        deadline_s=parsed.deadline_s,
        tasks=tuple(
            _task_spec(task, index) for index, task in enumerate(parsed.tasks)
        ),
    )
    return replace(request, digest=digest_request(request))


def check_idempotency_key(keys: list[str]) -> str:
    """Returns the validated idempotency key of a request.

    Examples:
        >>> check_idempotency_key(['a key'])
        Traceback (most recent call last):
          ...
        cactushead_core.errors.RequestError: request: Idempotency-Key: must \
be 1 to 200 printable ASCII characters without space and /, got 'a key'

    Args:
        keys: Values of all `Idempotency-Key` headers.

    Raises:
        RequestError: The number of keys is not one, or the key is invalid.
    """
    finding = f'must be given once, got {len(keys)}'
    if len(keys) == 1:
        if is_idempotency_key(keys[0]):
            return keys[0]
        rule = f'must be 1 to {MAX_KEY_LENGTH} printable ASCII characters'
        finding = f'{rule} without space and /, got {keys[0]!r:.80}'
    raise RequestError('request', [Finding(KEY_HEADER, finding)])


def is_idempotency_key(text: str) -> bool:
    """Whether a text is a valid idempotency key.

    Explanation:
        A key is a segment of URL paths. `.` and `..` are invalid because
        they are relative path segments.
    """
    if not 0 < len(text) <= MAX_KEY_LENGTH or text in {'.', '..'}:
        return False
    printable = text.isascii() and text.isprintable()
    return printable and not set(text) & {' ', '/'}


def parse_timeline_query(query: str) -> dict[str, str]:
    """Returns the validated filters of a time line query.

    Examples:
        >>> parse_timeline_query('job=k%201&since_s=2.5')
        {'job': 'k 1', 'since_s': '2.5'}

    Args:
        query: Query component of the URL.

    Raises:
        RequestError: A filter is unknown, repeated or invalid.
    """
    filters: dict[str, str] = {}
    findings: list[Finding] = []
    for name, text in parse_qsl(query, keep_blank_values=True):
        finding = _check_filter(name, text, filters)
        if finding:
            findings.append(Finding(f'query.{name:.80}', finding))
        filters[name] = text
    if findings:
        raise RequestError('request', findings)
    return filters


def _task_spec(task: _Task, index: int) -> TaskSpec:
    """Returns the specification of a task, with its input encoded as JSON."""
    try:
        input_json = pydantic_core.to_json(task.input)
    except pydantic_core.PydanticSerializationError:
        # Nested deeper than 255 levels, or a text with an unpaired surrogate.
        place = f'{item_place("tasks", index)}.input'
        finding = Finding(place, 'nested too deeply or not valid Unicode')
        raise RequestError('job', [finding]) from None
    return TaskSpec(input_json, task.cores, task.memory_mb)


def _check_filter(name: str, text: str, earlier: dict[str, str]) -> str:
    """Returns the finding about a filter, empty if the filter is valid."""
    if name not in TIMELINE_FILTERS:
        return 'unknown filter'
    if name in earlier:
        return 'given twice'
    if name == 'scope' and text not in TIMELINE_SCOPES:
        return f'must be cell or process, got {text!r:.80}'
    if name.endswith('_s') and not _is_finite(text):
        return f'must be a finite number, got {text!r:.80}'
    return ''


def _is_finite(text: str) -> bool:
    try:
        return math.isfinite(float(text))
    except ValueError:
        return False
