"""An ASGI client and fakes of the ports, for tests."""

import json
from dataclasses import dataclass

import trio
from cactushead_core.effects import AnswerResponse, Response
from cactushead_core.jobs import JobAnswer, JobId, JobState

from cactushead_node.callers import RequestPort, StatusPort, make_app

JOB = JobId('sample', 'k1')
ANSWER = AnswerResponse(JobAnswer(JOB, JobState.COMPLETE, (b'1', b'2.50')))


class FakeRequests(RequestPort):
    def __init__(self, response: Response | Exception = ANSWER) -> None:
        self.response = response
        self.events = []
        self.cancelled = 0

    async def request(self, make_event):
        self.events.append(make_event(1.0, 7))
        if self.response is None:
            try:
                await trio.sleep_forever()
            finally:
                self.cancelled += 1
        if isinstance(self.response, Exception):
            raise self.response
        return self.response


class FakeStatus(StatusPort):
    stopping = False

    def ready(self):
        return True

    def draining(self):
        return self.stopping

    async def timeline_json(self, query):
        return json.dumps(query).encode() + b'\n'

    def metrics_json(self):
        return b'{}'

    def metrics_text(self):
        return b'up 1\n'


@dataclass(frozen=True)
class HttpReply:
    status: int
    headers: dict
    body: bytes

    @property
    def content(self):
        return json.loads(self.body)

    @property
    def places(self):
        return [found['place'] for found in self.content['findings']]


async def exchange(
    app, method, path, headers=(), chunks=(b'',), stay_connected=True
):
    """Runs one exchange; returns None if the app sent no reply."""
    raw_path, _, query = path.partition('?')
    scope = {
        'type': 'http',
        'method': method,
        'path': raw_path,
        'raw_path': raw_path.encode(),
        'query_string': query.encode(),
        'headers': [(k.lower().encode(), v.encode()) for k, v in headers],
    }
    pending = [
        {'type': 'http.request', 'body': chunk, 'more_body': True}
        for chunk in chunks
    ]
    pending.append({'type': 'http.request', 'body': b'', 'more_body': False})
    sent = []

    async def receive():
        if pending:
            return pending.pop(0)
        if stay_connected:
            await trio.sleep_forever()
        return {'type': 'http.disconnect'}

    async def send(message):
        sent.append(message)

    await app(scope, receive, send)
    if not sent:
        return None
    names = {k.decode(): v.decode() for k, v in sent[0]['headers']}
    return HttpReply(sent[0]['status'], names, sent[1]['body'])


def call(requests, method, path, body=b'', headers=None, **options):
    """Runs one exchange with a new application."""
    headers = headers if headers is not None else {'Idempotency-Key': 'k1'}
    app = make_app(requests, FakeStatus())

    async def run():
        with trio.fail_after(5):
            return await exchange(
                app,
                method,
                path,
                list(headers.items()),
                (body,),
                **options,
            )

    return trio.run(run)
