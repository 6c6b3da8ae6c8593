"""Runs entries, agents and sample upstreams as processes on loopback.

Prints one JSON line once all are ready: a list with role, name, pid, url and
command of each process. This script does not restart processes: a client that
kills a process restarts it by its command. On SIGTERM or SIGINT all processes
are stopped gracefully.
"""

import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from functools import partial
from pathlib import Path
from types import FrameType

import fire
import httpcore
from cactushead_node.upstreams.sample_document import (
    SAMPLE_DOCUMENT,
    SAMPLE_SERVICE,
)
from cluster_layout import ClusterLayout, ProcessPlan

READY_TIMEOUT_S = 60.0
IDLE_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 60.0
POLL_S = 0.05
SETTLE_S = 0.3
HTTP_OK = 200
HTTP_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError)


class ClusterError(Exception):
    """Raised when the cluster does not become ready."""


@dataclass(frozen=True, slots=True)
class Child:
    """A process that this script started.

    Attributes:
        plan: Role, name, URL and command of the process.
        process: Handle of the process.
    """

    plan: ProcessPlan
    process: subprocess.Popen[bytes]


class Cluster:
    """Starts, observes and stops the processes of a cluster."""

    def __init__(self, plans: list[ProcessPlan], folder: Path) -> None:
        """Starts all processes.

        Args:
            plans: Processes to start.
            folder: Folder of the cluster, where output is logged.
        """
        self._children = [_start(plan, folder) for plan in plans]

    def wait_until_ready(self, *, sample: bool) -> None:
        """Waits until entries and upstreams are ready.

        Args:
            sample: Whether to submit the document of service `sample`, and
                wait until it is in force in all processes.

        Raises:
            ClusterError: A process exited, or the wait timed out.
        """
        for child in self._children:
            self._wait_for(partial(_is_ready, child))
        if sample:
            self._wait_for(self._accept_sample)

    def describe(self) -> str:
        """Returns the JSON list of the processes for clients of the cluster."""
        return json.dumps(
            [
                {**asdict(child.plan), 'pid': child.process.pid}
                for child in self._children
            ],
        )

    def stop(self) -> bool:
        """Stops entries, then agents, then upstreams.

        Returns:
            Whether all processes exited with 0; those that were killed by a
            signal before are ignored.
        """
        running = [child for child in self._children if _is_running(child)]
        statuses = [
            max(child.process.returncode, 0)
            for child in self._children
            if child not in running
        ]
        self._wait_until_idle()
        for role in ('entry', 'agent', 'upstream'):
            stopping = [child for child in running if child.plan.role == role]
            for child in stopping:
                child.process.send_signal(signal.SIGTERM)
            statuses += [_wait_for_exit(stopped) for stopped in stopping]
        return not any(statuses)

    def _wait_for(self, condition: Callable[[], bool]) -> None:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not condition():
            self._check_children()
            if time.monotonic() > deadline_s:
                raise ClusterError(f'not ready in {READY_TIMEOUT_S} s')
            time.sleep(POLL_S)

    def _check_children(self) -> None:
        ended = [child for child in self._children if not _is_running(child)]
        if ended:
            names = ', '.join(child.plan.name for child in ended)
            raise ClusterError(f'ended too early: {names}')

    def _accept_sample(self) -> bool:
        """Submits the sample document; resubmission is idempotent.

        Returns:
            Whether it is in force in all processes.
        """
        entries = self._children_of('entry')
        response = httpcore.request(
            'PUT',
            f'{entries[0].plan.url}/v1/documents/{SAMPLE_SERVICE}',
            content=SAMPLE_DOCUMENT,
        )
        if response.status != HTTP_OK:
            return False
        in_force = set(json.loads(response.content)['in_force'])
        expected = entries + self._children_of('agent')
        return in_force >= {child.plan.name for child in expected}

    def _wait_until_idle(self) -> None:
        """Waits until no upstream runs a task, up to `IDLE_TIMEOUT_S`.

        Explanation:
            On SIGTERM, entries without open requests exit immediately. If
            these are a majority of the voters, the remaining entries lose
            the quorum and cannot complete their requests.
        """
        deadline_s = time.monotonic() + IDLE_TIMEOUT_S
        upstreams = self._children_of('upstream')
        while any(_is_busy(child) for child in upstreams):
            if time.monotonic() > deadline_s:
                return
            time.sleep(POLL_S)
        time.sleep(SETTLE_S)

    def _children_of(self, role: str) -> list[Child]:
        return [child for child in self._children if child.plan.role == role]


def main(
    entries: int = 3,
    agents: int = 3,
    dir: str = 'cluster',  # noqa: A002
    slots: int = 8,
    base_port: int = 8471,
    sample: bool = True,
    order: str = 'fair',
    placement: str = 'spread',
) -> None:
    """Runs a cluster until SIGTERM or SIGINT.

    Args:
        entries: Number of entries; the first 1, 3 or 5 are voters.
        agents: Number of agents, each with one sample upstream.
        dir: Folder for settings, logs, records of starts and data.
        slots: Slots of each upstream.
        base_port: Port for callers of the first entry.
        sample: Whether to submit the document of service `sample`.
        order: Scheduling policy that orders queued tasks.
        placement: Scheduling policy that selects the upstream.
    """
    signal.signal(signal.SIGTERM, _raise_keyboard_interrupt)
    folder = Path(dir)
    policy = {'order': order, 'placement': placement}
    layout = ClusterLayout(folder, base_port, slots, policy)
    plans = layout.plan(entries, agents)
    cluster = Cluster(plans, folder)
    ready = _run_until_interrupted(cluster, sample=sample)
    stopped = cluster.stop()
    sys.exit(0 if ready and stopped else 1)


def _run_until_interrupted(cluster: Cluster, *, sample: bool) -> bool:
    """Runs the cluster; returns False if it did not become ready."""
    try:
        _print_and_wait(cluster, sample=sample)
    except KeyboardInterrupt:
        sys.stderr.write('cluster: stop\n')
    except ClusterError as error:
        sys.stderr.write(f'cluster: {error}\n')
        return False
    return True


def _print_and_wait(cluster: Cluster, *, sample: bool) -> None:
    cluster.wait_until_ready(sample=sample)
    sys.stdout.write(f'{cluster.describe()}\n')
    sys.stdout.flush()
    signal.pause()


def _raise_keyboard_interrupt(_number: int, _frame: FrameType | None) -> None:
    raise KeyboardInterrupt


def _start(plan: ProcessPlan, folder: Path) -> Child:
    output = folder / 'logs' / f'{plan.role}-{plan.name}.out'
    with output.open('ab') as stream:
        process = subprocess.Popen(
            plan.command,
            stdin=subprocess.DEVNULL,
            stdout=stream,
            stderr=stream,
        )
    return Child(plan, process)


def _is_running(child: Child) -> bool:
    return child.process.poll() is None


def _wait_for_exit(child: Child) -> int:
    try:
        return child.process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        sys.stderr.write(f'cluster: {child.plan.name} did not stop\n')
        child.process.kill()
        return child.process.wait()


def _is_ready(child: Child) -> bool:
    if not child.plan.url:
        return True
    path = 'healthz' if child.plan.role == 'upstream' else 'readyz'
    try:
        return (
            httpcore.request('GET', f'{child.plan.url}/{path}').status
            == HTTP_OK
        )
    except HTTP_ERRORS:
        return False


def _is_busy(child: Child) -> bool:
    try:
        response = httpcore.request('GET', f'{child.plan.url}/healthz')
    except HTTP_ERRORS:
        return False
    return json.loads(response.content)['running'] > 0


if __name__ == '__main__':
    fire.Fire(main)
