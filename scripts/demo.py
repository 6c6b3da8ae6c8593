"""Shows a whole small system at work; what `make demo` runs.

Starts `cactusheadd local` with a temporary data folder, submits a document
and a job of 50 tasks of mixed length through `cactushead`, prints the answers
and where the time went, and stops the system by SIGTERM.
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

import httpcore

LOOPBACK = '127.0.0.1'
SERVICE = 'orders'
JOB_KEY = 'demo-1'
TASKS = 50
SLOTS = 8
SEED = 1
LENGTHS_MS = (50, 50, 50, 100, 100, 200, 400, 1000)
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.05
OK = 200
MS_PER_S = 1000

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
    port = _find_port()
    _say(f'starting cactusheadd local on port {port}')
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
        _show(programs, folder, f'http://{LOOPBACK}:{port}')
    finally:
        daemon.send_signal(signal.SIGTERM)
        status = daemon.wait(STOP_TIMEOUT_S)
    _say(f'cactusheadd has drained and exited with {status}')
    return status


def _show(programs: Path, folder: Path, url: str) -> None:
    _wait_until_ready(url)
    document = folder / 'orders.json'
    document.write_text(json.dumps(DOCUMENT), encoding='utf-8')
    tasks = folder / 'tasks.jsonl'
    lengths_ms = random.Random(SEED).choices(LENGTHS_MS, k=TASKS)
    tasks.write_text(_make_tasks(lengths_ms), encoding='utf-8')
    cactushead = (str(programs / 'cactushead'), f'--entry={url}')
    _call(*cactushead, 'document', 'submit', str(document))
    began_s = time.monotonic()
    _call(
        *cactushead,
        'submit',
        SERVICE,
        'stock-check',
        f'--file={tasks}',
        f'--key={JOB_KEY}',
    )
    _report_time(lengths_ms, time.monotonic() - began_s)


def _make_tasks(lengths_ms: list[int]) -> str:
    lines = [
        json.dumps({'input': {'value': f'row {row}', 'sleep_ms': length_ms}})
        for row, length_ms in enumerate(lengths_ms)
    ]
    return '\n'.join(lines)


def _report_time(lengths_ms: list[int], elapsed_s: float) -> None:
    work_s = sum(lengths_ms) / MS_PER_S
    bound_s = max(work_s / SLOTS, max(lengths_ms) / MS_PER_S)
    _say(f'{work_s:.2f} s of work in {len(lengths_ms)} tasks on {SLOTS} slots')
    _say(f'at least {bound_s:.2f} s with all slots busy all the time')
    _say(f'{elapsed_s:.2f} s from start to end of the command')


def _wait_until_ready(url: str) -> None:
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while not _is_ready(url):
        if time.monotonic() > deadline_s:
            raise TimeoutError(f'{url} is not ready in {READY_TIMEOUT_S} s')
        time.sleep(POLL_S)


def _is_ready(url: str) -> bool:
    try:
        return httpcore.request('GET', f'{url}/readyz').status == OK
    except httpcore.NetworkError:
        return False


def _call(*command: str) -> None:
    _say(f'$ cactushead {" ".join(command[1:])}')
    subprocess.run(command, check=True)


def _find_port() -> int:
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
