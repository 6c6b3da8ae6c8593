"""Names of tasks and runs in the log."""

from collections.abc import Collection, Iterable
from itertools import islice

from .model import TaskRef

# A line names at most this many runs, so that its length is bounded.
MAX_NAMED = 20


def name_task(task: TaskRef) -> str:
    """Returns the name of a task in the log.

    Examples:
        >>> name_task(TaskRef('a1', 0, 3))
        'a1.0.3'

    Args:
        task: The task.
    """
    return f'{task.job}.{task.step}.{task.index}'


def name_run(task: TaskRef, run: int) -> str:
    """Returns the name of a run in the log.

    Examples:
        >>> name_run(TaskRef('a1', 0, 3), 2)
        'a1.0.3/2'

    Args:
        task: The task.
        run: Number of the run.
    """
    return f'{name_task(task)}/{run}'


def join_names(names: Collection[str]) -> str:
    """Returns the first names and the number of the others.

    Examples:
        >>> join_names(['a1.0.0/1', 'a1.0.1/1'])
        'a1.0.0/1; a1.0.1/1'
        >>> join_names([str(number) for number in range(25)])[-18:]
        '18; 19; and 5 more'

    Args:
        names: The names.
    """
    shown: Iterable[str] = islice(names, MAX_NAMED)
    more = len(names) - MAX_NAMED
    if more > 0:
        shown = (*shown, f'and {more} more')
    return '; '.join(shown)
