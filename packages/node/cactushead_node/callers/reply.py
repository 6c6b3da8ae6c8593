"""HTTP replies and their JSON bodies."""

import json
import math
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

from cactushead_core.documents.schema import document_json
from cactushead_core.effects import (
    AcceptedResponse,
    AnswerResponse,
    DocumentResponse,
    DocumentsResponse,
    RefusalResponse,
    Response,
    StatusResponse,
)
from cactushead_core.errors import CactusheadError, Finding
from cactushead_core.jobs import (
    JobAnswer,
    JobId,
    JobState,
    JobStatus,
    Refusal,
    RefusalReason,
)

from ..http import Header, Reply

MAX_FINDINGS = 100
MIN_RETRY_AFTER_S = 1
_STATUS_BY_REASON = {
    RefusalReason.INVALID: HTTPStatus.BAD_REQUEST,
    RefusalReason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    RefusalReason.UNKNOWN_JOB: HTTPStatus.NOT_FOUND,
    RefusalReason.KEY_CONFLICT: HTTPStatus.CONFLICT,
    RefusalReason.VERSION_CONFLICT: HTTPStatus.CONFLICT,
    RefusalReason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalReason.QUOTA: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalReason.QUEUE_FULL: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalReason.NOT_SERVING: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.NO_LEADER: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.DRAINING: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.TOO_OLD: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.NO_ANSWER: HTTPStatus.GATEWAY_TIMEOUT,
}
_RETRYABLE_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE),
)


class UnknownResponseError(CactusheadError):
    """The reducer returned a response that has no HTTP representation."""


def encode_json(content: Any) -> bytes:
    """Returns a value as compact JSON.

    Examples:
        >>> encode_json({'ready': True})
        b'{"ready":true}'
    """
    return json.dumps(content, separators=(',', ':')).encode('ascii')


def json_reply(
    content: Any,
    status: HTTPStatus = HTTPStatus.OK,
    headers: tuple[Header, ...] = (),
) -> Reply:
    """Returns a reply with a JSON body."""
    return Reply(status, encode_json(content), headers)


def error_reply(
    status: HTTPStatus,
    error: str,
    *,
    not_run: bool,
    findings: tuple[Finding, ...] = (),
    headers: tuple[Header, ...] = (),
) -> Reply:
    """Returns an error reply.

    Args:
        status: The status code.
        error: The reason, as a short text.
        not_run: Whether it is certain that no task of the request was started
            or can still be started.
        findings: Validation errors of the request; those over the limit are
            only counted.
        headers: Additional headers.
    """
    shown = [
        {'place': found.place, 'finding': found.finding}
        for found in findings[:MAX_FINDINGS]
    ]
    omitted = len(findings) - len(shown)
    if omitted:
        shown.append({'place': '$', 'finding': f'{omitted} more findings'})
    content = {'error': error, 'not_run': not_run, 'findings': shown}
    return json_reply(content, status, headers)


def refusal_reply(refusal: Refusal) -> Reply:
    """Returns the reply to a rejected request.

    Explanation:
        Overload and unavailability are temporary, so these replies have a
        `retry-after` header.

    Args:
        refusal: Why the request was rejected.
    """
    status = _STATUS_BY_REASON[refusal.reason]
    headers: tuple[Header, ...] = ()
    if status in _RETRYABLE_STATUSES:
        retry_s = max(MIN_RETRY_AFTER_S, math.ceil(refusal.retry_after_s))
        headers = (Header('retry-after', str(retry_s)),)
    return error_reply(
        status,
        refusal.reason.value,
        not_run=refusal.not_run,
        findings=refusal.findings,
        headers=headers,
    )


def job_path(job: JobId) -> str:
    """Returns the URL path of a job.

    Examples:
        >>> job_path(JobId('sample', 'a?b'))
        '/v1/services/sample/jobs/a%3Fb'
    """
    return f'/v1/services/{job.service}/jobs/{quote(job.key, safe="")}'


def response_reply(response: Response) -> Reply:
    """Returns the HTTP reply for a response of the reducer.

    Args:
        response: The response.

    Raises:
        UnknownResponseError: The response has no HTTP representation.
    """
    match response:
        case AnswerResponse(answer):
            return Reply(HTTPStatus.OK, _answer_body(answer))
        case AcceptedResponse(job):
            return _accepted_reply(job)
        case StatusResponse(status):
            return Reply(HTTPStatus.OK, _status_body(status))
        case RefusalResponse(refusal):
            return refusal_reply(refusal)
        case DocumentResponse():
            return _document_reply(response)
        case DocumentsResponse(documents):
            listing = [document_json(document) for document in documents]
            return json_reply({'documents': listing})
    raise UnknownResponseError(f'no HTTP reply for {type(response).__name__}')


def single_document_reply(response: Response) -> Reply:
    """Returns the reply to a query for the document of one service."""
    if not isinstance(response, DocumentsResponse):
        return response_reply(response)
    if not response.documents:
        return refusal_reply(Refusal(RefusalReason.UNKNOWN_SERVICE))
    return json_reply(document_json(response.documents[0]))


def _accepted_reply(job: JobId) -> Reply:
    content = {'job': job.key, 'state': JobState.QUEUED.value}
    location = Header('location', job_path(job))
    return json_reply(content, HTTPStatus.ACCEPTED, (location,))


def _document_reply(response: DocumentResponse) -> Reply:
    return json_reply(
        {
            'service': response.service,
            'version': response.version,
            'in_force': response.in_force,
            'pending': response.pending,
        },
    )


def _answer_body(answer: JobAnswer) -> bytes:
    state = {'job': answer.job.key, 'state': answer.state.value}
    return _encode_with_answer(state, answer)


def _status_body(status: JobStatus) -> bytes:
    state = {
        'job': status.job.key,
        'state': status.state.value,
        'tasks': status.tasks,
        'ended_tasks': status.ended_tasks,
    }
    if status.answer is None:
        return encode_json(state)
    return _encode_with_answer(state, status.answer)


def _encode_with_answer(state: dict[str, Any], answer: JobAnswer) -> bytes:
    """Returns a job's state with its results or its error as JSON."""
    if answer.state is not JobState.COMPLETE:
        ending = {'error': answer.error, 'not_run': answer.not_run}
        return encode_json(state | ending)
    # Results are already JSON. Decoding and encoding them again would take
    # time and could change numbers.
    head = encode_json(state).removesuffix(b'}')
    return b''.join((head, b',"results":[', b','.join(answer.results), b']}'))
