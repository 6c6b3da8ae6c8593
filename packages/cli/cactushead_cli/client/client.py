"""The callers' and operators' HTTP interface as typed calls."""

import json
import math
from collections.abc import Sequence
from dataclasses import dataclass
from urllib.parse import quote, urlencode

from cactushead_core.errors import Finding
from cactushead_core.jobs import RefusalReason

from .errors import (
    EntryError,
    InvalidResponseError,
    NoEntryAnswersError,
    RefusedError,
)
from .fields import Fields, JsonValue
from .responses import DocumentView, JobView, read_document, read_job
from .transport import HttpRequest, HttpResponse, Transport

DEFAULT_TIMEOUT_S = 10.0
ANSWER_MARGIN_S = 5.0
HTTP_ERROR = 400
HTTP_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class TaskInput:
    """One task of a submission.

    Attributes:
        content: The input, which only the upstream reads.
        cores: Declared processor cores, None to declare nothing.
        memory_mb: Declared memory, None to declare nothing.
    """

    content: 'JsonValue'
    cores: float | None = None
    memory_mb: float | None = None


@dataclass(frozen=True, slots=True)
class Submission:
    """A job to submit.

    Attributes:
        service: Name of the service.
        key: Idempotency key.
        kind: Request kind.
        caller: Who asks.
        deadline_s: Time from submission to the whole answer.
        tasks: The tasks, in the order of the answer.
        wait: Whether to wait for the whole answer.
    """

    service: str
    key: str
    kind: str
    caller: str
    deadline_s: float
    tasks: tuple[TaskInput, ...]
    wait: bool = True


@dataclass(frozen=True, slots=True)
class TimelineQuery:
    """Filters of the time line; the defaults filter nothing.

    Attributes:
        job: Idempotency key of a job.
        service: Name of a service.
        since_s: Earliest wall clock time.
        until_s: Latest wall clock time.
    """

    job: str = ''
    service: str = ''
    since_s: float = -math.inf
    until_s: float = math.inf


class Client:
    """Calls to the entries, which are tried in turn.

    Explanation:
        Each call of the interface is idempotent: a submission by its key, a
        document by its version and content. So the next entry is tried both
        when a connection fails before the request is sent and when it breaks
        afterwards, and when an entry says that it can't serve now and that
        nothing was run.
    """

    def __init__(
        self,
        transport: Transport,
        entries: Sequence[str],
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Makes a client.

        Args:
            transport: Carries the requests.
            entries: Addresses of the entries, in the order of the tries.
            timeout_s: Longest wait for an answer that needs no work.
        """
        self._transport = transport
        self._entries = tuple(entries)
        self._timeout_s = timeout_s

    async def submit(self, submission: Submission) -> JobView:
        """Submits a job.

        Args:
            submission: The job.

        Returns:
            The final state, or the present one if `wait` is off.

        Raises:
            RefusedError: If the entry refuses the job.
            NoEntryAnswersError: If no entry answers.
        """
        reply = await self._call(submission_call(submission))
        fields = _decode(reply)
        return read_job(submission.service, submission.key, fields)

    async def job(self, service: str, key: str) -> JobView:
        """Returns the present state of a job."""
        fields = _decode(await self._call(self._plain('GET', service, key)))
        return read_job(service, key, fields)

    async def cancel(self, service: str, key: str) -> JobView:
        """Cancels a job and returns its state."""
        fields = _decode(await self._call(self._plain('DELETE', service, key)))
        return read_job(service, key, fields)

    async def submit_document(self, service: str, body: bytes) -> DocumentView:
        """Submits a service's document.

        Args:
            service: Name of the service.
            body: The document as JSON text.
        """
        call = HttpRequest(
            'PUT',
            f'/v1/documents/{quote(service, safe="")}',
            body,
            timeout_s=self._timeout_s,
        )
        return read_document(service, _decode(await self._call(call)))

    async def documents(self, service: str = '') -> 'JsonValue':
        """Returns one document in force, or all for an empty name."""
        path = '/v1/documents'
        if service:
            path = f'{path}/{quote(service, safe="")}'
        reply = await self._get(path)
        return _decode_any(reply)

    async def timeline(self, query: TimelineQuery) -> 'tuple[Fields, ...]':
        """Returns the events of all processes that pass the filters."""
        filters = {
            name: text
            for name, text in (
                ('job', query.job),
                ('service', query.service),
                ('since_s', _finite_text(query.since_s)),
                ('until_s', _finite_text(query.until_s)),
            )
            if text
        }
        path = '/v1/timeline'
        if filters:
            path = f'{path}?{urlencode(filters)}'
        reply = await self._get(path)
        try:
            return tuple(
                Fields.decode(line)
                for line in reply.body.splitlines()
                if line.strip()
            )
        except ValueError as error:
            raise InvalidResponseError(reply.status, str(error)) from error

    async def metrics(self) -> Fields:
        """Returns the metrics of the entry that answers."""
        return _decode(await self._get('/v1/metrics'))

    async def _get(self, path: str) -> HttpResponse:
        return await self._call(
            HttpRequest('GET', path, timeout_s=self._timeout_s),
        )

    def _plain(self, method: str, service: str, key: str) -> HttpRequest:
        return HttpRequest(
            method,
            job_path(service, key),
            timeout_s=self._timeout_s,
        )

    async def _call(self, call: HttpRequest) -> HttpResponse:
        failures: list[EntryError] = []
        refusal: RefusedError | None = None
        for entry in self._entries:
            try:
                return _check(await self._transport.send(entry, call))
            except EntryError as error:
                failures.append(error)
            except RefusedError as error:
                refusal = error
            if refusal and not _may_ask_next(refusal):
                raise refusal
        if refusal:
            raise _weigh(refusal, failures)
        raise NoEntryAnswersError(failures)


def job_path(service: str, key: str) -> str:
    """Returns the path of a job.

    Examples:
        >>> job_path('sample', 'a/b')
        '/v1/services/sample/jobs/a%2Fb'
    """
    quoted_key = quote(key, safe='')
    return f'/v1/services/{quote(service, safe="")}/jobs/{quoted_key}'


def submission_call(submission: Submission) -> HttpRequest:
    """Returns the request that submits a job."""
    tasks = [_task_body(task) for task in submission.tasks]
    body = {
        'caller': submission.caller,
        'kind': submission.kind,
        'deadline_s': submission.deadline_s,
        'tasks': tasks,
    }
    headers = [('Idempotency-Key', submission.key)]
    if not submission.wait:
        headers.append(('Prefer', 'respond-async'))
    return HttpRequest(
        'POST',
        f'/v1/services/{quote(submission.service, safe="")}/jobs',
        json.dumps(body).encode(),
        tuple(headers),
        submission.deadline_s + ANSWER_MARGIN_S,
    )


def _task_body(task: TaskInput) -> 'dict[str, JsonValue]':
    body: dict[str, JsonValue] = {'input': task.content}
    if task.cores is not None:
        body['cores'] = task.cores
    if task.memory_mb is not None:
        body['memory_mb'] = task.memory_mb
    return body


def _may_ask_next(refusal: RefusedError) -> bool:
    """Whether it is the entry that can't serve, and not the service."""
    unavailable = refusal.status == HTTP_UNAVAILABLE and refusal.not_run
    return unavailable and refusal.reason != RefusalReason.NOT_SERVING


def _weigh(
    refusal: RefusedError,
    failures: Sequence[EntryError],
) -> RefusedError:
    """Takes back `not_run` if another entry may have the request."""
    if any(failure.may_have_arrived for failure in failures):
        return RefusedError(
            refusal.status,
            refusal.reason,
            not_run=False,
            findings=refusal.findings,
            retry_after_s=refusal.retry_after_s,
        )
    return refusal


def _check(reply: HttpResponse) -> HttpResponse:
    if reply.status < HTTP_ERROR:
        return reply
    try:
        fields = Fields.decode(reply.body)
    except ValueError:
        fields = Fields({'error': reply.body.decode(errors='replace')})
    raise RefusedError(
        reply.status,
        fields.text('error', 'no reason given'),
        fields.flag('not_run'),
        [
            Finding(found.text('place'), found.text('finding'))
            for found in fields.children('findings')
        ],
        reply.retry_after_s,
    )


def _decode(reply: HttpResponse) -> Fields:
    try:
        return Fields.decode(reply.body)
    except ValueError as error:
        raise InvalidResponseError(reply.status, str(error)) from error


def _decode_any(reply: HttpResponse) -> 'JsonValue':
    try:
        return json.loads(reply.body)
    except ValueError as error:
        raise InvalidResponseError(reply.status, str(error)) from error


def _finite_text(number: float) -> str:
    return str(number) if math.isfinite(number) else ''
