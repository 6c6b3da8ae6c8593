"""Processor time and memory of the cluster's processes, from `/proc`."""

import os
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from .cluster import Cluster, ClusterProcess

ROLES = ('entry', 'agent', 'upstream')
USER_TICKS = 11
SYSTEM_TICKS = 12
RESIDENT_PAGES = 21
BYTES_PER_MB = 1024 * 1024


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What one process has used.

    Attributes:
        role: Its role.
        cpu_s: Processor time since it started.
        resident_mb: Resident memory now.
    """

    role: str
    cpu_s: float
    resident_mb: float


@dataclass(frozen=True, slots=True)
class RoleUsage:
    """What the processes of one role used in a run.

    Attributes:
        role: The role.
        processes: Processes that lived through the run; a killed one isn't
            counted.
        cpu_s: Their processor time.
        largest_mb: Resident memory of the largest.
    """

    role: str
    processes: int
    cpu_s: float
    largest_mb: float


def parse_stat(role: str, text: str) -> ProcessUsage:
    """Reads a process's line in `/proc/PID/stat`.

    Args:
        role: Role of the process.
        text: The line; the name in it may hold spaces and brackets.
    """
    fields = text.rsplit(')', 1)[1].split()
    ticks = int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])
    resident_bytes = int(fields[RESIDENT_PAGES]) * os.sysconf('SC_PAGE_SIZE')
    return ProcessUsage(
        role,
        ticks / os.sysconf('SC_CLK_TCK'),
        resident_bytes / BYTES_PER_MB,
    )


def read_usage(cluster: Cluster | None) -> dict[int, ProcessUsage]:
    """Returns the usage of each process that lives, by process id.

    Args:
        cluster: The cluster, None if its processes aren't known.
    """
    if cluster is None:
        return {}
    found = {
        process.pid: _read_process(process)
        for role in ROLES
        for process in cluster.of_role(role)
    }
    return {pid: usage for pid, usage in found.items() if usage is not None}


def used_between(
    before: Mapping[int, ProcessUsage],
    after: Mapping[int, ProcessUsage],
) -> tuple[RoleUsage, ...]:
    """Returns what each role used between two readings.

    Args:
        before: The earlier reading.
        after: The later one.
    """
    pids = before.keys() & after.keys()
    roles = [
        _role_usage(
            role,
            [before[pid] for pid in pids if before[pid].role == role],
            [after[pid] for pid in pids if after[pid].role == role],
        )
        for role in ROLES
    ]
    return tuple(usage for usage in roles if usage.processes)


def _role_usage(
    role: str,
    before: Sequence[ProcessUsage],
    after: Sequence[ProcessUsage],
) -> RoleUsage:
    earlier_s = sum(usage.cpu_s for usage in before)
    later_s = sum(usage.cpu_s for usage in after)
    largest_mb = max((usage.resident_mb for usage in after), default=0.0)
    return RoleUsage(role, len(after), later_s - earlier_s, largest_mb)


def _read_process(process: ClusterProcess) -> ProcessUsage | None:
    try:
        text = Path(f'/proc/{process.pid}/stat').read_text(encoding='utf-8')
    except OSError:
        return None
    return parse_stat(process.role, text)
