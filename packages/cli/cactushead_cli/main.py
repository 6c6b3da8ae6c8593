"""Entry point of the `cactushead` command."""

import sys
from collections.abc import Sequence

import fire
import trio
from cactushead_core.errors import CactusheadError, InvalidInputError

from .client import JobFailedError, JsonValue, RefusedError, UsageError
from .commands import EXIT_FAILED, EXIT_USAGE_ERROR, Action, Cactushead
from .commands.options import expand_flags
from .output import write_error_line, write_json

PROGRAM = 'cactushead'
EXIT_INTERRUPTED = 130
HTTP_SERVER_ERROR = 500


def main() -> None:
    """Runs the command line and exits."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: Sequence[str]) -> int:
    """Runs one command line.

    Args:
        arguments: The arguments after the program's name.

    Returns:
        The exit code: 0 for success, 1 for a refusal or failure, 2 for a
        usage error, 130 after an interrupt.
    """
    expanded = expand_flags(arguments)
    try:
        return _run(expanded)
    except UsageError as error:
        write_error_line(f'{PROGRAM}: {error}')
        return EXIT_USAGE_ERROR
    except CactusheadError as error:
        _write_error(error, '--json=True' in expanded)
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED


def _run(arguments: list[str]) -> int:
    action = fire.Fire(Cactushead, arguments, PROGRAM, serialize=_hide_action)
    if not isinstance(action, Action):
        return EXIT_USAGE_ERROR
    try:
        return trio.run(action.perform)
    except BaseExceptionGroup as group:
        raise _first_exception(group) from group


def _first_exception(group: BaseExceptionGroup) -> BaseException:
    """Returns the first exception of a group, through nested groups.

    Trio wraps the exceptions of nurseries in groups.
    """
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _hide_action(component: object) -> object:
    """Replaces an action by None, so that fire prints nothing for it."""
    return None if isinstance(component, Action) else component


def _write_error(error: CactusheadError, as_json: bool) -> None:
    if as_json:
        write_json(encode_error(error))
        return
    if not isinstance(error, InvalidInputError):
        write_error_line(f'{PROGRAM}: {error}')
    for line in _detail_lines(error):
        write_error_line(line)


def _detail_lines(error: CactusheadError) -> list[str]:
    if isinstance(error, InvalidInputError):
        headline = f'{PROGRAM}: {error.subject}: {len(error.findings)} findings'
        return [headline, *(f'  {finding}' for finding in error.findings)]
    if isinstance(error, JobFailedError):
        return ['  no task was run'] if error.view.not_run else []
    if isinstance(error, RefusedError):
        return _refusal_lines(error)
    return []


def _refusal_lines(error: RefusedError) -> list[str]:
    lines = [f'  {finding}' for finding in error.findings]
    if error.not_run:
        lines.append('  nothing was run')
    elif error.status >= HTTP_SERVER_ERROR:
        lines.append('  it is not known that nothing was run')
    if error.retry_after_s:
        lines.append(f'  try again after {error.retry_after_s:g} s')
    return lines


def encode_error(error: CactusheadError) -> 'dict[str, JsonValue]':
    """Returns an error as a JSON object.

    Args:
        error: The error.
    """
    fields: dict[str, JsonValue] = {'error': str(error)}
    if isinstance(error, (InvalidInputError, RefusedError)):
        fields['findings'] = [
            {'place': finding.place, 'finding': finding.finding}
            for finding in error.findings
        ]
    if isinstance(error, RefusedError):
        fields['status'] = error.status
        fields['not_run'] = error.not_run
        fields['retry_after_s'] = error.retry_after_s
    if isinstance(error, JobFailedError):
        fields['job'] = error.view.key
        fields['state'] = error.view.state
        fields['not_run'] = error.view.not_run
    return fields
