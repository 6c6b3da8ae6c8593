"""Processes of a running cluster, listed by `scripts/cluster.py`."""

import json
import os
import shlex
import signal
import subprocess  # noqa: S404  restarts processes
from dataclasses import dataclass

from ..addresses import read_input_file
from ..client import (
    Client,
    ClientError,
    EntryError,
    Fields,
    HttpRequest,
    Transport,
    UsageError,
)


@dataclass(frozen=True, slots=True)
class ClusterProcess:
    """One process of the cluster.

    Attributes:
        role: `entry`, `agent` or `upstream`.
        name: Name of the process.
        pid: Process id.
        url: HTTP address, empty for none.
        command: Command that restarts the process.
    """

    role: str
    name: str
    pid: int
    url: str
    command: tuple[str, ...]


class Cluster:
    """Stops, suspends and restarts the processes of a cluster by id."""

    def __init__(self, processes: tuple[ClusterProcess, ...]) -> None:
        """Stores the listed processes."""
        self._processes = processes
        self._restarted: list[subprocess.Popen[bytes]] = []

    def of_role(self, role: str) -> list[ClusterProcess]:
        """Returns the processes with a role, in the listed order."""
        return [process for process in self._processes if process.role == role]

    def kill(self, process: ClusterProcess) -> None:
        """Kills a process (SIGKILL)."""
        os.kill(process.pid, signal.SIGKILL)

    def terminate(self, process: ClusterProcess) -> None:
        """Requests a graceful stop of a process (SIGTERM)."""
        os.kill(process.pid, signal.SIGTERM)

    def freeze(self, process: ClusterProcess) -> None:
        """Suspends a process (SIGSTOP)."""
        os.kill(process.pid, signal.SIGSTOP)

    def thaw(self, process: ClusterProcess) -> None:
        """Resumes a suspended process (SIGCONT)."""
        os.kill(process.pid, signal.SIGCONT)

    def restart(self, process: ClusterProcess) -> None:
        """Restarts a process with its listed command."""
        self._restarted.append(subprocess.Popen(process.command))  # noqa: S603

    def close(self) -> None:
        """Terminates the processes that `restart` started."""
        for process in self._restarted:
            process.terminate()
        for process in self._restarted:
            process.wait()


def read_cluster(file_name: str) -> Cluster:
    """Reads the list of processes that the cluster script prints as JSON.

    Args:
        file_name: File that holds the JSON line.

    Raises:
        UsageError: If the file holds no such list.
    """
    body = read_input_file(file_name)
    try:
        listed = json.loads(body)
    except ValueError as error:
        raise UsageError(f'{file_name}: {error}') from error
    if isinstance(listed, dict):
        listed = listed.get('processes')
    if not isinstance(listed, list) or not listed:
        raise UsageError(f'{file_name}: expected a list of processes')
    return Cluster(tuple(_read_process(Fields(found)) for found in listed))


def _read_process(fields: Fields) -> ClusterProcess:
    command = fields.texts('command') or tuple(
        shlex.split(fields.text('command')),
    )
    return ClusterProcess(
        role=fields.text('role'),
        name=fields.text('name'),
        pid=fields.integer('pid'),
        url=fields.text('url'),
        command=command,
    )


async def find_leader(
    cluster: Cluster,
    transport: Transport,
) -> ClusterProcess:
    """Returns the entry whose metrics report that it is the leader.

    Args:
        cluster: The cluster.
        transport: Sends the requests.

    Raises:
        UsageError: If no entry reports so.
    """
    for entry in cluster.of_role('entry'):
        if await _is_leader(entry, transport):
            return entry
    raise UsageError('no entry of the cluster leads')


async def _is_leader(entry: ClusterProcess, transport: Transport) -> bool:
    """Whether an entry reports that it leads; False if unreachable."""
    try:
        metrics = await Client(transport, (entry.url,)).metrics()
    except ClientError:
        return False
    return metrics.child('state').integer('leads') == 1


async def find_busiest_agent(
    cluster: Cluster,
    transport: Transport,
) -> ClusterProcess:
    """Returns the agent whose upstream is running the most tasks.

    Args:
        cluster: The cluster.
        transport: Sends the requests.

    Raises:
        UsageError: If the cluster has no agent.
    """
    running = {
        upstream.name: await _running_tasks(upstream, transport)
        for upstream in cluster.of_role('upstream')
    }
    agents = cluster.of_role('agent')
    if not agents:
        raise UsageError('the cluster file lists no agent')
    return max(agents, key=lambda agent: running.get(agent.name, 0))


async def _running_tasks(
    upstream: ClusterProcess,
    transport: Transport,
) -> int:
    """Returns the number of running tasks of an upstream, 0 if unreachable."""
    try:
        response = await transport.send(
            upstream.url, HttpRequest('GET', '/healthz')
        )
    except EntryError:
        return 0
    return Fields.decode(response.body).integer('running')
