"""Starts the project's entries and agents as the deploy file says."""

import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

from runner import Runner, call

ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_S = 25.0
RESEND_S = 1.3
HOST = 'jobs.example'
PREFIX = '/q/'


class CannotRun(Exception):
    """The case could not be set up."""


class Fleet:
    """Entries, agents and runners of a small deployment."""

    def __init__(self, folder, net, entries=3, agents=2, **options):
        """Starts all processes and waits until the entries are ready.

        Args:
            folder: Folder of the case, for record.txt.
            net: Second number of the loopback addresses.
            entries: Number of entries, all with a disk.
            agents: Number of agents, each with a runner.
            options: `cpu` of each runner; `route`, fields that replace those
                of the route; `front_runner`, called with a runner's host
                and returns the port that its heartbeats name.
        """
        self._started_s = time.monotonic()
        self._lock = threading.Lock()
        self._lines = (Path(folder) / 'record.txt').open('w')
        self._temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.temporary = Path(self._temporary.name)
        self.entries = [f'127.{net}.1.{k + 1}' for k in range(entries)]
        self.agents = [f'127.{net}.2.{k + 1}' for k in range(agents)]
        self.processes = {}
        self.runners = []
        self.options = options
        hosts = (*self.entries, *self.agents)
        self.links_port, self.control, self.front, self.ready = free_ports(
            hosts, 4
        )
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self._roles = deploy['roles']
        try:
            for host in hosts:
                self.start(host, first=True)
            for number, host in enumerate(self.agents):
                self.add_runner(f'i-{number}', host)
            self._put_configuration()
            self._wait_until_ready()
        except Exception:
            self.close()
            raise

    def record(self, text):
        """Writes a line with the time into record.txt."""
        with self._lock:
            if not self._lines.closed:
                at_s = time.monotonic() - self._started_s
                self._lines.write(f'{at_s:8.3f} s  {text}\n')
                self._lines.flush()

    def add_runner(self, name, host, **options):
        """Starts a runner beside an agent."""
        number = self.agents.index(host)
        chosen = {
            'cpu': self.options.get('cpu', 8000),
            'labels': ['a', f'r{number}'],
        } | options
        runner = Runner(
            name, host, 0, (host, self.control), self.record, **chosen
        )
        self.runners.append(runner)
        return runner

    def start(self, host, *, first=False):
        """Starts the process of a machine."""
        role = 'entry' if host in self.entries else 'agent'
        settings = self._settings(host, role, first)
        path = self.temporary / f'{host}.json'
        path.write_text(json.dumps(settings))
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'LANG': os.environ.get('LANG', 'C'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'CACTUSHEAD_SETTINGS': str(path),
        }
        log = (self.temporary / f'{host}.log').open('ab')
        self.processes[host] = subprocess.Popen(
            shlex.split(self._roles[role]['run']),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        self.record(f'{role} {host} is started')

    def signal(self, host, number):
        """Sends a signal to a process of this fleet."""
        self.record(f'{signal.Signals(number).name} to {host}')
        self.processes[host].send_signal(number)

    def log(self, host):
        """Returns the log of a process."""
        return (self.temporary / f'{host}.log').read_text()

    def submit(self, entry, job, steps, spec, deadline_s, resend_to=()):
        """Hands in a best-effort job in a thread, as a client does.

        Explanation:
            After no response, a broken connection, 502 or 504 the job is sent
            again to the next entry of `resend_to`, as the pages say.

        Returns:
            The thread; its attribute `answers` has (time, entry, status,
            body) of each attempt.
        """
        answers = []
        thread = threading.Thread(
            target=self._submit,
            args=(
                [entry, *resend_to], job, steps, spec, deadline_s, answers
            ),
            daemon=True,
        )
        thread.answers = answers
        thread.start()
        return thread

    def _submit(self, entries, job, steps, spec, deadline_s, answers):
        body = {
            'spec': json.dumps(spec),
            'steps': steps,
            'best-effort': True,
        }
        headers = {
            'Host': HOST,
            'X-Deadline-Ms': str(int(deadline_s * 1000)),
        }
        for entry in entries:
            self.record(f'client sends {job} to {entry}')
            status, content = call(
                (entry, self.front),
                'POST',
                f'{PREFIX}{job}',
                body,
                headers,
                deadline_s,
            )
            self.record(
                f'client gets {status or "no response"} for {job} from'
                f' {entry}: {content.decode()[:100]}'
            )
            answers.append((time.monotonic(), entry, status, content))
            if status not in {0, 502, 504}:
                return
            time.sleep(RESEND_S)

    def configuration(self, version):
        """Returns a configuration with one route."""
        route = {
            'name': 'r-1',
            'host': HOST,
            'path-prefix': PREFIX,
            'kind': 'unsafe',
            'timeout-ms': 20_000,
            'target-latency-ms': 60,
            'priority': 0,
            'service': 'work',
            'max-attempts': 3,
            'slack-factor': 1.6,
        } | self.options.get('route', {})
        service = {
            'name': 'work',
            'health-path': '/health',
            'max-conns': 64,
            'protocol': 'h1',
            'tls': False,
            'rejects-overload': False,
            'standby': False,
        }
        limits = {
            'max-header-bytes': 16384,
            'max-body-bytes': 262144,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        }
        return {
            'version': version,
            'routes': [route],
            'services': [service],
            'limits': limits,
        }

    def put(self, entry, configuration):
        """Sends a configuration to an entry; returns the status."""
        status, _ = call(
            (entry, self.control), 'POST', '/-/config/put', configuration
        )
        version = configuration['version']
        self.record(f'operator puts version {version} at {entry}: {status}')
        return status

    def close(self):
        """Ends all processes and runners that this fleet started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for runner in self.runners:
            if not runner.stopped:
                runner.close()
        if os.environ.get('KEEP_LOGS'):
            for path in self.temporary.glob('*.log'):
                target = Path(os.environ['KEEP_LOGS']) / path.name
                target.write_text(path.read_text())
        self._lines.close()
        self._temporary.cleanup()

    def _settings(self, host, role, first):
        settings = {
            'name': host,
            'data_centre': 'z1',
            'host': host,
            'links_port': self.links_port,
            'seeds': [f'{name}:{self.control}' for name in self.entries[:3]],
            'lease_s': 1.0,
            'grace_s': 6,
        }
        if role == 'agent':
            return settings | {
                'heartbeats': f'{host}:{self.control}',
                'claims': True,
            }
        data = self.temporary / f'data-{host}'
        data.mkdir(exist_ok=True)
        return settings | {
            'callers': f'{host}:{self.front}',
            'operators': f'{host}:{self.control}',
            'readiness': f'{host}:{self.ready}',
            'data_dir': str(data),
            'data_centres': ['z1'],
            'losses': 1,
            'first_start': first,
            'far_factor': 1.5,
        }

    def _put_configuration(self):
        configuration = self.configuration(1)
        until_s = time.monotonic() + TIMEOUT_S
        while time.monotonic() < until_s:
            for entry in self.entries:
                if self.put(entry, configuration) == 200:
                    return
            time.sleep(0.3)
        raise CannotRun('no entry stored the configuration')

    def _wait_until_ready(self):
        until_s = time.monotonic() + TIMEOUT_S
        waiting = set(self.entries)
        while waiting:
            if time.monotonic() > until_s:
                raise CannotRun(f'not ready: {sorted(waiting)}')
            for entry in sorted(waiting):
                if call((entry, self.ready), 'GET', '/-/ready')[0] == 200:
                    waiting.discard(entry)
            time.sleep(0.1)
        # All runners have sent heartbeats, so that all agents take tasks.
        time.sleep(2.0)
        self.record('the fleet is ready')


def free_ports(hosts, count):
    """Returns ports that are free on all hosts."""
    ports = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        if port not in ports and all(is_free(host, port) for host in hosts):
            ports.append(port)
    return ports


def is_free(host, port):
    """Whether nothing listens at an address."""
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def run_case(play, folder):
    """Plays a case; returns the exit status that the issue asks for.

    Args:
        play: Plays the case; returns the breaks of the rule.
        folder: Folder of the case.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        breaks = play(folder, trouble)
    except Exception as error:
        sys.stdout.write(f'the case could not run: {error!r}\n')
        return 2
    with (Path(folder) / 'record.txt').open('a') as record:
        for text in breaks or ['the rule held']:
            record.write(f'result: {text}\n')
            sys.stdout.write(f'{text}\n')
    return 1 if breaks else 0
