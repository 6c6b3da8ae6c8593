"""Measures memory, CPU utilization and traffic of running processes.

Explanation:
    Reads the JSON line that `scripts/cluster.py` prints, and samples each
    process twice. Traffic is the payload in both directions, as reported by
    `ss`, of the TCP connections that stay open between the samples.

Examples:
    python scripts/measure_idle.py --cluster cluster.json --seconds 20
"""

import json
import os
import re
import subprocess
import time
from dataclasses import dataclass
from pathlib import Path

import fire

KB_PER_MB = 1024
BYTES_PER_KB = 1000
FIRST_CPU_FIELD = 11
CPU_FIELDS = slice(FIRST_CPU_FIELD, FIRST_CPU_FIELD + 2)

_RESIDENT_PATTERN = re.compile(r'VmRSS:\s+(\d+)')
_OWNER_PATTERN = re.compile(r'pid=(\d+)')
_TRAFFIC_PATTERN = re.compile(r'bytes_(?:sent|received):(\d+)')


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """Resource usage of one process.

    Attributes:
        cpu_s: CPU time since its start.
        resident_mb: Resident memory.
        traffic_bytes: Payload of its open connections.
    """

    cpu_s: float
    resident_mb: float
    traffic_bytes: int


def measure(cluster: str, seconds: float = 20.0) -> None:
    """Prints one line for each entry and agent.

    Args:
        cluster: File with the line that `scripts/cluster.py` printed.
        seconds: Time between the samples.
    """
    processes = json.loads(Path(cluster).read_text().splitlines()[0])
    processes = [
        process for process in processes if process['role'] != 'upstream'
    ]
    before = _sample_all(processes)
    time.sleep(seconds)
    after = _sample_all(processes)
    for process in processes:
        name = process['name']
        cpu_s = after[name].cpu_s - before[name].cpu_s
        sent = after[name].traffic_bytes - before[name].traffic_bytes
        print(
            f'{process["role"]} {name}: {after[name].resident_mb:.1f} MB, '
            f'{cpu_s / seconds:.2%} of a core, '
            f'{sent / seconds / BYTES_PER_KB:.2f} KB/s',
        )


def _sample_all(processes: list[dict[str, str]]) -> dict[str, ProcessSample]:
    traffic = _count_traffic()
    return {
        process['name']: _sample(int(process['pid']), traffic)
        for process in processes
    }


def _sample(pid: int, traffic: dict[int, int]) -> ProcessSample:
    folder = Path('/proc') / str(pid)
    found = _RESIDENT_PATTERN.search((folder / 'status').read_text())
    assert found is not None, f'no VmRSS in the status of process {pid}'
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = sum(int(field) for field in fields[CPU_FIELDS])
    return ProcessSample(
        ticks / os.sysconf('SC_CLK_TCK'),
        int(found.group(1)) / KB_PER_MB,
        traffic.get(pid, 0),
    )


def _count_traffic() -> dict[int, int]:
    command = ('ss', '--tcp', '--info', '--processes', '--no-header')
    listed = subprocess.run(command, capture_output=True, check=True, text=True)
    traffic: dict[int, int] = {}
    pid = 0
    for line in listed.stdout.splitlines():
        owner = _OWNER_PATTERN.search(line)
        if owner is not None:
            pid = int(owner.group(1))
        payload = sum(int(size) for size in _TRAFFIC_PATTERN.findall(line))
        traffic[pid] = traffic.get(pid, 0) + payload
    return traffic


if __name__ == '__main__':
    fire.Fire(measure)
