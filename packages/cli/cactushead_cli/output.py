"""What commands write to standard output and standard error."""

import json
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import outcome
import trio

from .client import JsonValue

PROGRESS_S = 2.0

Result = TypeVar('Result')


def write_line(text: str) -> None:
    """Writes one line to standard output."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def write_note(text: str) -> None:
    """Writes one line to standard error."""
    sys.stderr.write(f'{text}\n')
    sys.stderr.flush()


def write_json(content: 'JsonValue') -> None:
    """Writes one line of JSON to standard output."""
    write_line(json.dumps(content, ensure_ascii=False))


def format_table(rows: Sequence[Sequence[str]]) -> list[str]:
    """Returns the lines of a table with aligned columns.

    Examples:
        >>> format_table([('name', 'p50'), ('response', '1.02')])
        ['name      p50', 'response  1.02']

    Args:
        rows: The rows, all of the same length, the head first.
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
    work: Callable[[], Awaitable[Result]],
) -> Result:
    """Does work and reports on standard error, regularly, that it goes on.

    Args:
        subject: What goes on, such as `waiting for job k1`.
        work: The work.

    Returns:
        What the work returns; its exceptions pass through as they are.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_report_progress, subject)
        ended = await outcome.acapture(work)
        nursery.cancel_scope.cancel()
    return ended.unwrap()


async def _report_progress(subject: str) -> None:
    begun_s = trio.current_time()
    while True:
        await trio.sleep(PROGRESS_S)
        passed_s = trio.current_time() - begun_s
        write_note(f'{subject}, {passed_s:.0f} s')
