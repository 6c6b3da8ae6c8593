"""A cluster of real processes and a client of it, for tests."""

import json
import os
import select
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import httpcore

REPOSITORY = Path(__file__).resolve().parents[4]
SCRIPT = REPOSITORY / 'scripts' / 'cluster.py'
HOST = '127.0.0.1'
HTTP_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError)
TIMEOUT_S = 60.0
POLL_S = 0.05
LOWEST_PORT = 12_000
HIGHEST_PORT = 30_000
PORTS_STEP = 300


@dataclass
class ProcessHandle:
    """A process of the cluster, as its JSON line tells."""

    role: str
    name: str
    url: str
    pid: int
    command: list[str]

    def signal(self, number):
        os.kill(self.pid, number)


@dataclass
class Answer:
    """An answer to a request of a caller."""

    status: int
    content: dict

    @property
    def results(self):
        return self.content['results']


class ClusterClient:
    """Runs scripts/cluster.py and sends requests to its entries."""

    def __init__(self, folder):
        self.folder = folder
        self._restarted = {}
        self._script = subprocess.Popen(
            [
                sys.executable,
                SCRIPT,
                f'--dir={folder}',
                f'--base_port={find_base_port()}',
            ],
            stdout=subprocess.PIPE,
        )
        ready, _, _ = select.select([self._script.stdout], [], [], TIMEOUT_S)
        assert ready, 'the cluster is not ready'
        line = self._script.stdout.readline()
        self.processes = [ProcessHandle(**one) for one in json.loads(line)]

    def close(self):
        """Stops all and returns the exit codes."""
        for child in self._restarted.values():
            child.send_signal(signal.SIGTERM)
        self._script.send_signal(signal.SIGTERM)
        statuses = [self._script.wait(TIMEOUT_S)]
        statuses += [
            child.wait(TIMEOUT_S) for child in self._restarted.values()
        ]
        return statuses

    def entries(self):
        return [one for one in self.processes if one.role == 'entry']

    def agents(self):
        return [one for one in self.processes if one.role == 'agent']

    def leader(self):
        """Returns the entry that leads."""
        wait_until(lambda: any(map(leads, self.entries())))
        return next(one for one in self.entries() if leads(one))

    def restart(self, handle):
        """Starts a process again that was killed, and waits for it."""
        self.start_again(handle)
        if handle.role == 'entry':
            wait_until(lambda: is_ready(handle))

    def start_again(self, handle):
        """Starts a process again that was killed."""
        child = subprocess.Popen(handle.command)
        self._restarted[handle.name, handle.role] = child
        handle.pid = child.pid

    def wait_for_exit(self, handle):
        """Waits until a process has ended with 0.

        Of a process that this client didn't start, the script tells the
        exit code when it stops.
        """
        child = self._restarted.pop((handle.name, handle.role), None)
        if child is None:
            wait_until(lambda: has_ended(handle.pid))
        else:
            assert child.wait(TIMEOUT_S) == 0

    def starts(self, job_key=None, upstream='*'):
        """Returns how often each task was started."""
        counts = Counter()
        for path in self.folder.glob(f'starts/{upstream}.jsonl'):
            for text in path.read_text().splitlines():
                line = json.loads(text)
                if job_key in (None, line['job_key']):
                    counts[line['task_id']] += 1
        return counts


def submit(entry, key, tasks, kind='echo', deadline_s=30):
    """Posts a job and waits for its answer."""
    body = {
        'caller': 'tests',
        'kind': kind,
        'deadline_s': deadline_s,
        'tasks': [{'input': task} for task in tasks],
    }
    response = httpcore.request(
        'POST',
        f'{entry.url}/v1/services/sample/jobs',
        headers={'Idempotency-Key': key},
        content=json.dumps(body).encode(),
    )
    return Answer(response.status, json.loads(response.content))


def submit_until_answered(entries, key, tasks, **options):
    """Resubmits a job through the entries until one has the answer."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while True:
        for entry in entries:
            try:
                answer = submit(entry, key, tasks, **options)
            except HTTP_ERRORS:
                time.sleep(POLL_S)
                continue
            if answer.status == 200:
                return answer
        assert time.monotonic() < deadline_s
        time.sleep(POLL_S)


def leads(entry):
    response = httpcore.request('GET', f'{entry.url}/v1/metrics')
    return json.loads(response.content)['state']['leads'] == 1


def is_ready(entry):
    try:
        response = httpcore.request('GET', f'{entry.url}/readyz')
    except HTTP_ERRORS:
        return False
    return response.status == 200


def wait_until(condition):
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(POLL_S)


def has_ended(pid):
    """Whether a process is gone or waits for its parent to notice."""
    try:
        stat = Path(f'/proc/{pid}/stat').read_text()
    except FileNotFoundError:
        return True
    return stat.rpartition(')')[2].split()[0] == 'Z'


def find_base_port():
    """Returns a port whose neighbours that the cluster takes are free."""
    first = LOWEST_PORT + os.getpid() % 50 * PORTS_STEP
    for base in range(first, HIGHEST_PORT, PORTS_STEP):
        offsets = (0, 1, 2, 100, 101, 102, 200, 201, 202)
        if all(is_free(base + offset) for offset in offsets):
            return base
    raise AssertionError('no free ports')


def is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
