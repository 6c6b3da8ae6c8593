"""Commands for jobs."""

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
from ..output import with_progress, write_error_line, write_json, write_line
from .context import EXIT_SUCCESS, Context
from .options import parse_task_inputs, parse_task_lines

DEFAULT_DEADLINE_S = 60.0


@dataclass(frozen=True, slots=True)
class TaskSource:
    """Source of the tasks of a submission.

    Attributes:
        inputs: Task inputs from the command line, JSON texts.
        file_name: File with one task per line, empty if not given.
        cores: Declared cores of each input, None if undeclared.
        memory_mb: Declared memory of each input, None if undeclared.
    """

    inputs: tuple[str, ...]
    file_name: str
    cores: float | None
    memory_mb: float | None

    def read_tasks(self) -> tuple[TaskInput, ...]:
        """Reads the tasks from the inputs or the file.

        Raises:
            UsageError: If there is no task, both sources are given, or a task
                is invalid.
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


def generate_key() -> str:
    """Returns a random idempotency key."""
    return uuid.uuid4().hex


def default_caller() -> str:
    """Returns the name of the user who runs the command."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return 'operator'


async def submit_job(context: Context, submission: Submission) -> int:
    """Submits a job and shows its state and results.

    Raises:
        JobFailedError: If the job is in the state `failed`.
    """
    client = context.make_client()
    view = await with_progress(
        f'waiting for job {submission.key}',
        lambda: client.submit(submission),
    )
    return show_job(context, view)


async def show_status(context: Context, service: str, key: str) -> int:
    """Shows the current state of a job.

    Raises:
        JobFailedError: If the job is in the state `failed`.
    """
    return show_job(context, await context.make_client().job(service, key))


async def cancel_job(context: Context, service: str, key: str) -> int:
    """Cancels a job and shows its state."""
    view = await context.make_client().cancel(service, key)
    _write_job(context, view)
    return EXIT_SUCCESS


def show_job(context: Context, view: JobView) -> int:
    """Writes a job's state and results.

    Raises:
        JobFailedError: If the job is in the state `failed`.
    """
    if view.state == 'failed':
        raise JobFailedError(view)
    _write_job(context, view)
    return EXIT_SUCCESS


def _write_job(context: Context, view: JobView) -> None:
    if context.as_json:
        write_json(asdict(view))
        return
    write_line(f'job {view.key}: {describe_state(view)}')
    for index, task_result in enumerate(view.results):
        write_line(f'  {index}: {task_result!r}')


def describe_state(view: JobView) -> str:
    """Returns a description of a job's state for the text output.

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


def write_generated_key(context: Context, key: str) -> None:
    """Writes a generated key to standard error, for resubmissions.

    Args:
        context: Options of all commands.
        key: The idempotency key.
    """
    write_error_line(f'idempotency key: {key}')
