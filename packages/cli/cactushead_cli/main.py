"""Entry point of the `cactushead` command."""

import sys
from collections.abc import Sequence

import fire
import trio
from cactushead_core.errors import CactusheadError, InvalidInputError

from .client import JobFailedError, JsonValue, RefusedError, UsageError
from .commands import EXIT_BAD_USE, EXIT_FAILED, Action, Cactushead
from .commands.options import complete_flags
from .output import write_json, write_note

PROGRAM = 'cactushead'
EXIT_INTERRUPTED = 130
HTTP_SERVER_ERROR = 500


def main() -> None:
    """Runs the command line and exits."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: Sequence[str]) -> int:
    """Runs one command line.

    Args:
        arguments: The words after the program's name.

    Returns:
        0 done, 1 refused or failed, 2 bad use.
    """
    words = complete_flags(arguments)
    try:
        return _run(words)
    except UsageError as error:
        write_note(f'{PROGRAM}: {error}')
        return EXIT_BAD_USE
    except CactusheadError as error:
        _report(error, '--json=True' in words)
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED


def _run(words: list[str]) -> int:
    action = fire.Fire(Cactushead, words, PROGRAM, serialize=_hide_action)
    if not isinstance(action, Action):
        return EXIT_BAD_USE
    try:
        return trio.run(action.perform)
    except BaseExceptionGroup as group:
        raise _first_leaf(group) from group


def _first_leaf(group: BaseExceptionGroup) -> BaseException:
    """Returns the first error of a nursery, leaving out its cancellations."""
    leaf: BaseException = group
    while isinstance(leaf, BaseExceptionGroup):
        leaf = leaf.exceptions[0]
    return leaf


def _hide_action(component: object) -> object:
    return None if isinstance(component, Action) else component


def _report(error: CactusheadError, as_json: bool) -> None:
    if as_json:
        write_json(describe_error(error))
        return
    if not isinstance(error, InvalidInputError):
        write_note(f'{PROGRAM}: {error}')
    for line in _details(error):
        write_note(line)


def _details(error: CactusheadError) -> list[str]:
    if isinstance(error, InvalidInputError):
        head = f'{PROGRAM}: {error.subject}: {len(error.findings)} findings'
        return [head, *(f'  {found}' for found in error.findings)]
    if isinstance(error, JobFailedError):
        return ['  no task was run'] if error.view.not_run else []
    if isinstance(error, RefusedError):
        return _refusal_details(error)
    return []


def _refusal_details(error: RefusedError) -> list[str]:
    lines = [f'  {found}' for found in error.findings]
    if error.not_run:
        lines.append('  nothing was run')
    elif error.status >= HTTP_SERVER_ERROR:
        lines.append('  it is not known that nothing was run')
    if error.retry_after_s:
        lines.append(f'  try again after {error.retry_after_s:g} s')
    return lines


def describe_error(error: CactusheadError) -> 'dict[str, JsonValue]':
    """Returns an error as JSON.

    Args:
        error: The error.
    """
    found: dict[str, JsonValue] = {'error': str(error)}
    if isinstance(error, (InvalidInputError, RefusedError)):
        found['findings'] = [
            {'place': finding.place, 'finding': finding.finding}
            for finding in error.findings
        ]
    if isinstance(error, RefusedError):
        found['status'] = error.status
        found['not_run'] = error.not_run
        found['retry_after_s'] = error.retry_after_s
    if isinstance(error, JobFailedError):
        found['job'] = error.view.key
        found['state'] = error.view.state
        found['not_run'] = error.view.not_run
    return found
