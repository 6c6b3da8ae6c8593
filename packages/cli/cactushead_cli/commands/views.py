"""Commands that show events and metrics of the running system."""

import json
from datetime import UTC, datetime

from ..client import Fields, TimelineQuery
from ..output import format_table, write_json, write_line
from .context import EXIT_SUCCESS, Context

TIMELINE_COLUMNS = (
    'time',
    'process',
    'event',
    'job',
    'task',
    'about',
    'detail',
)


async def show_timeline(context: Context, query: TimelineQuery) -> int:
    """Shows the events of all processes, merged in order."""
    events = await context.make_client().timeline(query)
    if context.as_json:
        for event in events:
            write_json(event.raw)
        return EXIT_SUCCESS
    rows = [TIMELINE_COLUMNS, *map(format_event, events)]
    for line in format_table(rows):
        write_line(line)
    return EXIT_SUCCESS


async def show_metrics(context: Context) -> int:
    """Shows the metrics of the first entry that responds."""
    metrics = await context.make_client().metrics()
    if context.as_json:
        write_json(metrics.raw)
    else:
        write_line(json.dumps(metrics.raw, indent=2, sort_keys=True))
    return EXIT_SUCCESS


def format_event(event: Fields) -> list[str]:
    """Returns the table row of an event.

    Args:
        event: The event.
    """
    task_index = event.integer('task_index', -1)
    return [
        _format_time(event.number('wall_s', event.number('time_s'))),
        event.text('process'),
        event.text('kind'),
        _format_job(event),
        str(task_index) if task_index >= 0 else '',
        event.text('subject'),
        event.text('detail'),
    ]


def _format_time(wall_s: float) -> str:
    utc_time = datetime.fromtimestamp(wall_s, UTC)
    return utc_time.strftime('%H:%M:%S.%f')


def _format_job(event: Fields) -> str:
    """Returns service and key of the event's job, such as `sample/k1`."""
    parts = (event.text('service'), event.text('job') or event.text('key'))
    return '/'.join(part for part in parts if part)
