"""The processes of a running cluster, as `scripts/cluster.py` lists them."""

import json
import os
import shlex
import signal
import subprocess  # noqa: S404  restarts a process by its own command
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
        pid: Its process id.
        url: Its HTTP address, empty for none.
        command: The command that starts it again.
    """

    role: str
    name: str
    pid: int
    url: str
    command: tuple[str, ...]


class Cluster:
    """Ends, freezes and restarts processes, each by its own id."""

    def __init__(self, processes: tuple[ClusterProcess, ...]) -> None:
        """Keeps the listed processes."""
        self._processes = processes
        self._restarted: list[subprocess.Popen[bytes]] = []

    def of_role(self, role: str) -> list[ClusterProcess]:
        """Returns the processes of a role, in the order of the list."""
        return [process for process in self._processes if process.role == role]

    def kill(self, process: ClusterProcess) -> None:
        """Kills a process at once."""
        os.kill(process.pid, signal.SIGKILL)

    def terminate(self, process: ClusterProcess) -> None:
        """Asks a process to stop gracefully."""
        os.kill(process.pid, signal.SIGTERM)

    def freeze(self, process: ClusterProcess) -> None:
        """Stops a process in its tracks."""
        os.kill(process.pid, signal.SIGSTOP)

    def thaw(self, process: ClusterProcess) -> None:
        """Lets a frozen process go on."""
        os.kill(process.pid, signal.SIGCONT)

    def restart(self, process: ClusterProcess) -> None:
        """Starts a process again by its command."""
        self._restarted.append(subprocess.Popen(process.command))  # noqa: S603

    def close(self) -> None:
        """Ends the processes that were restarted here."""
        for started in self._restarted:
            started.terminate()
        for ended in self._restarted:
            ended.wait()


def read_cluster(file_name: str) -> Cluster:
    """Reads the JSON line that the cluster script prints.

    Args:
        file_name: File that holds the line.

    Raises:
        UsageError: If the file doesn't hold such a list.
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
        pid=fields.whole('pid'),
        url=fields.text('url'),
        command=command,
    )


async def find_leader(
    cluster: Cluster,
    transport: Transport,
) -> ClusterProcess:
    """Returns the entry that says of itself that it leads.

    Args:
        cluster: The cluster.
        transport: Carries the requests.

    Raises:
        UsageError: If no entry does.
    """
    for entry in cluster.of_role('entry'):
        if await _leads(entry, transport):
            return entry
    raise UsageError('no entry of the cluster leads')


async def _leads(entry: ClusterProcess, transport: Transport) -> bool:
    try:
        metrics = await Client(transport, (entry.url,)).metrics()
    except ClientError:
        return False
    return metrics.child('state').whole('leads') == 1


async def find_busy_agent(
    cluster: Cluster,
    transport: Transport,
) -> ClusterProcess:
    """Returns the agent whose upstream runs the most tasks now.

    Args:
        cluster: The cluster.
        transport: Carries the requests.

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
    try:
        reply = await transport.send(
            upstream.url, HttpRequest('GET', '/healthz')
        )
    except EntryError:
        return 0
    return Fields.decode(reply.body).whole('running')
