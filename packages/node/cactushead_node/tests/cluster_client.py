"""A test cluster of real processes and its client."""

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
POLL_INTERVAL_S = 0.05
MIN_BASE_PORT = 12_000
MAX_BASE_PORT = 30_000
BASE_PORT_STEP = 300


@dataclass
class ProcessHandle:
    """A process of the cluster, as reported by scripts/cluster.py."""

    role: str
    name: str
    url: str
    pid: int
    command: list[str]

    def signal(self, number):
        os.kill(self.pid, number)


@dataclass
class JobResponse:
    """Response of an entry to a submitted job."""

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
        self.processes = [
            ProcessHandle(**fields) for fields in json.loads(line)
        ]

    def close(self):
        """Stops all processes and returns the exit codes."""
        for child in self._restarted.values():
            child.send_signal(signal.SIGTERM)
        self._script.send_signal(signal.SIGTERM)
        statuses = [self._script.wait(TIMEOUT_S)]
        statuses += [
            child.wait(TIMEOUT_S) for child in self._restarted.values()
        ]
        return statuses

    def entries(self):
        return [handle for handle in self.processes if handle.role == 'entry']

    def agents(self):
        return [handle for handle in self.processes if handle.role == 'agent']

    def leader(self):
        """Waits until there is a leader and returns it."""
        wait_until(lambda: any(map(is_leader, self.entries())))
        return next(entry for entry in self.entries() if is_leader(entry))

    def restart(self, handle):
        """Starts an exited process again; waits until an entry is ready."""
        self.respawn(handle)
        if handle.role == 'entry':
            wait_until(lambda: is_ready(handle))

    def respawn(self, handle):
        """Starts an exited process again without waiting for it."""
        child = subprocess.Popen(handle.command)
        self._restarted[handle.name, handle.role] = child
        handle.pid = child.pid

    def wait_for_exit(self, handle):
        """Waits until a process has exited; if known, the status must be 0.

        The exit status of a process that this client did not start is known
        only to scripts/cluster.py, which returns it at the end.
        """
        child = self._restarted.pop((handle.name, handle.role), None)
        if child is None:
            wait_until(lambda: has_exited(handle.pid))
        else:
            assert child.wait(TIMEOUT_S) == 0

    def starts(self, job_key=None, upstream='*'):
        """Returns the number of starts of each task."""
        counts = Counter()
        for path in self.folder.glob(f'starts/{upstream}.jsonl'):
            for line in path.read_text().splitlines():
                start = json.loads(line)
                if job_key in (None, start['job_key']):
                    counts[start['task_id']] += 1
        return counts


def submit(entry, key, tasks, kind='echo', deadline_s=30):
    """Submits a job and waits for its response."""
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
    return JobResponse(response.status, json.loads(response.content))


def submit_until_answered(entries, key, tasks, **options):
    """Submits a job to the entries in turn until one answers with 200."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while True:
        for entry in entries:
            try:
                response = submit(entry, key, tasks, **options)
            except HTTP_ERRORS:
                time.sleep(POLL_INTERVAL_S)
                continue
            if response.status == 200:
                return response
        assert time.monotonic() < deadline_s
        time.sleep(POLL_INTERVAL_S)


def is_leader(entry):
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
        time.sleep(POLL_INTERVAL_S)


def has_exited(pid):
    """Whether a process has exited; it may still be a zombie."""
    try:
        stat = Path(f'/proc/{pid}/stat').read_text()
    except FileNotFoundError:
        return True
    return stat.rpartition(')')[2].split()[0] == 'Z'


def find_base_port():
    """Returns a base port for which all ports of the cluster are free."""
    first = MIN_BASE_PORT + os.getpid() % 50 * BASE_PORT_STEP
    for base in range(first, MAX_BASE_PORT, BASE_PORT_STEP):
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
