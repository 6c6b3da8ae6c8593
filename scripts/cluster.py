"""Runs entries, agents and stand-in upstreams as processes on loopback.

Prints one JSON line once all are ready: a list with role, name, pid, url and
command of each process. A process that was killed is started again, by whoever
killed it, with its command. On SIGTERM or SIGINT all are stopped gracefully.
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
OK = 200
HTTP_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError)


class ClusterError(Exception):
    """The cluster did not start or stop as it should."""


@dataclass(frozen=True, slots=True)
class Child:
    """A running process of the cluster."""

    plan: ProcessPlan
    process: subprocess.Popen[bytes]


class Cluster:
    """The processes that this script started."""

    def __init__(self, plans: list[ProcessPlan], folder: Path) -> None:
        """Starts all processes.

        Args:
            plans: The processes.
            folder: Folder of the cluster.
        """
        self._children = [_start(plan, folder) for plan in plans]

    def wait_until_ready(self, *, sample: bool) -> None:
        """Waits until entries and upstreams answer and the sample is known.

        Args:
            sample: Whether to submit the document of service `sample`.

        Raises:
            ClusterError: A process ended, or it took too long.
        """
        for child in self._children:
            self._wait_for(partial(_is_ready, child))
        if sample:
            self._wait_for(self._accept_sample)

    def describe(self) -> str:
        """Returns the JSON line for whoever uses the cluster."""
        return json.dumps(
            [
                {**asdict(child.plan), 'pid': child.process.pid}
                for child in self._children
            ],
        )

    def stop(self) -> bool:
        """Stops entries, then agents, then upstreams.

        Returns:
            Whether all processes ended with 0, but for those that were
            killed before.
        """
        alive = [child for child in self._children if _lives(child)]
        statuses = [
            max(child.process.returncode, 0)
            for child in self._children
            if child not in alive
        ]
        self._wait_until_idle()
        for role in ('entry', 'agent', 'upstream'):
            stopping = [one for one in alive if one.plan.role == role]
            for child in stopping:
                child.process.send_signal(signal.SIGTERM)
            statuses += [_wait_for_exit(one) for one in stopping]
        return not any(statuses)

    def _wait_for(self, condition: Callable[[], bool]) -> None:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not condition():
            self._check_children()
            if time.monotonic() > deadline_s:
                raise ClusterError(f'not ready in {READY_TIMEOUT_S} s')
            time.sleep(POLL_S)

    def _check_children(self) -> None:
        ended = [child for child in self._children if not _lives(child)]
        if ended:
            names = ', '.join(gone.plan.name for gone in ended)
            raise ClusterError(f'ended too early: {names}')

    def _accept_sample(self) -> bool:
        """Submits the sample's document; a resend gets the first answer.

        Returns:
            Whether it is in force in all processes.
        """
        entries = self._children_of('entry')
        response = httpcore.request(
            'PUT',
            f'{entries[0].plan.url}/v1/documents/{SAMPLE_SERVICE}',
            content=SAMPLE_DOCUMENT,
        )
        if response.status != OK:
            return False
        in_force = set(json.loads(response.content)['in_force'])
        wanted = entries + self._children_of('agent')
        return in_force >= {child.plan.name for child in wanted}

    def _wait_until_idle(self) -> None:
        """Waits until no upstream runs a task, or long enough.

        Explanation:
            Entries without requests leave at once. When these are the
            majority of the voters, the others couldn't finish theirs.
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
        agents: Number of agents, each beside a stand-in upstream.
        dir: Folder for settings, logs, starts and data.
        slots: Slots of each upstream.
        base_port: Callers' port of the first entry.
        sample: Whether to submit the document of service `sample`.
        order: The scheduler's order of waiting tasks.
        placement: The scheduler's choice of the upstream.
    """
    signal.signal(signal.SIGTERM, _interrupt)
    folder = Path(dir)
    policy = {'order': order, 'placement': placement}
    layout = ClusterLayout(folder, base_port, slots, policy)
    plans = layout.plan(entries, agents)
    cluster = Cluster(plans, folder)
    ready = _run_until_interrupted(cluster, sample=sample)
    stopped = cluster.stop()
    sys.exit(0 if ready and stopped else 1)


def _run_until_interrupted(cluster: Cluster, *, sample: bool) -> bool:
    """Returns whether the cluster became ready or was stopped before."""
    try:
        _announce(cluster, sample=sample)
    except KeyboardInterrupt:
        sys.stderr.write('cluster: stop\n')
    except ClusterError as error:
        sys.stderr.write(f'cluster: {error}\n')
        return False
    return True


def _announce(cluster: Cluster, *, sample: bool) -> None:
    cluster.wait_until_ready(sample=sample)
    sys.stdout.write(f'{cluster.describe()}\n')
    sys.stdout.flush()
    signal.pause()


def _interrupt(_number: int, _frame: FrameType | None) -> None:
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


def _lives(child: Child) -> bool:
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
        return httpcore.request('GET', f'{child.plan.url}/{path}').status == OK
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
