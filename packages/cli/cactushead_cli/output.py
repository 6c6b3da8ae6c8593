"""Output of commands to standard output and standard error."""

import json
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import outcome
import trio

from .client import JsonValue

PROGRESS_INTERVAL_S = 2.0

Result = TypeVar('Result')


def write_line(text: str) -> None:
    """Writes one line to standard output."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def write_error_line(text: str) -> None:
    """Writes one line to standard error."""
    sys.stderr.write(f'{text}\n')
    sys.stderr.flush()


def write_json(content: 'JsonValue') -> None:
    """Writes a JSON value as one line to standard output."""
    write_line(json.dumps(content, ensure_ascii=False))


def format_table(rows: Sequence[Sequence[str]]) -> list[str]:
    """Returns the lines of a table with aligned columns.

    Examples:
        >>> format_table([('name', 'p50'), ('response', '1.02')])
        ['name      p50', 'response  1.02']

    Args:
        rows: The rows, all of the same length, the header first.
    """
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


async def with_progress(
    subject: str,
    operation: Callable[[], Awaitable[Result]],
) -> Result:
    """Runs an operation and reports its progress on standard error.

    The elapsed time is written at a fixed interval.

    Args:
        subject: Name of the operation, such as `waiting for job k1`.
        operation: The operation.

    Returns:
        The result of the operation. Its exceptions are raised as they are,
        not wrapped in a group.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_report_progress, subject)
        captured = await outcome.acapture(operation)
        nursery.cancel_scope.cancel()
    return captured.unwrap()


async def _report_progress(subject: str) -> None:
    started_s = trio.current_time()
    while True:
        await trio.sleep(PROGRESS_INTERVAL_S)
        elapsed_s = trio.current_time() - started_s
        write_error_line(f'{subject}, {elapsed_s:.0f} s')
