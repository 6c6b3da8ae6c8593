"""Commands about jobs."""

import getpass
import uuid
from dataclasses import asdict, dataclass

from ..addresses import read_input_file
from ..client import (
    JobFailedError,
    JobView,
    Submission,
    TaskInput,
    UsageError,
)
from ..output import with_progress, write_json, write_line, write_note
from .context import EXIT_DONE, Context
from .options import parse_task_inputs, parse_task_lines

DEFAULT_DEADLINE_S = 60.0


@dataclass(frozen=True, slots=True)
class TaskSource:
    """Where the tasks of a submission come from.

    Attributes:
        inputs: JSON texts given on the command line.
        file_name: File with one task a line, empty for none.
        cores: Declared cores of the inputs, None to declare nothing.
        memory_mb: Declared memory of the inputs, None to declare nothing.
    """

    inputs: tuple[str, ...]
    file_name: str
    cores: float | None
    memory_mb: float | None

    def read(self) -> tuple[TaskInput, ...]:
        """Returns the tasks.

        Raises:
            UsageError: If there is none, two sources, or one can't be read.
        """
        if self.inputs and self.file_name:
            raise UsageError('give --input or --file, not both')
        if self.file_name:
            body = read_input_file(self.file_name)
            tasks = parse_task_lines(self.file_name, body)
        else:
            tasks = tuple(
                TaskInput(content, self.cores, self.memory_mb)
                for content in parse_task_inputs(self.inputs)
            )
        if not tasks:
            raise UsageError('no task given, use --input or --file')
        return tasks


def new_key() -> str:
    """Returns a fresh idempotency key."""
    return uuid.uuid4().hex


def default_caller() -> str:
    """Returns the name of the user who runs the command."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return 'operator'


async def submit_job(context: Context, submission: Submission) -> int:
    """Submits a job and shows its answer.

    Raises:
        JobFailedError: If the job ended as failed.
    """
    client = context.client()
    view = await with_progress(
        f'waiting for job {submission.key}',
        lambda: client.submit(submission),
    )
    return show_job(context, view)


async def show_status(context: Context, service: str, key: str) -> int:
    """Shows the present state of a job."""
    return show_job(context, await context.client().job(service, key))


async def cancel_job(context: Context, service: str, key: str) -> int:
    """Cancels a job and shows its state."""
    view = await context.client().cancel(service, key)
    _write_job(context, view)
    return EXIT_DONE


def show_job(context: Context, view: JobView) -> int:
    """Writes a job's state and answer.

    Raises:
        JobFailedError: If the job ended as failed.
    """
    if view.state == 'failed':
        raise JobFailedError(view)
    _write_job(context, view)
    return EXIT_DONE


def _write_job(context: Context, view: JobView) -> None:
    if context.as_json:
        write_json(asdict(view))
        return
    write_line(f'job {view.key}: {describe_state(view)}')
    for index, found in enumerate(view.results):
        write_line(f'  {index}: {found!r}')


def describe_state(view: JobView) -> str:
    """Returns a job's state in words.

    Examples:
        >>> describe_state(JobView('s', 'k', 'running', tasks=4, ended_tasks=1))
        'running, 1 of 4 tasks ended'
        >>> describe_state(JobView('s', 'k', 'failed', error='cancelled'))
        'failed: cancelled'
    """
    if view.error:
        suffix = ' (no task was run)' if view.not_run else ''
        return f'{view.state}: {view.error}{suffix}'
    if view.tasks and not view.final:
        return f'{view.state}, {view.ended_tasks} of {view.tasks} tasks ended'
    return view.state


def announce_key(context: Context, key: str) -> None:
    """Notes a generated key, with which the caller may resubmit.

    Args:
        context: Shared options.
        key: The key.
    """
    write_note(f'idempotency key: {key}')
