"""Start records, which the test upstreams write for each task start."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from ..client import Fields, UsageError

STARTS_PATTERN = 'starts/*.jsonl'


@dataclass(frozen=True, slots=True)
class TaskStart:
    """One start of a task on an upstream.

    Attributes:
        upstream: Name of the upstream.
        job_key: Idempotency key of the job.
        task_index: Index of the task in its job.
        time_s: Wall clock time of the start.
    """

    upstream: str
    job_key: str
    task_index: int
    time_s: float


def read_starts(starts_dir: str, run: str) -> list[TaskStart]:
    """Reads the start records of one run's jobs.

    Args:
        starts_dir: Folder that holds `starts/*.jsonl` or `*.jsonl` files.
        run: Prefix of the run's idempotency keys.

    Raises:
        UsageError: If the folder holds no start record files.
    """
    folder = Path(starts_dir)
    files = sorted(folder.glob(STARTS_PATTERN)) or sorted(
        folder.glob('*.jsonl'),
    )
    if not files:
        raise UsageError(f'no start records (*.jsonl) in {starts_dir}')
    prefix = f'{run}-'
    return [
        start
        for file in files
        for start in _read_file(file)
        if start.job_key.startswith(prefix)
    ]


def _read_file(file: Path) -> Iterable[TaskStart]:
    """Yields the starts in one file, which is named after its upstream."""
    for line in file.read_bytes().splitlines():
        fields = Fields.decode(line)
        yield TaskStart(
            upstream=file.stem,
            job_key=fields.text('job_key'),
            task_index=fields.integer('task_index', -1),
            time_s=fields.number('time_s'),
        )


def count_starts(starts: Iterable[TaskStart]) -> 'Counter[tuple[str, int]]':
    """Returns the number of starts by job key and task index."""
    return Counter((start.job_key, start.task_index) for start in starts)
