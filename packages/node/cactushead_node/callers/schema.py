"""Validation of what callers send: job bodies, keys and queries."""

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

LONGEST_DEADLINE_S = 3600
HIGHEST_TASKS = 1000
HIGHEST_CORES = 100_000
HIGHEST_MEMORY_MB = 1e9
LONGEST_KEY = 200
KEY_PLACE = 'Idempotency-Key'
TIMELINE_FILTERS = frozenset(('job', 'service', 'since_s', 'until_s', 'scope'))
TIMELINE_SCOPES = frozenset(('cell', 'process'))

# Control characters would break log lines.
_TEXT_PATTERN = r'^[^\x00-\x1f\x7f]+$'
_Text = Annotated[str, Field(pattern=_TEXT_PATTERN, max_length=200)]


class _Task(Schema):
    input: Any
    cores: Annotated[float, Field(ge=0, le=HIGHEST_CORES)] = 0.0
    memory_mb: Annotated[float, Field(ge=0, le=HIGHEST_MEMORY_MB)] = 0.0


class _Job(Schema):
    caller: _Text
    kind: _Text
    deadline_s: Annotated[float, Field(gt=0, le=LONGEST_DEADLINE_S)]
    tasks: Annotated[
        list[_Task],
        Field(min_length=1, max_length=HIGHEST_TASKS),
    ]


def parse_job(body: bytes, job: JobId) -> JobRequest:
    """Checks and returns a submission.

    Examples:
        >>> body = b'{"caller": "c", "kind": "echo", "deadline_s": 5,'
        >>> body += b'"tasks": [{"input": {"row": 7}}]}'
        >>> parse_job(body, JobId('sample', 'k1')).tasks[0].input_json
        b'{"row":7}'

    Args:
        body: The request's body.
        job: Identity of the submission.

    Returns:
        The submission, with the digest of its content.

    Raises:
        RequestError: The body is no valid job; holds all findings.
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


def check_key(keys: list[str]) -> str:
    """Returns the idempotency key of a request.

    Examples:
        >>> check_key(['a key'])
        Traceback (most recent call last):
          ...
        cactushead_core.errors.RequestError: request: Idempotency-Key: must \
be 1 to 200 printable ASCII characters without space and /, got 'a key'

    Args:
        keys: All values given for it.

    Raises:
        RequestError: There is not exactly one valid key.
    """
    finding = f'must be given once, got {len(keys)}'
    if len(keys) == 1:
        if is_key(keys[0]):
            return keys[0]
        rule = f'must be 1 to {LONGEST_KEY} printable ASCII characters'
        finding = f'{rule} without space and /, got {keys[0]!r:.80}'
    raise RequestError('request', [Finding(KEY_PLACE, finding)])


def is_key(text: str) -> bool:
    """Whether a text can be an idempotency key.

    Explanation:
        A key is a segment of URL paths, where `.` and `..` have another
        meaning.
    """
    if not 0 < len(text) <= LONGEST_KEY or text in {'.', '..'}:
        return False
    printable = text.isascii() and text.isprintable()
    return printable and not set(text) & {' ', '/'}


def parse_timeline_query(query: str) -> dict[str, str]:
    """Returns the checked filters of the time line.

    Examples:
        >>> parse_timeline_query('job=k%201&since_s=2.5')
        {'job': 'k 1', 'since_s': '2.5'}

    Args:
        query: The URL's query.

    Raises:
        RequestError: A filter is unknown, repeated or not valid.
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
    try:
        input_json = pydantic_core.to_json(task.input)
    except pydantic_core.PydanticSerializationError:
        # Nested beyond 255 levels, or a text with half a surrogate pair.
        place = f'{item_place("tasks", index)}.input'
        finding = Finding(place, 'nested too deeply or not valid Unicode')
        raise RequestError('job', [finding]) from None
    return TaskSpec(input_json, task.cores, task.memory_mb)


def _check_filter(name: str, text: str, earlier: dict[str, str]) -> str:
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
