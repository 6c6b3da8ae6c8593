"""Observer that records the effects of a process."""

import logging

from cactushead_core.effects import Count, Measure, Record

from ..ports import Observer
from .metrics_recorder import MetricsRecorder
from .timeline import Timeline


class ProcessObserver(Observer):
    """Records events and measurements, and logs selected events."""

    def __init__(
        self,
        part: str,
        timeline: Timeline,
        recorder: MetricsRecorder,
    ) -> None:
        """Initializes the observer.

        Args:
            part: Part of the process that logs the events, such as `entry`.
            timeline: Records the events.
            recorder: Records the measurements.
        """
        self._log = logging.getLogger(f'cactushead.{part}')
        self._timeline = timeline
        self._recorder = recorder

    def record(self, effect: Record) -> None:
        """Adds an event to the time line and logs it if it is marked so."""
        self._timeline.record(effect)
        if effect.logged:
            self._log.info(format_event(effect))

    def measure(self, effect: Measure) -> None:
        """Adds a duration to a histogram."""
        self._recorder.measure(effect)

    def count(self, effect: Count) -> None:
        """Adds to a counter."""
        self._recorder.count(effect)


def format_event(effect: Record) -> str:
    """Returns the text of an event for the log.

    Examples:
        >>> format_event(Record('leader elected', subject='e1', detail='3'))
        'leader elected: e1, 3'

    Args:
        effect: The event.
    """
    task = '' if effect.job is None else effect.job.task_id(effect.task_index)
    if effect.job is not None and effect.task_index < 0:
        task = f'{effect.job.service}/{effect.job.key}'
    about = [text for text in (task, effect.subject, effect.detail) if text]
    return f'{effect.kind}: {", ".join(about)}' if about else effect.kind
