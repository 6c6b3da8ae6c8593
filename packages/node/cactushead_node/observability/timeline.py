"""The time line of one process."""

import heapq
import itertools
import json
import logging
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from operator import attrgetter

from cactushead_core.clock import COUNTER_BITS, HybridClock, stamp_ms
from cactushead_core.effects import Record
from cactushead_core.observability import (
    ClockStamp,
    TimelineEvent,
    TimelineEvents,
    TimelineFilter,
    TimelineQuery,
)

PAGE_EVENTS = 500
ENTRY_JOB_EVENTS = 20_000
AGENT_JOB_EVENTS = 2000
CELL_EVENTS = 1000
MAX_DETAIL_CHARS = 200
CLOCK_WARNING_INTERVAL_S = 60.0
MS_PER_S = 1000

LOGGER = logging.getLogger('cactushead.timeline')

WallClock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class _RecordedEvent:
    """A recorded event, which is not converted until it is queried.

    Explanation:
        Most events are evicted without having been queried.
    """

    sequence: int
    stamp: int
    wall_s: float
    effect: Record


class Timeline:
    """Latest events of one process, and its hybrid logical clock.

    Explanation:
        Events of jobs and tasks are frequent, while those of leaders, leases
        and documents are rare and more useful for the diagnosis of faults.
        There is one ring buffer for each of the two groups, so that a burst
        of jobs does not evict the rare events.

    Examples:
        >>> timeline = Timeline('entry-1', job_events=2)
        >>> for index in range(3):
        ...     timeline.record(Record('task started', task_index=index))
        >>> [event.task_index for event in timeline.select(TimelineFilter())]
        [0, 1, 2]
    """

    def __init__(
        self,
        process: str,
        *,
        job_events: int = ENTRY_JOB_EVENTS,
        cell_events: int = CELL_EVENTS,
        wall_clock: WallClock = time.time,
    ) -> None:
        """Creates an empty time line.

        Args:
            process: Name of the process.
            job_events: Maximum number of kept events of jobs and tasks.
            cell_events: Maximum number of other kept events.
            wall_clock: Returns the seconds since 1970.
        """
        self._process = process
        self._job_events: deque[_RecordedEvent] = deque(maxlen=job_events)
        self._cell_events: deque[_RecordedEvent] = deque(maxlen=cell_events)
        self._sequence = 0
        self._clock = HybridClock()
        self._wall_clock = wall_clock
        self._last_warning_s = -CLOCK_WARNING_INTERVAL_S

    @property
    def process(self) -> str:
        """Name of the process."""
        return self._process

    @property
    def refused_stamps(self) -> int:
        """Number of ignored clock stamps that were too far ahead."""
        return self._clock.refused_stamps

    def record(self, effect: Record) -> None:
        """Adds an event, with its details truncated to the maximum length.

        Args:
            effect: The event.
        """
        wall_s = self._wall_clock()
        stamp = self._clock.local_event(int(wall_s * MS_PER_S))
        self._sequence += 1
        if len(effect.detail) > MAX_DETAIL_CHARS:
            effect = replace(effect, detail=effect.detail[:MAX_DETAIL_CHARS])
        buffer = self._cell_events if effect.job is None else self._job_events
        buffer.append(_RecordedEvent(self._sequence, stamp, wall_s, effect))

    def make_stamp(self) -> ClockStamp:
        """Returns a clock stamp for a frame that is sent now."""
        wall_ms = int(self._wall_clock() * MS_PER_S)
        return ClockStamp(self._clock.local_event(wall_ms))

    def receive_stamp(self, peer: str, message: ClockStamp) -> None:
        """Advances the clock past the stamp of a received frame.

        Args:
            peer: Name of the sender.
            message: The stamp of the frame.
        """
        refused = self._clock.refused_stamps
        wall_s = self._wall_clock()
        self._clock.receive(message.stamp, int(wall_s * MS_PER_S))
        if self._clock.refused_stamps > refused:
            ahead_s = stamp_ms(message.stamp) / MS_PER_S - wall_s
            self._warn_clock_ahead(peer, ahead_s)

    def select(
        self,
        event_filter: TimelineFilter,
        after_sequence: int = 0,
    ) -> list[TimelineEvent]:
        """Returns the events that match a filter, oldest first.

        Args:
            event_filter: Filter of the events.
            after_sequence: Only events with a higher sequence number.
        """
        return list(self._iterate_matching(event_filter, after_sequence))

    def make_page(
        self,
        query: TimelineQuery,
        relayed_to: tuple[str, ...] = (),
    ) -> TimelineEvents:
        """Returns one page of events for a query.

        Args:
            query: The query.
            relayed_to: Processes to which the query was relayed.
        """
        matching = self._iterate_matching(query.wanted, query.after_sequence)
        events = list(itertools.islice(matching, PAGE_EVENTS + 1))
        return TimelineEvents(
            origin=query.origin,
            query_id=query.query_id,
            process=self._process,
            events=tuple(events[:PAGE_EVENTS]),
            complete=len(events) <= PAGE_EVENTS,
            relayed_to=relayed_to,
        )

    def _iterate_matching(
        self,
        event_filter: TimelineFilter,
        after_sequence: int,
    ) -> Iterator[TimelineEvent]:
        selected = [
            self._matching_in(buffer, event_filter, after_sequence)
            for buffer in (self._job_events, self._cell_events)
        ]
        return heapq.merge(*selected, key=attrgetter('sequence'))

    def _matching_in(
        self,
        buffer: deque[_RecordedEvent],
        event_filter: TimelineFilter,
        after_sequence: int,
    ) -> Iterator[TimelineEvent]:
        for recorded in buffer:
            if recorded.sequence <= after_sequence:
                continue
            effect = recorded.effect
            if event_filter.matches(
                recorded.wall_s, effect.job, effect.subject
            ):
                yield self._to_event(recorded)

    def _to_event(self, recorded: _RecordedEvent) -> TimelineEvent:
        effect = recorded.effect
        return TimelineEvent(
            process=self._process,
            sequence=recorded.sequence,
            stamp=recorded.stamp,
            wall_s=recorded.wall_s,
            kind=effect.kind,
            job=effect.job,
            task_index=effect.task_index,
            subject=effect.subject,
            detail=effect.detail,
        )

    def _warn_clock_ahead(self, peer: str, ahead_s: float) -> None:
        now_s = time.monotonic()
        if now_s - self._last_warning_s < CLOCK_WARNING_INTERVAL_S:
            return
        self._last_warning_s = now_s
        LOGGER.warning(
            'the clock of %s is %.1f s ahead of that of %s and not followed',
            peer,
            ahead_s,
            self._process,
        )


def event_json_line(event: TimelineEvent) -> bytes:
    """Returns an event as one JSON line.

    Examples:
        >>> event = TimelineEvent('e1', 1, 0x50002, 0.5, 'lease')
        >>> line = event_json_line(event)
        >>> json.loads(line)['stamp']
        '5.2'
    """
    fields = {
        'process': event.process,
        'sequence': event.sequence,
        'stamp': f'{stamp_ms(event.stamp)}.{_logical_counter(event.stamp)}',
        'wall_s': event.wall_s,
        'kind': event.kind,
    }
    if event.job is not None:
        fields['service'] = event.job.service
        fields['job'] = event.job.key
    fields['task_index'] = event.task_index
    fields['subject'] = event.subject
    fields['detail'] = event.detail
    return f'{json.dumps(fields, separators=(",", ":"))}\n'.encode('ascii')


def make_filter(query: dict[str, str]) -> TimelineFilter:
    """Returns the filter for validated query parameters.

    Examples:
        >>> make_filter({'job': 'k1', 'since_s': '2.5', 'scope': 'cell'})
        TimelineFilter(job='k1', service='', since_s=2.5, until_s=inf)
    """
    default = TimelineFilter()
    return TimelineFilter(
        job=query.get('job', ''),
        service=query.get('service', ''),
        since_s=float(query.get('since_s', default.since_s)),
        until_s=float(query.get('until_s', default.until_s)),
    )


def _logical_counter(stamp: int) -> int:
    return stamp & ((1 << COUNTER_BITS) - 1)
