"""A small fleet on loopback addresses, with stand-ins for its platform.

The entries and agents are real processes, started with the commands of the
deploy file. Runners, clients and the operator are stand-ins that follow the
users' pages; only the standard library is needed.
"""

import contextlib
import http.client
import json
import os
import queue
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

# Bounds of a small deployment, as the pages give them.
MAX_HOLD_MS = 1000
STOP_MS = 50
GRACE_S = 6
HEARTBEAT_S = 1.5
RESEND_S = 1.3
CANCEL_S = 3.0
ACK_S = 4.0
CONTACT_S = 3.0
PROXIED_START_S = 3.0
SERVICE = 'huvo11a'
HOST_NAME = 'nony24.example'
PREFIX = '/lohu930/'

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self._file = Path(path).open('w', encoding='utf-8')
        self._lock = threading.Lock()
        self.began_s = time.monotonic()

    def now(self):
        return time.monotonic() - self.began_s

    def add(self, text):
        with self._lock:
            line = f'{self.now():8.3f} {text}'
            self._file.write(line + '\n')
            self._file.flush()
            sys.stdout.write(line + '\n')
            sys.stdout.flush()

    def close(self):
        self._file.close()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, request, client_address):
        """Hides the report of a connection that was closed."""


class Runner:
    """A runner that follows `Running tasks` and `Service discovery`.

    A task runs for the seconds that its `spec` names.
    """

    def __init__(self, record, name, host, port, control_port, cpu=16000):
        self.record = record
        self.name = name
        self.host = host
        self.port = port
        self.state = 'ready'
        self.labels = ['a', 'r1-1']
        self.cpu = cpu
        self.sequence = 0
        self.starts = []
        self.runs = []
        self._control_port = control_port
        self._born_ms = int(time.time() * 1000)
        self._began_s = time.monotonic() - 10.0
        self._running = {}
        self._finished = []
        self._ends = 0
        self._highest_run = {}
        self._fence = 0
        self._deadline_ms = 0
        self._changed = threading.Condition()
        self._closed = threading.Event()
        self._server = _Server((host, port), self._handler())
        for target in (self._server.serve_forever, self._work, self._beat):
            threading.Thread(target=target, daemon=True).start()

    def close(self):
        self._closed.set()
        self._server.shutdown()
        self._server.server_close()

    def running(self):
        """Returns the names of the tasks that run now."""
        with self._changed:
            return sorted(self._running)

    def all_runs(self):
        """Returns task, begin and end of each run, also of those that run."""
        with self._changed:
            now_s = self.record.now()
            open_runs = [
                (task, run['at_s'], now_s)
                for task, run in self._running.items()
            ]
            return self.runs + open_runs

    def beat(self):
        """Sends one heartbeat; returns its status, 0 for no answer."""
        self.sequence += 1
        body = {
            'service': SERVICE,
            'address': f'{self.host}:{self.port}',
            'zone': 'z1',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold-left-ms': 0,
            'capacity': {'cpu': self.cpu, 'mem-mb': 32768, 'gpu': 0},
            'labels': self.labels,
            'clock-ms': self._clock_ms(),
            'seq-no': self.sequence,
            'born': self._born_ms,
        }
        path = f'/-/instances/{self.name}/heartbeat'
        return call(self.host, self._control_port, 'POST', path, body)[0]

    def _clock_ms(self):
        return int((time.monotonic() - self._began_s) * 1000)

    def _beat(self):
        while not self._closed.is_set():
            self.beat()
            self._closed.wait(HEARTBEAT_S)

    def _work(self):
        while not self._closed.wait(0.005):
            with self._changed:
                now_s = time.monotonic()
                lapsed = self._clock_ms() > self._deadline_ms
                for task, run in list(self._running.items()):
                    if now_s >= run['ends_s']:
                        self._end(task, run['how'])
                    elif lapsed:
                        self._end(task, 'lapsed')

    def _end(self, task, how):
        run = self._running.pop(task)
        self._ends += 1
        number = run['run']
        self.runs.append((task, run['at_s'], self.record.now()))
        self._highest_run[task] = max(self._highest_run.get(task, 0), number)
        self._finished.append([self._ends, task, number, how, ''])
        self.record.add(f'{self.name} end {task} run {number} {how}')
        self._changed.notify_all()

    def _extend(self, body):
        wanted_ms = body.get('deadline-ms', 0)
        longest_ms = self._clock_ms() + MAX_HOLD_MS
        self._deadline_ms = max(self._deadline_ms, min(wanted_ms, longest_ms))

    def _start(self, body):
        task, number = body['task'], body['run']
        known = self._running.get(task)
        if known is not None and known['run'] == number:
            return {}
        if number <= self._highest_run.get(task, 0):
            self._extend(body)
            return {'reason': 'old'}
        if body['deadline-ms'] <= self._clock_ms():
            return {'reason': 'late'}
        self._extend(body)
        now_s = time.monotonic()
        seconds = float(body['spec'])
        self._running[task] = {
            'run': number,
            'began_s': now_s,
            'at_s': self.record.now(),
            'ends_s': now_s + seconds,
            'how': 'done',
        }
        self.starts.append((self.record.now(), task, number))
        self.record.add(f'{self.name} start {task} run {number}')
        return {}

    def _stop(self, body):
        task, number = body['task'], body['run']
        self._highest_run[task] = max(self._highest_run.get(task, 0), number)
        run = self._running.get(task)
        if run is not None and run['run'] <= number:
            run['ends_s'] = min(run['ends_s'], time.monotonic() + 0.02)
            run['how'] = 'stopped'
        return {}

    def _hold(self, body):
        self._extend(body)
        self._finished = [
            row for row in self._finished if row[0] > body['ack-cursor']
        ]
        until_s = time.monotonic() + body.get('wait-ms', 0) / 1000
        while not self._finished and time.monotonic() < until_s:
            self._changed.wait(until_s - time.monotonic())
        now_s = time.monotonic()
        rows = []
        for task, run in self._running.items():
            whole_s = max(run['ends_s'] - run['began_s'], 0.001)
            percent = int(100 * (now_s - run['began_s']) / whole_s)
            rows.append([task, run['run'], '', min(percent, 99), 1000])
        return {
            'running': rows,
            'finished': self._finished[:500],
            'born': self._born_ms,
        }

    def answer(self, path, body):
        """Carries out one order; returns status and answer."""
        with self._changed:
            if body['fence-token'] < self._fence:
                reply = {'reason': 'fence'}
            else:
                self._fence = body['fence-token']
                handle = {
                    '/-/run-start': self._start,
                    '/-/run-stop': self._stop,
                    '/-/hold': self._hold,
                }[path]
                reply = handle(body)
            reply['clock-ms'] = self._clock_ms()
        return (409 if 'reason' in reply else 200), reply

    def _handler(self):
        runner = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'
            disable_nagle_algorithm = True

            def do_POST(self):
                length = int(self.headers['content-length'])
                body = json.loads(self.rfile.read(length))
                status, reply = 421, {'clock-ms': 0}
                if self.headers['x-target-instance'] == runner.name:
                    status, reply = runner.answer(self.path, body)
                content = json.dumps(reply).encode()
                self.send_response(status)
                self.send_header('content-type', 'application/json')
                self.send_header('content-length', str(len(content)))
                self.end_headers()
                self.wfile.write(content)

            def log_message(self, *arguments):
                """Hides the request log."""

        return Handler


class DelayProxy:
    """Forwards connections to another address, each byte some time later.

    Attributes:
        delay_s: How long what arrives now is held up, in either direction.
    """

    def __init__(self, host, target, port):
        self.delay_s = 0.0
        self._target = (target, port)
        self._listener = socket.create_server((host, port), backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                try:
                    far = socket.create_connection(self._target, 2.0)
                except OSError:
                    near.close()
                    continue
                far.settimeout(None)
                for source, sink in ((near, far), (far, near)):
                    source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    held = queue.Queue()
                    for target, one in (
                        (self._read, source),
                        (self._write, sink),
                    ):
                        threading.Thread(
                            target=target, args=(one, held), daemon=True
                        ).start()

    def _read(self, source, held):
        content = b'more'
        while content:
            try:
                content = source.recv(65_536)
            except OSError:
                content = b''
            held.put((time.monotonic() + self.delay_s, content))

    def _write(self, sink, held):
        with contextlib.suppress(OSError):
            while True:
                due_s, content = held.get()
                time.sleep(max(due_s - time.monotonic(), 0))
                if not content:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(content)


class Fleet:
    """Entries and agents as processes, one runner beside each agent.

    Attributes:
        link_proxies: Proxies through which the agents are linked to the
            entries, by entry; empty without them.
    """

    def __init__(self, record, entries=3, agents=2, diskless=0, proxied=False):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        net = random.randint(20, 250)
        self.entries = [f'127.{net}.1.{k + 1}' for k in range(entries)]
        self.with_disk = self.entries[: entries - diskless]
        self.agents = [f'127.{net}.2.{k + 1}' for k in range(agents)]
        self.ports = _free_ports(self.entries[0], 5)
        names = ('links', 'callers', 'operators', 'readiness', 'app')
        self.port = dict(zip(names, self.ports, strict=True))
        self.link_proxies = {}
        if proxied:
            self.link_proxies = {
                host: DelayProxy(_proxy_host(host), host, self.port['links'])
                for host in self.entries
            }
        self.processes = {}
        self.runners = [
            Runner(
                record,
                f'i-{k}',
                host,
                self.port['app'],
                self.port['operators'],
            )
            for k, host in enumerate(self.agents)
        ]
        for host in self.entries:
            self.start(host, first=True)
        if proxied:
            # An agent whose first dial fails would learn an entry's own
            # address from another entry, and dial that.
            time.sleep(PROXIED_START_S)
        for host in self.agents:
            self.start(host, first=True)

    def start(self, host, *, first=False):
        """Starts a process with the command of the deploy file."""
        role = 'entry' if host in self.entries else 'agent'
        control = f'{host}:{self.port["operators"]}'
        settings = {
            'name': f'{role}-{host}',
            'data_centre': 'z1',
            'host': host,
            'links_port': self.port['links'],
            'seeds': [
                f'{seed}:{self.port["operators"]}' for seed in self.entries[:3]
            ],
            'grace_s': GRACE_S,
            'lease_s': MAX_HOLD_MS / 1000,
        }
        if role == 'entry':
            settings |= {
                'callers': f'{host}:{self.port["callers"]}',
                'operators': control,
                'readiness': f'{host}:{self.port["readiness"]}',
                'data_dir': '',
                'data_centres': ['z1'],
                'losses': 1,
                'first_start': first,
                'far_factor': 1.5,
            }
            if host in self.with_disk:
                disk = self.disk(host)
                disk.mkdir(exist_ok=True)
                settings['data_dir'] = str(disk)
        else:
            if self.link_proxies:
                settings['seeds'] = [
                    f'{_proxy_host(seed)}:{self.port["operators"]}'
                    for seed in self.entries[:3]
                ]
            settings |= {
                'heartbeats': control,
                'claims': True,
                'resend_s': RESEND_S,
                'stop_s': STOP_MS / 1000,
            }
        path = self.folder / f'{host}.json'
        path.write_text(json.dumps(settings))
        with (self.folder / f'{host}.log').open('ab') as log:
            self.processes[host] = subprocess.Popen(
                ['python3', '-S', '-m', 'cactushead_platform', role],
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': str(self.folder),
                    'LANG': 'C.UTF-8',
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'CACTUSHEAD_SETTINGS': str(path),
                },
                stdout=log,
                stderr=log,
            )

    def disk(self, host):
        """Returns the disk folder of an entry."""
        return self.folder / f'disk-{host}'

    def kill(self, host):
        """Ends a process at once."""
        process = self.processes[host]
        process.kill()
        process.wait()
        self.record.add(f'killed {host}')

    def signal(self, host, number):
        self.processes[host].send_signal(number)

    def ended(self):
        """Returns the processes that have ended by themselves."""
        return {
            host: process.returncode
            for host, process in self.processes.items()
            if process.poll() is not None
        }

    def wait_ready(self, hosts=None, limit_s=25.0):
        """Waits until entries say that they are ready."""
        until_s = time.monotonic() + limit_s
        for host in hosts or self.entries:
            while True:
                port = self.port['readiness']
                if call(host, port, 'GET', '/-/ready')[0] == 200:
                    break
                if time.monotonic() > until_s:
                    raise NotRunError(f'{host} is not ready')
                time.sleep(0.1)

    def configure(self, version, limit_s=20.0, extra_routes=0):
        """Sends a configuration like an operator; returns who acknowledged."""
        body = json.dumps(configuration(version, extra_routes))
        until_s = time.monotonic() + limit_s
        hosts = list(self.entries)
        pause_s = 0.1
        while time.monotonic() < until_s:
            host = hosts.pop(0)
            hosts.append(host)
            port = self.port['operators']
            path = '/-/config/put'
            status, _ = call(host, port, 'POST', path, body, timeout_s=1.0)
            self.record.add(f'operator: put {version} to {host}: {status}')
            if status == 200:
                return host
            time.sleep(pause_s)
            pause_s = min(2 * pause_s, 0.8)
        return ''

    def read_back(self, limit_s):
        """Reads the configuration from any entry; returns its version."""
        until_s = time.monotonic() + limit_s
        answers = {}
        while time.monotonic() < until_s:
            for host in self.entries:
                port = self.port['operators']
                status, body = call(
                    host, port, 'GET', '/-/config/get', timeout_s=1.0
                )
                if answers.get(host) != status:
                    self.record.add(f'operator: get from {host}: {status}')
                answers[host] = status
                if status == 200:
                    return json.loads(body)['version']
            time.sleep(0.2)
        return 0

    def submit(self, host, job, seconds, count=1, wait_ms=60_000, cpu=1000):
        """Submits a best-effort job and waits for the response."""
        body = json.dumps(job_body(seconds, count, cpu))
        headers = {'Host': HOST_NAME, 'X-Deadline-Ms': str(wait_ms)}
        self.record.add(f'client: POST {job} to {host}')
        status, reply = call(
            host,
            self.port['callers'],
            'POST',
            PREFIX + job,
            body,
            headers,
            timeout_s=wait_ms / 1000,
        )
        self.record.add(f'client: POST {job} to {host}: {status} {reply!r:.70}')
        return status, reply

    def submit_aside(self, *arguments, **options):
        """Submits a job in a thread."""
        thread = threading.Thread(
            target=self.submit, args=arguments, kwargs=options, daemon=True
        )
        thread.start()
        return thread

    def submit_and_lose_answer(self, host, job, seconds):
        """Submits a job; the connection is reset as the response arrives."""
        body = json.dumps(job_body(seconds)).encode()
        head = (
            f'POST {PREFIX}{job} HTTP/1.1\r\nHost: {HOST_NAME}\r\n'
            'X-Deadline-Ms: 60000\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        self.record.add(f'client: POST {job} to {host}')
        address = (host, self.port['callers'])
        with socket.create_connection(address, 5.0) as connection:
            connection.settimeout(60.0)
            connection.sendall(head.encode() + body)
            connection.recv(1, socket.MSG_PEEK)
            reset = struct.pack('ii', 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        self.record.add(f'the connection is reset, the answer to {job} is lost')

    def cancel(self, host, job, timeout_s=2.0):
        """Cancels a job once; returns the status."""
        status, reply = call(
            host,
            self.port['callers'],
            'DELETE',
            PREFIX + job,
            None,
            {'Host': HOST_NAME},
            timeout_s=timeout_s,
        )
        self.record.add(
            f'client: DELETE {job} at {host}: {status} {reply!r:.70}'
        )
        return status

    def runs_of(self, job):
        """Returns the names of the runners that run a task of a job now."""
        return [
            runner.name
            for runner in self.runners
            if any(task.startswith(job) for task in runner.running())
        ]

    def overlaps_of(self, job):
        """Returns the runs of one task of a job that overlapped.

        Rows of the task, the two runners, and for how many seconds.
        """
        runs = [
            (task, began_s, ended_s, runner.name)
            for runner in self.runners
            for task, began_s, ended_s in runner.all_runs()
            if task.startswith(job)
        ]
        return [
            (one[0], one[3], other[3], min(one[2], other[2]) - other[1])
            for one in runs
            for other in runs
            if one[0] == other[0] and one[1] < other[1] < one[2]
        ]

    def starts_of(self, job):
        """Returns time, runner and task of each start of a job, in order."""
        return sorted(
            (at_s, runner.name, task)
            for runner in self.runners
            for at_s, task, _ in runner.starts
            if task.startswith(job)
        )

    def close(self):
        """Ends all processes."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for runner in self.runners:
            runner.close()
        for proxy in self.link_proxies.values():
            proxy.close()


def configuration(version, extra_routes=0):
    """Returns a configuration of one queue, and of some that nobody uses."""
    route = {
        'name': 'r-1',
        'host': HOST_NAME,
        'path-prefix': PREFIX,
        'kind': 'unsafe',
        'timeout-ms': 60_000,
        'target-latency-ms': 60,
        'priority': 0,
        'service': SERVICE,
        'max-attempts': 3,
        'slack-factor': 1.6,
    }
    others = [
        route | {'name': f'r-x{k}', 'path-prefix': f'/idle{k}/'}
        for k in range(extra_routes)
    ]
    return {
        'version': version,
        'routes': [route, *others],
        'services': [
            {
                'name': SERVICE,
                'health-path': '/health',
                'max-conns': 64,
                'protocol': 'h1',
                'tls': False,
                'rejects-overload': False,
                'standby': False,
            }
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 262144,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
    }


def job_body(seconds, count=1, cpu=1000):
    """Returns a best-effort job whose tasks run for some seconds."""
    step = {
        'count': count,
        'cpu': cpu,
        'mem-mb': 64,
        'estimate-ms': int(seconds * 1000),
    }
    return {'spec': str(seconds), 'best-effort': True, 'steps': [step]}


def call(host, port, method, path, body=None, headers=None, timeout_s=2.0):
    """Sends one request; returns status and body, status 0 for no answer."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    if body is not None and not isinstance(body, (str, bytes)):
        body = json.dumps(body)
    sent = dict(headers or {})
    if body is not None:
        sent['Content-Type'] = 'application/json'
    try:
        connection.request(method, path, body, sent)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, repr(error)
    finally:
        connection.close()


def job_id(number):
    """Returns the id of a job."""
    return f'{number:016x}'


def has_trouble():
    """Whether the disruption of the case is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


def play(folder, case, **options):
    """Plays a case; returns the exit status of its script."""
    record = Record(Path(folder) / 'record.txt')
    mode = 'with' if has_trouble() else 'without'
    record.add(f'played {mode} the disruption')
    fleet = None
    try:
        fleet = Fleet(record, **options)
        broken = case(fleet)
    except NotRunError as error:
        record.add(f'not run: {error}')
        return EXIT_NOT_RUN
    finally:
        if fleet is not None:
            fleet.close()
    record.add(f'RULE BROKEN: {broken}' if broken else 'the rule held')
    record.close()
    return EXIT_BROKEN if broken else EXIT_HELD


def _proxy_host(host):
    """Returns the address of the proxy before an entry."""
    return host.replace('.1.', '.3.', 1)


def _free_ports(host, count):
    """Returns ports that no one uses at an address."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((host, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports
