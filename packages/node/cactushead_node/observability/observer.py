"""The observer of a process's effects."""

import logging

from cactushead_core.effects import Count, Measure, Record

from ..ports import Observer
from .meters import Meters
from .timeline import Timeline


class ProcessObserver(Observer):
    """Keeps the time line and the metrics, and logs the events for people."""

    def __init__(self, part: str, timeline: Timeline, meters: Meters) -> None:
        """Joins the parts.

        Args:
            part: Prefix of log lines, such as `entry`.
            timeline: Takes the events.
            meters: Takes the measurements.
        """
        self._log = logging.getLogger(f'cactushead.{part}')
        self._timeline = timeline
        self._meters = meters

    def record(self, effect: Record) -> None:
        """Adds an event to the time line."""
        self._timeline.record(effect)
        if effect.logged:
            self._log.info(event_sentence(effect))

    def measure(self, effect: Measure) -> None:
        """Adds a duration to a histogram."""
        self._meters.measure(effect)

    def count(self, effect: Count) -> None:
        """Adds to a counter."""
        self._meters.count(effect)


def event_sentence(effect: Record) -> str:
    """Returns an event as a short sentence.

    Examples:
        >>> event_sentence(Record('leader elected', subject='e1', detail='3'))
        'leader elected: e1, 3'

    Args:
        effect: The event.
    """
    task = '' if effect.job is None else effect.job.task_id(effect.task_index)
    if effect.job is not None and effect.task_index < 0:
        task = f'{effect.job.service}/{effect.job.key}'
    about = [text for text in (task, effect.subject, effect.detail) if text]
    return f'{effect.kind}: {", ".join(about)}' if about else effect.kind
