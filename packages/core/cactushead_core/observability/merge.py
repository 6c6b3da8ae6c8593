"""Merges the time lines of several processes."""

import heapq
from collections.abc import Iterable

from .model import TimelineEvent


def merge_timelines(
    timelines: Iterable[Iterable[TimelineEvent]],
) -> list[TimelineEvent]:
    """Returns the events of several processes in one order.

    Explanation:
        Events are ordered by their hybrid logical time stamps, so that an
        effect follows its cause. Concurrent events may have equal stamps;
        the process's name and the event's number break ties, so that the
        order is deterministic.

    Examples:
        >>> first = TimelineEvent('a', 1, 70, 0.1, 'task started')
        >>> second = TimelineEvent('b', 1, 50, 0.2, 'task placed')
        >>> [event.process for event in merge_timelines([[first], [second]])]
        ['b', 'a']

    Args:
        timelines: Events of one process each, oldest first.
    """
    return list(heapq.merge(*timelines, key=_sort_key))


def _sort_key(event: TimelineEvent) -> tuple[int, str, int]:
    return event.stamp, event.process, event.sequence
