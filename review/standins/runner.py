"""A stand-in for a runner, as the users' pages describe it.

It serves run-start, run-stop and hold over HTTP, keeps leases on its own
steady clock and sends heartbeats to the control address of its machine.
The `spec` of a task is JSON; its field `ms` is how long the task works.
"""

import contextlib
import http.client
import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HEARTBEAT_S = 1.5
# Pause before a heartbeat without an acknowledgement is sent again.
RETRY_S = 0.3
MAX_HOLD_MS = 1000
MAX_WAIT_MS = 2000
# A stop takes at most 50 ms (`stop-ms`).
STOP_S = 0.04


class Run:
    """One run of a task at a runner."""

    def __init__(self, task, number, work_ms, now_s):
        self.task = task
        self.number = number
        self.work_s = work_ms / 1000
        self.start_s = now_s
        self.end_s = None
        self.stop_s = None
        self.how = ''

    def percent(self, now_s):
        if not self.work_s:
            return 0
        return min(int(100 * (now_s - self.start_s) / self.work_s), 99)


class Server(ThreadingHTTPServer):
    """HTTP server with a usual backlog."""

    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, request, client_address):
        """Ignores connections that the caller broke off."""


class Runner:
    """One life of a runner."""

    def __init__(self, name, host, port, control, record, **options):
        """Starts to serve and to send heartbeats.

        Args:
            name: Id of the runner.
            host: Its address.
            port: Port for calls; 0 for any free one.
            control: Host and port of its agent's control address.
            record: Called with each line for the record.
            options: `cpu`, `mem_mb`, `service`, `labels`, and `announced`,
                the port that the heartbeats name, for a proxy in between.
        """
        self.name = name
        self.host = host
        self.control = control
        self.service = options.get('service', 'work')
        self.cpu = options.get('cpu', 8000)
        self.mem_mb = options.get('mem_mb', 16000)
        self.labels = options.get('labels', ['a', 'r1'])
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.all_runs = []
        self.acknowledged = {}
        self._record = record
        self._clock_start_s = time.monotonic()
        self._changed = threading.Condition()
        self._running = {}
        self._ended = []
        self._numbers = 0
        self._highest = {}
        self._token = 0
        self._deadline_ms = 0
        self._sequence = 0
        self._connections = set()
        self._stopped = threading.Event()
        self._server = Server((host, port), self._handler())
        self.port = self._server.server_address[1]
        self.announced = options.get('announced') or self.port
        for target in (self._server.serve_forever, self._beat, self._work):
            threading.Thread(target=target, daemon=True).start()

    def close(self):
        """Ends the runner as a crash does: nothing runs any more."""
        with self._changed:
            self._stopped.set()
            for run in list(self._running.values()):
                self._end(run, 'crashed')
        self._server.shutdown()
        self._server.server_close()
        for connection in list(self._connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    @property
    def stopped(self):
        """Whether the runner has ended."""
        return self._stopped.is_set()

    def clock_ms(self):
        return int((time.monotonic() - self._clock_start_s) * 1000)

    # Calls.

    def _start(self, body):
        now_s = time.monotonic()
        with self._changed:
            task, number = body['task'], body['run']
            if not self._accept_token(body):
                return self._refuse('fence')
            if self._stopped.is_set():
                return 503, {}
            known = self._running.get(task)
            if known is not None and known.number == number:
                return 200, {'clock-ms': self.clock_ms()}
            deadline_ms = body['deadline-ms']
            if deadline_ms <= self.clock_ms():
                return self._refuse('late')
            self._extend(deadline_ms)
            if known is not None or number <= self._highest.get(task, 0):
                return self._refuse('old')
            work_ms = json.loads(body['spec']).get('ms', 0)
            run = Run(task, number, work_ms, now_s)
            self._running[task] = run
            self.all_runs.append(run)
            self._note(f'{self.name} starts {task} run {number}')
            self._changed.notify_all()
        return 200, {'clock-ms': self.clock_ms()}

    def _stop(self, body):
        with self._changed:
            task, number = body['task'], body['run']
            if not self._accept_token(body):
                return self._refuse('fence')
            self._highest[task] = max(self._highest.get(task, 0), number)
            run = self._running.get(task)
            if run is not None and run.number <= number and not run.stop_s:
                run.stop_s = time.monotonic() + STOP_S
        return 200, {'clock-ms': self.clock_ms()}

    def _hold(self, body):
        wait_s = min(body.get('wait-ms', 0), MAX_WAIT_MS) / 1000
        until_s = time.monotonic() + wait_s
        with self._changed:
            if not self._accept_token(body):
                return self._refuse('fence')
            cursor = body['ack-cursor']
            for row in self._ended:
                if row[0] <= cursor:
                    self.acknowledged.setdefault(
                        (row[1], row[2]), time.monotonic()
                    )
            self._ended = [row for row in self._ended if row[0] > cursor]
            if 'deadline-ms' in body:
                self._extend(body['deadline-ms'])
            while not self._ended and time.monotonic() < until_s:
                self._changed.wait(until_s - time.monotonic())
            now_s = time.monotonic()
            running = [
                [run.task, run.number, '', run.percent(now_s)]
                for run in self._running.values()
            ]
            return 200, {
                'clock-ms': self.clock_ms(),
                'born': self.born,
                'running': running,
                'finished': [list(row) for row in self._ended[:500]],
            }

    def _accept_token(self, body):
        token = body.get('fence-token', 0)
        if token < self._token:
            return False
        self._token = token
        return True

    def _refuse(self, reason):
        return 409, {'clock-ms': self.clock_ms(), 'reason': reason}

    def _extend(self, deadline_ms):
        longest_ms = self.clock_ms() + MAX_HOLD_MS
        self._deadline_ms = max(
            self._deadline_ms, min(deadline_ms, longest_ms)
        )

    def _end(self, run, how):
        self._running.pop(run.task)
        run.end_s = time.monotonic()
        run.how = how
        self._highest[run.task] = max(
            self._highest.get(run.task, 0), run.number
        )
        self._numbers += 1
        self._ended.append((self._numbers, run.task, run.number, how, ''))
        self._note(f'{self.name} ends {run.task} run {run.number}: {how}')
        self._changed.notify_all()

    def _note(self, text):
        self._record(text)

    # Threads.

    def _work(self):
        while not self._stopped.wait(0.005):
            now_s = time.monotonic()
            with self._changed:
                lapsed = self.clock_ms() > self._deadline_ms
                for run in list(self._running.values()):
                    if now_s - run.start_s >= run.work_s:
                        self._end(run, 'done')
                    elif run.stop_s and now_s >= run.stop_s:
                        self._end(run, 'stopped')
                    elif lapsed:
                        self._end(run, 'lapsed')

    def _beat(self):
        while not self._stopped.is_set():
            acknowledged = self.beat()
            self._stopped.wait(HEARTBEAT_S if acknowledged else RETRY_S)

    def beat(self):
        """Sends one heartbeat; returns whether it was acknowledged."""
        self._sequence += 1
        body = {
            'service': self.service,
            'address': f'{self.host}:{self.announced}',
            'zone': 'z1',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold-left-ms': 0,
            'capacity': {'cpu': self.cpu, 'mem-mb': self.mem_mb, 'gpu': 0},
            'labels': self.labels,
            'clock-ms': self.clock_ms(),
            'seq-no': self._sequence,
            'born': self.born,
        }
        path = f'/-/instances/{self.name}/heartbeat'
        return 200 <= call(self.control, 'POST', path, body)[0] < 300

    def _handler(self):
        runner = self
        calls = {
            '/-/run-start': self._start,
            '/-/run-stop': self._stop,
            '/-/hold': self._hold,
        }

        class Handler(BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'

            def setup(self):
                super().setup()
                runner._connections.add(self.connection)
                self.connection.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
                )

            def finish(self):
                runner._connections.discard(self.connection)
                super().finish()

            def do_POST(self):
                length = int(self.headers['content-length'])
                body = json.loads(self.rfile.read(length))
                target = self.headers.get('x-target-instance', runner.name)
                if target != runner.name:
                    status, answer = 421, {}
                else:
                    status, answer = calls[self.path](body)
                if runner.stopped:
                    self.close_connection = True
                    return
                content = json.dumps(answer).encode()
                head = (
                    f'HTTP/1.1 {status} x\r\n'
                    'content-type: application/json\r\n'
                    f'content-length: {len(content)}\r\n\r\n'
                )
                try:
                    self.wfile.write(head.encode() + content)
                except OSError:
                    self.close_connection = True

            def log_message(self, *arguments):
                """Suppresses the request log."""

        return Handler


def call(address, method, path, body=None, headers=None, timeout_s=1.0):
    """Sends a request; returns status and body, status 0 without a response.

    Args:
        address: Host and port.
        method: HTTP method.
        path: Path.
        body: JSON content, or bytes.
        headers: Further headers.
        timeout_s: Longest wait for the response.
    """
    content = body
    if body is not None and not isinstance(body, bytes):
        content = json.dumps(body).encode()
    sent = {'Content-Type': 'application/json'} | (headers or {})
    connection = http.client.HTTPConnection(
        address[0], address[1], timeout=timeout_s
    )
    try:
        connection.request(method, path, content, sent)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b''
    finally:
        connection.close()


def find_twice(runners, slack_s):
    """Returns pairs of runs of one task that overlapped on live runners.

    Args:
        runners: The runners.
        slack_s: Overlaps up to this length are ignored.
    """
    now_s = time.monotonic()
    by_task = {}
    for runner in runners:
        for run in runner.all_runs:
            by_task.setdefault(run.task, []).append((runner.name, run))
    found = []
    for runs in by_task.values():
        for index, (first_name, first) in enumerate(runs):
            for second_name, second in runs[index + 1 :]:
                start_s = max(first.start_s, second.start_s)
                end_s = min(first.end_s or now_s, second.end_s or now_s)
                if end_s - start_s > slack_s:
                    found.append(
                        (first_name, first, second_name, second,
                         end_s - start_s)
                    )
    return found
