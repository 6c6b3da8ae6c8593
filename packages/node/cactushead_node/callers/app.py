"""The ASGI application that serves callers and operators."""

import logging
from collections.abc import Awaitable, Callable
from functools import partial
from http import HTTPStatus

from cactushead_core.documents.names import is_valid_name
from cactushead_core.documents.schema import parse_document
from cactushead_core.effects import Response
from cactushead_core.errors import Finding, InvalidInputError
from cactushead_core.events import (
    DocumentsQueried,
    DocumentSubmitted,
    JobCancelRequested,
    JobQueried,
    JobSubmitted,
)
from cactushead_core.jobs import JobId, Refusal, RefusalReason

from ..http import (
    BodyBudget,
    BodyError,
    Exchange,
    HttpApp,
)
from .port import RequestEventFactory, RequestPort, StatusPort
from .reply import (
    MIN_RETRY_AFTER_S,
    Header,
    Reply,
    error_reply,
    json_reply,
    refusal_reply,
    response_reply,
    single_document_reply,
)
from .routes import Resource, Route, find_route
from .schema import (
    check_idempotency_key,
    is_idempotency_key,
    parse_job,
    parse_timeline_query,
)

JSON_LINES_TYPE = 'application/x-ndjson'
METRICS_TEXT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

_Handler = Callable[[Exchange, Route], Awaitable[Reply]]


class CallerApp(HttpApp):
    """Routes HTTP requests to handlers that pass them to the reducer."""

    def __init__(
        self,
        requests: RequestPort,
        status: StatusPort,
        budget: BodyBudget,
    ) -> None:
        """Initializes the handlers of all resources.

        Args:
            requests: Passes requests to the reducer.
            status: Provides the process's state, time line and metrics.
            budget: Memory of all request bodies.
        """
        super().__init__(logging.getLogger('cactushead.callers'))
        self._requests = requests
        self._status = status
        self._budget = budget
        self._handlers: dict[Resource, dict[str, _Handler]] = {
            Resource.JOBS: {'POST': self._submit_job},
            Resource.JOB: {'GET': self._query_job, 'DELETE': self._cancel_job},
            Resource.DOCUMENTS: {'GET': self._list_documents},
            Resource.DOCUMENT: {
                'GET': self._get_document,
                'PUT': self._submit_document,
            },
            Resource.TIMELINE: {'GET': self._get_timeline},
            Resource.METRICS: {'GET': self._get_metrics},
            Resource.HEALTH: {'GET': self._get_health},
            Resource.READINESS: {'GET': self._get_readiness},
        }

    async def _handle_exchange(self, exchange: Exchange) -> Reply:
        try:
            return await self._dispatch(exchange)
        except InvalidInputError as error:
            return _refuse(RefusalReason.INVALID, *error.findings)
        except BodyError as error:
            return _body_error_reply(error)

    def _internal_error_reply(self) -> Reply:
        return error_reply(
            HTTPStatus.INTERNAL_SERVER_ERROR,
            'internal error',
            not_run=False,
        )

    async def _dispatch(self, exchange: Exchange) -> Reply:
        """Calls the handler of the request's path and method."""
        route = find_route(exchange.raw_path)
        if route is None:
            return error_reply(
                HTTPStatus.NOT_FOUND,
                'unknown path',
                not_run=True,
            )
        methods = self._handlers[route.resource]
        handler = methods.get(exchange.method)
        if handler is None:
            return error_reply(
                HTTPStatus.METHOD_NOT_ALLOWED,
                f'method {exchange.method:.20} is not allowed',
                not_run=True,
                headers=(Header('allow', ', '.join(methods)),),
            )
        await exchange.read_body(self._budget)
        return await handler(exchange, route)

    async def _submit_job(self, exchange: Exchange, route: Route) -> Reply:
        """Submits a job; waits for its answer unless async is preferred."""
        if not is_valid_name(route.service):
            return _refuse(RefusalReason.UNKNOWN_SERVICE)
        key = check_idempotency_key(exchange.header_values('idempotency-key'))
        request = parse_job(exchange.take_body(), JobId(route.service, key))
        wait = not _prefers_async(exchange.header_values('prefer'))
        return response_reply(
            await self._send_to_reducer(
                exchange,
                partial(JobSubmitted, request=request, wait=wait),
            ),
        )

    async def _query_job(self, exchange: Exchange, route: Route) -> Reply:
        return await self._send_job_event(exchange, route, JobQueried)

    async def _cancel_job(self, exchange: Exchange, route: Route) -> Reply:
        return await self._send_job_event(exchange, route, JobCancelRequested)

    async def _send_job_event(
        self,
        exchange: Exchange,
        route: Route,
        event_type: type[JobQueried | JobCancelRequested],
    ) -> Reply:
        """Sends an event about the job in the path to the reducer."""
        if not is_valid_name(route.service):
            return _refuse(RefusalReason.UNKNOWN_SERVICE)
        if not is_idempotency_key(route.key):
            return _refuse(RefusalReason.UNKNOWN_JOB)
        job = JobId(route.service, route.key)
        return response_reply(
            await self._send_to_reducer(exchange, partial(event_type, job=job)),
        )

    async def _submit_document(self, exchange: Exchange, route: Route) -> Reply:
        document = parse_document(exchange.take_body(), route.service)
        return response_reply(
            await self._send_to_reducer(
                exchange,
                partial(DocumentSubmitted, document=document),
            ),
        )

    async def _get_document(self, exchange: Exchange, route: Route) -> Reply:
        if not is_valid_name(route.service):
            return _refuse(RefusalReason.UNKNOWN_SERVICE)
        make_event = partial(DocumentsQueried, service=route.service)
        return single_document_reply(
            await self._send_to_reducer(exchange, make_event)
        )

    async def _list_documents(self, exchange: Exchange, route: Route) -> Reply:
        make_event = partial(DocumentsQueried, service='')
        return response_reply(await self._send_to_reducer(exchange, make_event))

    async def _get_timeline(self, exchange: Exchange, route: Route) -> Reply:
        filters = parse_timeline_query(exchange.query)
        lines = await exchange.run_until_disconnect(
            partial(self._status.timeline_json, filters),
        )
        return Reply(HTTPStatus.OK, lines, content_type=JSON_LINES_TYPE)

    async def _get_metrics(self, exchange: Exchange, route: Route) -> Reply:
        accepted = ','.join(exchange.header_values('accept'))
        if 'text/plain' in accepted:
            text = self._status.metrics_text()
            return Reply(HTTPStatus.OK, text, content_type=METRICS_TEXT_TYPE)
        return Reply(HTTPStatus.OK, self._status.metrics_json())

    async def _get_health(self, exchange: Exchange, route: Route) -> Reply:
        return json_reply({'healthy': True})

    async def _get_readiness(self, exchange: Exchange, route: Route) -> Reply:
        draining = self._status.draining()
        ready = self._status.ready() and not draining
        return json_reply(
            {'ready': ready, 'draining': draining},
            HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE,
        )

    async def _send_to_reducer(
        self,
        exchange: Exchange,
        make_event: RequestEventFactory,
    ) -> Response:
        """Returns the reducer's response unless the caller disconnects."""
        return await exchange.run_until_disconnect(
            partial(self._requests.request, make_event),
        )


def make_app(
    requests: RequestPort,
    status: StatusPort,
    budget: BodyBudget | None = None,
) -> CallerApp:
    """Returns the application for an ASGI server.

    Args:
        requests: Passes requests to the reducer.
        status: Provides the process's state, time line and metrics.
        budget: Memory of all request bodies; by default that of the settings.
    """
    return CallerApp(requests, status, budget or BodyBudget())


def _refuse(reason: RefusalReason, *findings: Finding) -> Reply:
    return refusal_reply(Refusal(reason, findings=findings))


def _body_error_reply(error: BodyError) -> Reply:
    """Returns the reply to a request whose body could not be received."""
    headers: tuple[Header, ...] = ()
    if error.status is HTTPStatus.SERVICE_UNAVAILABLE:
        headers = (Header('retry-after', str(MIN_RETRY_AFTER_S)),)
    return error_reply(
        error.status,
        error.summary,
        not_run=True,
        findings=(Finding('$', str(error)),),
        headers=headers,
    )


def _prefers_async(header_values: list[str]) -> bool:
    """Whether the `Prefer` headers request a reply without waiting."""
    preferences = ','.join(header_values).lower().split(',')
    return 'respond-async' in {
        preference.partition(';')[0].strip() for preference in preferences
    }
