"""CPU time and memory of the cluster's processes, read from `/proc`."""

import os
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from .cluster import Cluster, ClusterProcess

ROLES = ('entry', 'agent', 'upstream')
USER_TIME_FIELD = 11
SYSTEM_TIME_FIELD = 12
RESIDENT_PAGES_FIELD = 21
BYTES_PER_MB = 1024 * 1024


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Resource usage of one process.

    Attributes:
        role: Role of the process.
        cpu_s: User and system CPU time since the process started.
        resident_mb: Resident memory at the time of reading.
    """

    role: str
    cpu_s: float
    resident_mb: float


@dataclass(frozen=True, slots=True)
class RoleUsage:
    """Resource usage of the processes of one role during a run.

    Attributes:
        role: The role.
        processes: Number of processes that ran from the start to the end of
            the run; killed ones are not counted.
        cpu_s: CPU time of these processes.
        largest_mb: Largest resident memory among these processes.
    """

    role: str
    processes: int
    cpu_s: float
    largest_mb: float


def parse_stat(role: str, text: str) -> ProcessUsage:
    """Parses the content of `/proc/PID/stat`.

    Args:
        role: Role of the process.
        text: The line; the process name in it may contain spaces and
            parentheses.
    """
    fields = text.rsplit(')', 1)[1].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
    resident_bytes = int(fields[RESIDENT_PAGES_FIELD]) * os.sysconf(
        'SC_PAGE_SIZE'
    )
    return ProcessUsage(
        role,
        ticks / os.sysconf('SC_CLK_TCK'),
        resident_bytes / BYTES_PER_MB,
    )


def read_usage(cluster: Cluster | None) -> dict[int, ProcessUsage]:
    """Returns the usage of each running process, by process id.

    Args:
        cluster: The cluster, None if no cluster file was given.
    """
    if cluster is None:
        return {}
    readings = {
        process.pid: _read_process(process)
        for role in ROLES
        for process in cluster.of_role(role)
    }
    return {pid: usage for pid, usage in readings.items() if usage is not None}


def compute_role_usage(
    before: Mapping[int, ProcessUsage],
    after: Mapping[int, ProcessUsage],
) -> tuple[RoleUsage, ...]:
    """Returns the usage of each role between two readings.

    Args:
        before: The earlier reading, by process id.
        after: The later reading, by process id.
    """
    pids = before.keys() & after.keys()
    roles = [
        _sum_usage(
            role,
            [before[pid] for pid in pids if before[pid].role == role],
            [after[pid] for pid in pids if after[pid].role == role],
        )
        for role in ROLES
    ]
    return tuple(usage for usage in roles if usage.processes)


def _sum_usage(
    role: str,
    before: Sequence[ProcessUsage],
    after: Sequence[ProcessUsage],
) -> RoleUsage:
    """Sums the usage of one role; both readings hold the same processes."""
    earlier_s = sum(usage.cpu_s for usage in before)
    later_s = sum(usage.cpu_s for usage in after)
    largest_mb = max((usage.resident_mb for usage in after), default=0.0)
    return RoleUsage(role, len(after), later_s - earlier_s, largest_mb)


def _read_process(process: ClusterProcess) -> ProcessUsage | None:
    """Returns the usage of a process, None if it isn't running."""
    try:
        text = Path(f'/proc/{process.pid}/stat').read_text(encoding='utf-8')
    except OSError:
        return None
    return parse_stat(process.role, text)
