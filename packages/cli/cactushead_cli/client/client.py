"""Typed methods for the HTTP API of callers and operators."""

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
from .responses import (
    DocumentView,
    JobView,
    parse_document_view,
    parse_job_view,
)
from .transport import HttpRequest, HttpResponse, Transport

DEFAULT_TIMEOUT_S = 10.0
# Time that is added to a job's deadline for its response to arrive.
RESPONSE_MARGIN_S = 5.0
HTTP_MIN_ERROR_STATUS = 400
HTTP_SERVICE_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class TaskInput:
    """One task of a submission.

    Attributes:
        content: The input as a JSON value, passed to the upstream unchanged.
        cores: Declared processor cores, None if undeclared.
        memory_mb: Declared memory, None if undeclared.
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
        kind: Request kind, as defined by the service's document.
        caller: Name of the caller.
        deadline_s: Time from the submission to the complete result.
        tasks: The tasks; results come in the same order.
        wait: Whether the response is sent only once the job has ended.
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
    """Filters of the time line; the defaults match all events.

    Attributes:
        job: Idempotency key of a job, empty for all jobs.
        service: Name of a service, empty for all services.
        since_s: Earliest wall clock time, Unix seconds.
        until_s: Latest wall clock time, Unix seconds.
    """

    job: str = ''
    service: str = ''
    since_s: float = -math.inf
    until_s: float = math.inf


class Client:
    """Client of the HTTP API that fails over from entry to entry.

    Explanation:
        Every request of the API is idempotent: a submission by its key, a
        document by its version and content. Therefore the next entry is tried
        when no connection is available, when the connection fails after
        sending has started, and when an entry responds that it is unavailable
        and that no task was run.
    """

    def __init__(
        self,
        transport: Transport,
        entries: Sequence[str],
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Creates a client of the given entries.

        Args:
            transport: Sends the requests.
            entries: Addresses of the entries, in the order of the attempts.
            timeout_s: Time-out of all requests that don't wait for a job.
        """
        self._transport = transport
        self._entries = tuple(entries)
        self._timeout_s = timeout_s

    async def submit(self, submission: Submission) -> JobView:
        """Submits a job.

        Args:
            submission: The job.

        Returns:
            The final state, or the current one if `wait` is False.

        Raises:
            RefusedError: If an entry returns an error response.
            NoEntryAnswersError: If no entry returns a response.
            InvalidResponseError: If the response body is malformed.
        """
        response = await self._send(make_submission_request(submission))
        fields = _decode_object(response)
        return parse_job_view(submission.service, submission.key, fields)

    async def job(self, service: str, key: str) -> JobView:
        """Returns the current state of a job."""
        fields = _decode_object(
            await self._send(self._job_request('GET', service, key))
        )
        return parse_job_view(service, key, fields)

    async def cancel(self, service: str, key: str) -> JobView:
        """Cancels a job and returns its state after the request."""
        fields = _decode_object(
            await self._send(self._job_request('DELETE', service, key))
        )
        return parse_job_view(service, key, fields)

    async def submit_document(self, service: str, body: bytes) -> DocumentView:
        """Submits a service's document.

        Args:
            service: Name of the service.
            body: The document as JSON text.
        """
        request = HttpRequest(
            'PUT',
            f'/v1/documents/{quote(service, safe="")}',
            body,
            timeout_s=self._timeout_s,
        )
        return parse_document_view(
            service, _decode_object(await self._send(request))
        )

    async def documents(self, service: str = '') -> 'JsonValue':
        """Returns a service's document in force, or all for an empty name."""
        path = '/v1/documents'
        if service:
            path = f'{path}/{quote(service, safe="")}'
        response = await self._get(path)
        return _decode_json(response)

    async def timeline(self, query: TimelineQuery) -> 'tuple[Fields, ...]':
        """Returns the events of all processes that match the filters."""
        filters = {
            name: text
            for name, text in (
                ('job', query.job),
                ('service', query.service),
                ('since_s', _format_finite(query.since_s)),
                ('until_s', _format_finite(query.until_s)),
            )
            if text
        }
        path = '/v1/timeline'
        if filters:
            path = f'{path}?{urlencode(filters)}'
        response = await self._get(path)
        try:
            return tuple(
                Fields.decode(line)
                for line in response.body.splitlines()
                if line.strip()
            )
        except ValueError as error:
            raise InvalidResponseError(response.status, str(error)) from error

    async def metrics(self) -> Fields:
        """Returns the metrics of the first entry that responds."""
        return _decode_object(await self._get('/v1/metrics'))

    async def _get(self, path: str) -> HttpResponse:
        return await self._send(
            HttpRequest('GET', path, timeout_s=self._timeout_s),
        )

    def _job_request(self, method: str, service: str, key: str) -> HttpRequest:
        return HttpRequest(
            method,
            job_path(service, key),
            timeout_s=self._timeout_s,
        )

    async def _send(self, request: HttpRequest) -> HttpResponse:
        """Sends a request to the entries in order until one responds.

        Raises:
            RefusedError: If an entry returns an error response, unless
                another entry can be tried and succeeds.
            NoEntryAnswersError: If no entry returns a response.
        """
        failures: list[EntryError] = []
        refusal: RefusedError | None = None
        for entry in self._entries:
            try:
                return _raise_for_status(
                    await self._transport.send(entry, request)
                )
            except EntryError as error:
                failures.append(error)
            except RefusedError as error:
                refusal = error
            if refusal and not _is_entry_unavailable(refusal):
                raise refusal
        if refusal:
            raise _correct_not_run(refusal, failures)
        raise NoEntryAnswersError(failures)


def job_path(service: str, key: str) -> str:
    """Returns the URL path of a job.

    Examples:
        >>> job_path('sample', 'a/b')
        '/v1/services/sample/jobs/a%2Fb'
    """
    quoted_key = quote(key, safe='')
    return f'/v1/services/{quote(service, safe="")}/jobs/{quoted_key}'


def make_submission_request(submission: Submission) -> HttpRequest:
    """Makes the HTTP request that submits a job."""
    tasks = [_encode_task(task) for task in submission.tasks]
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
        submission.deadline_s + RESPONSE_MARGIN_S,
    )


def _encode_task(task: TaskInput) -> 'dict[str, JsonValue]':
    body: dict[str, JsonValue] = {'input': task.content}
    if task.cores is not None:
        body['cores'] = task.cores
    if task.memory_mb is not None:
        body['memory_mb'] = task.memory_mb
    return body


def _is_entry_unavailable(refusal: RefusedError) -> bool:
    """Whether the entry is unavailable, so that another may be tried.

    It is False if the service is not serving, whichever entry is tried.
    """
    unavailable = refusal.status == HTTP_SERVICE_UNAVAILABLE and refusal.not_run
    return unavailable and refusal.reason != RefusalReason.NOT_SERVING


def _correct_not_run(
    refusal: RefusedError,
    failures: Sequence[EntryError],
) -> RefusedError:
    """Clears `not_run` if another entry may have received the request."""
    if any(failure.may_have_arrived for failure in failures):
        return RefusedError(
            refusal.status,
            refusal.reason,
            not_run=False,
            findings=refusal.findings,
            retry_after_s=refusal.retry_after_s,
        )
    return refusal


def _raise_for_status(response: HttpResponse) -> HttpResponse:
    """Returns the response, or raises RefusedError for an error status."""
    if response.status < HTTP_MIN_ERROR_STATUS:
        return response
    try:
        fields = Fields.decode(response.body)
    except ValueError:
        fields = Fields({'error': response.body.decode(errors='replace')})
    raise RefusedError(
        response.status,
        fields.text('error', 'no reason given'),
        fields.flag('not_run'),
        [
            Finding(found.text('place'), found.text('finding'))
            for found in fields.children('findings')
        ],
        response.retry_after_s,
    )


def _decode_object(response: HttpResponse) -> Fields:
    try:
        return Fields.decode(response.body)
    except ValueError as error:
        raise InvalidResponseError(response.status, str(error)) from error


def _decode_json(response: HttpResponse) -> 'JsonValue':
    try:
        return json.loads(response.body)
    except ValueError as error:
        raise InvalidResponseError(response.status, str(error)) from error


def _format_finite(number: float) -> str:
    """Formats a number; an infinite one gives an empty text."""
    return str(number) if math.isfinite(number) else ''
