"""Commands that show the running system."""

import json
from datetime import UTC, datetime

from ..client import Fields, TimelineQuery
from ..output import format_table, write_json, write_line
from .context import EXIT_DONE, Context

TIMELINE_HEAD = (
    'time',
    'process',
    'event',
    'job',
    'task',
    'about',
    'detail',
)


async def show_timeline(context: Context, query: TimelineQuery) -> int:
    """Shows the merged events of all processes."""
    events = await context.client().timeline(query)
    if context.as_json:
        for event in events:
            write_json(event.raw)
        return EXIT_DONE
    rows = [TIMELINE_HEAD, *map(event_row, events)]
    for line in format_table(rows):
        write_line(line)
    return EXIT_DONE


async def show_metrics(context: Context) -> int:
    """Shows the metrics of the entry that answers."""
    metrics = await context.client().metrics()
    if context.as_json:
        write_json(metrics.raw)
    else:
        write_line(json.dumps(metrics.raw, indent=2, sort_keys=True))
    return EXIT_DONE


def event_row(event: Fields) -> list[str]:
    """Returns an event's row in the text table.

    Args:
        event: The event.
    """
    task = event.whole('task_index', -1)
    return [
        _format_time(event.number('wall_s', event.number('time_s'))),
        event.text('process'),
        event.text('kind'),
        _format_job(event),
        str(task) if task >= 0 else '',
        event.text('subject'),
        event.text('detail'),
    ]


def _format_time(wall_s: float) -> str:
    moment = datetime.fromtimestamp(wall_s, UTC)
    return moment.strftime('%H:%M:%S.%f')


def _format_job(event: Fields) -> str:
    parts = (event.text('service'), event.text('job') or event.text('key'))
    return '/'.join(part for part in parts if part)
