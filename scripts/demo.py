"""Runs a job on a local system end to end; used by `make demo`.

Starts `cactusheadd local` with a temporary data folder, submits a document
and a job of 50 tasks of mixed duration through `cactushead`, prints the replies
and the time spent in each stage, and stops the system by SIGTERM.
"""

import json
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import httpcore

LOOPBACK = '127.0.0.1'
SERVICE = 'orders'
JOB_KEY = 'demo-1'
TASKS = 50
SLOTS = 8
SEED = 1
TASK_DURATIONS_MS = (50, 50, 50, 100, 100, 200, 400, 1000)
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.05
HTTP_OK = 200
MS_PER_S = 1000
# Task index of time line events that concern the entire job.
JOB_EVENT_INDEX = -1
TASK_STAGES = (
    ('waiting for a slot', 'job submitted', 'task assigned'),
    ('from the leader to the upstream', 'task assigned', 'task started'),
    ('at the upstream', 'task started', 'task ended'),
    ('back to the leader', 'task ended', 'task outcome received'),
)

DOCUMENT = {
    'service': SERVICE,
    'version': 1,
    'team': 'order-desk',
    'limits': {'concurrent_tasks': SLOTS, 'queue_tasks': 1000},
    'requests': {
        'stock-check': {'repeatable': True, 'timeout_s': 5},
        'booking': {'repeatable': False, 'timeout_s': 5},
    },
}


def main() -> int:
    """Runs the demonstration.

    Returns:
        The exit code.
    """
    programs = Path(sys.executable).parent
    with tempfile.TemporaryDirectory(prefix='cactushead-demo-') as name:
        return _run(programs, Path(name))


def _run(programs: Path, folder: Path) -> int:
    port = _find_free_port()
    _print_line(f'starting cactusheadd local on port {port}')
    daemon = subprocess.Popen(
        [
            programs / 'cactusheadd',
            'local',
            f'--data_dir={folder}/data',
            f'--port={port}',
            f'--log_file={folder}/local.log',
        ],
    )
    try:
        _run_demo(programs, folder, f'http://{LOOPBACK}:{port}')
    finally:
        daemon.send_signal(signal.SIGTERM)
        status = daemon.wait(STOP_TIMEOUT_S)
    _print_line(f'cactusheadd has drained and exited with {status}')
    return status


def _run_demo(programs: Path, folder: Path, url: str) -> None:
    _wait_until_ready(url)
    document = folder / 'orders.json'
    document.write_text(json.dumps(DOCUMENT), encoding='utf-8')
    tasks = folder / 'tasks.jsonl'
    durations_ms = random.Random(SEED).choices(TASK_DURATIONS_MS, k=TASKS)
    tasks.write_text(_make_tasks(durations_ms), encoding='utf-8')
    cactushead = (str(programs / 'cactushead'), f'--entry={url}')
    _run_command(*cactushead, 'document', 'submit', str(document))
    _run_command(
        *cactushead,
        'submit',
        SERVICE,
        'stock-check',
        f'--file={tasks}',
        f'--key={JOB_KEY}',
    )
    _print_durations(url, durations_ms)


def _make_tasks(durations_ms: list[int]) -> str:
    lines = [
        json.dumps({'input': {'value': f'row {row}', 'sleep_ms': duration_ms}})
        for row, duration_ms in enumerate(durations_ms)
    ]
    return '\n'.join(lines)


def _print_durations(url: str, durations_ms: list[int]) -> None:
    """Prints the time spent in each stage, computed from the time line."""
    events = _read_timeline(url)
    times_s = {event['kind']: event['wall_s'] for event in reversed(events)}
    work_s = sum(durations_ms) / MS_PER_S
    lower_bound_s = max(work_s / SLOTS, max(durations_ms) / MS_PER_S)
    job_s = times_s['job answered'] - times_s['job submitted']
    _print_line(
        f'{work_s:.2f} s of work in {len(durations_ms)} tasks on {SLOTS} slots:'
    )
    _print_line(
        f'  {lower_bound_s:.2f} s at best, {job_s:.2f} s from request to answer'
    )
    _print_line('where the time of a task went, in ms (mean and longest):')
    for name, first, last in TASK_STAGES:
        stage_ms = _measure_stage_ms(events, first, last)
        mean_ms = sum(stage_ms) / len(stage_ms)
        _print_line(f'  {name:32} {mean_ms:8.1f} {max(stage_ms):8.1f}')


def _read_timeline(url: str) -> list[dict[str, Any]]:
    response = httpcore.request('GET', f'{url}/v1/timeline?job={JOB_KEY}')
    return [json.loads(line) for line in response.content.splitlines()]


def _measure_stage_ms(
    events: list[dict[str, Any]],
    first: str,
    last: str,
) -> list[float]:
    """Returns the time between two events of each task, in milliseconds.

    Tasks without the first event use that of the job.
    """
    starts_s = _times_by_task(events, first)
    ends_s = _times_by_task(events, last)
    return [
        (end_s - starts_s.get(task, starts_s.get(JOB_EVENT_INDEX, end_s)))
        * MS_PER_S
        for task, end_s in ends_s.items()
    ]


def _times_by_task(
    events: list[dict[str, Any]],
    kind: str,
) -> dict[int, float]:
    return {
        event['task_index']: event['wall_s']
        for event in events
        if event['kind'] == kind
    }


def _wait_until_ready(url: str) -> None:
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while not _is_ready(url):
        if time.monotonic() > deadline_s:
            raise TimeoutError(f'{url} is not ready in {READY_TIMEOUT_S} s')
        time.sleep(POLL_S)


def _is_ready(url: str) -> bool:
    try:
        return httpcore.request('GET', f'{url}/readyz').status == HTTP_OK
    except httpcore.NetworkError:
        return False


def _run_command(*command: str) -> None:
    _print_line(f'$ cactushead {" ".join(command[1:])}')
    subprocess.run(command, check=True)


def _find_free_port() -> int:
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
